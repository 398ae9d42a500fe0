package joined

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/config/configstore"
	"siskinrun/internal/limits/audit"
	"siskinrun/internal/limits/rate"
)

const (
	hostCount     = 5
	upstreamCount = 4
	traceLength   = 20000
	traceShown    = 15
	fleetShown    = 5
)

// class names the kinds of random events, each of which can be left out.
type class string

const (
	calls   class = "calls"
	items   class = "items"
	crashes class = "crashes"
	cuts    class = "cuts"
	leaves  class = "leaves"
	changes class = "changes"
	leaders class = "leaders"
	losses  class = "losses"
	orders  class = "orders"
)

var classes = []class{calls, items, crashes, cuts, leaves, changes, leaders, losses, orders}

// fault is a deliberate mistake in the joining.
type fault string

const (
	none           fault = "none"
	forgetGrants   fault = "forget-grants"
	dropFence      fault = "drop-fence"
	keepKey        fault = "keep-key"
	lostIsNotRun   fault = "lost-is-not-run"
	skipIntent     fault = "skip-intent"
	ignoreLeave    fault = "ignore-leave"
	keepLead       fault = "keep-lead"
	repeatAnything fault = "repeat-anything"
)

// note is one event that touched an object.
type note struct {
	at     time.Duration
	object string
	format string
	args   []any
}

// world holds a fleet, its network and what the checker knows.
type world struct {
	seed    uint64
	wrong   fault
	without map[class]bool
	randoms map[class]*rand.Rand
	start   time.Time
	now     time.Time
	events  events
	order   int
	steps   int
	trace   []note
	err     error
	object  string

	hosts     []*host
	boots     []uint64
	upstreams []*fakeUpstream
	// disturbed is when the hosts were last cut or healed.
	disturbed time.Time
	ending    bool

	leader    int
	term      uint64
	audits    map[string]*audit.Auditor
	register  *configstore.Store
	withdrawn map[string]time.Time
	keys      []string
	changes   int

	calls []*call
	// load is the chance in percent of a call whenever a host looks for one.
	load     int
	left     map[string]time.Time
	batch    *batch
	planners *planners
	tally    map[string]int
	// untrue are the items that were recorded as not-run although an upstream received them.
	untrue []string
	// unheard are the upstreams that hosts picked late after they left, in runs that started after the leave.
	unheard []string
}

func newWorld(seed uint64, wrong fault, without ...class) *world {
	w := &world{
		seed: seed, wrong: wrong, without: map[class]bool{}, randoms: map[class]*rand.Rand{},
		start: time.Unix(1_800_000_000, 0), audits: map[string]*audit.Auditor{},
		register: configstore.NewStore(), withdrawn: map[string]time.Time{},
		left: map[string]time.Time{}, tally: map[string]int{},
	}
	w.now = w.start
	w.disturbed = w.start
	for _, c := range without {
		w.without[c] = true
	}
	for i, c := range classes {
		w.randoms[c] = rand.New(rand.NewPCG(seed, uint64(i+1)))
	}
	w.settings()
	w.batch = newBatch(w)
	for i := range hostCount {
		w.boots = append(w.boots, 0)
		w.hosts = append(w.hosts, nil)
		w.restart(i)
	}
	w.planners = newPlanners(w)
	w.elect(0)
	for i := range upstreamCount {
		w.upstreams = append(w.upstreams, newFakeUpstream(w, i))
	}
	return w
}

// run passes time, first with disturbances and then without, so that everything ends.
func (w *world) run(d time.Duration) error {
	w.disturb()
	w.phase()
	w.pass(d)
	w.ending = true
	w.heal()
	w.pass(4 * time.Second)
	w.finish()
	return w.err
}

func (w *world) pass(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) && w.err == nil {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		w.steps++
		e.do()
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now.Add(d), w.order, do})
}

func (w *world) chance(c class, percent int) bool {
	n := w.randoms[c].IntN(100)
	return n < percent && !w.without[c] && !w.ending
}

// lost reports whether the network loses a message.
func (w *world) lost() bool { return w.chance(losses, 3) }

func (w *world) delay() time.Duration {
	d := time.Millisecond + time.Duration(w.randoms[losses].Int64N(int64(4*time.Millisecond)))
	if w.chance(losses, 3) {
		d += time.Duration(w.randoms[losses].Int64N(int64(1500 * time.Millisecond)))
	}
	return d
}

func (w *world) note(object, format string, args ...any) {
	if w.err != nil {
		return
	}
	if len(w.trace) >= 2*traceLength {
		w.trace = append(w.trace[:0], w.trace[traceLength:]...)
	}
	w.trace = append(w.trace, note{w.now.Sub(w.start), object, format, args})
}

// fail keeps the first failure and the object that it is about.
func (w *world) fail(object, format string, args ...any) {
	if w.err == nil {
		w.object = object
		w.err = errors.Newf("at %v: %s: %s", w.now.Sub(w.start), object, fmt.Sprintf(format, args...))
	}
}

func (w *world) check(object string, err error) {
	if err != nil {
		w.fail(object, "%v", err)
	}
}

// story returns the last events that touched the failing object or the whole fleet.
func (w *world) story() string {
	var l []string
	fleet := 0
	for i := len(w.trace) - 1; i >= 0 && len(l) < traceShown; i-- {
		n := w.trace[i]
		if n.object == "fleet" {
			fleet++
		}
		if n.object == w.object || n.object == "fleet" && fleet <= fleetShown {
			l = append([]string{fmt.Sprintf("  %v %s: %s", n.at, n.object, fmt.Sprintf(n.format, n.args...))}, l...)
		}
	}
	return strings.Join(l, "\n")
}

// disturb makes the random events of the fleet.
func (w *world) disturb() {
	if w.ending {
		return
	}
	w.after(100*time.Millisecond, w.disturb)
	if w.chance(crashes, 3) {
		i := w.randoms[crashes].IntN(hostCount)
		w.crash(i, time.Duration(w.randoms[crashes].Int64N(int64(2*time.Second))))
	}
	if w.chance(cuts, 2) {
		w.cut()
	}
	if w.chance(cuts, 4) {
		w.heal()
	}
	if w.chance(leaders, 3) {
		w.handOver()
	}
	if w.chance(changes, 15) {
		w.change()
	}
	w.batch.disturb()
	w.planners.disturb()
	for _, h := range w.hosts {
		h.check()
	}
}

// finish checks what must hold once everything has ended.
func (w *world) finish() {
	for _, c := range w.calls {
		if c.exits != 1 && w.err == nil {
			w.fail(c.object(), "%d verdicts instead of one", c.exits)
		}
	}
	w.batch.finish()
	w.check("register", w.register.Check())
	for _, h := range w.hosts {
		h.check()
	}
}

func newAudit() *audit.Auditor {
	return &audit.Auditor{TolerancePPM: 3 * rate.MaxDriftPPM}
}

type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)   { *e = append(*e, v.(event)) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}

func (e *events) Pop() any {
	o := *e
	v := o[len(o)-1]
	*e = o[:len(o)-1]
	return v
}
