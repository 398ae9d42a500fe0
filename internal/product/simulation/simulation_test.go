package simulation

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
	// traceLength is the minimum number of latest events that a full trace keeps.
	traceLength         = 20000
	maxShownEvents      = 15
	maxShownFleetEvents = 5
)

// class is a kind of random events, which a run can leave out.
type class string

const (
	calls         class = "calls"
	items         class = "items"
	crashes       class = "crashes"
	partitions    class = "partitions"
	leaves        class = "leaves"
	changes       class = "changes"
	leaderChanges class = "leader-changes"
	messageFaults class = "message-faults"
	orders        class = "orders"
)

var classes = []class{calls, items, crashes, partitions, leaves, changes, leaderChanges, messageFaults, orders}

// fault is a deliberate mistake in how the packages are used together.
type fault string

const (
	none             fault = "none"
	forgetGrants     fault = "forget-grants"
	dropFence        fault = "drop-fence"
	keepWithdrawnKey fault = "keep-withdrawn-key"
	lostIsNotRun     fault = "lost-is-not-run"
	skipIntent       fault = "skip-intent"
	ignoreLeave      fault = "ignore-leave"
	// ignoreLeavingAnswer goes on using an upstream whose answer says that it leaves.
	ignoreLeavingAnswer fault = "ignore-leaving-answer"
	keepLeadership      fault = "keep-leadership"
	retryAnything       fault = "retry-anything"
)

// traceEntry is one traced event that touched an object.
type traceEntry struct {
	at     time.Duration
	object string
	format string
	args   []any
}

// simulation holds the simulated fleet, its network and the checker's record.
type simulation struct {
	seed     uint64
	injected fault
	excluded map[class]bool
	randoms  map[class]*rand.Rand
	start    time.Time
	now      time.Time
	events   events
	order    int
	steps    int
	trace    []traceEntry
	err      error
	object   string

	hosts     []*host
	boots     []uint64
	upstreams []*fakeUpstream
	// partitionChanged is when a partition last started or healed.
	partitionChanged time.Time
	quiet            bool

	leader    int
	term      uint64
	auditors  map[string]*audit.Auditor
	store     *configstore.Store
	withdrawn map[string]time.Time
	keys      []string
	changes   int

	calls []*call
	// callChance is the chance in percent that a call arrives at a host at each of its ticks.
	callChance int
	leftAt     map[string]time.Time
	ledger     *fakeLedger
	planners   *planners
	counts     map[string]int
	// wrongVerdicts are the items recorded as not-run although an upstream received them.
	wrongVerdicts []string
	// missedLeaves are the upstreams that a host which started after they left picked more than leaveLimit after the leave.
	missedLeaves []string
}

func newSimulation(seed uint64, injected fault, excluded ...class) *simulation {
	w := &simulation{
		seed: seed, injected: injected, excluded: map[class]bool{}, randoms: map[class]*rand.Rand{},
		start: time.Unix(1_800_000_000, 0), auditors: map[string]*audit.Auditor{},
		store: configstore.NewStore(), withdrawn: map[string]time.Time{},
		leftAt: map[string]time.Time{}, counts: map[string]int{},
	}
	w.now = w.start
	w.partitionChanged = w.start
	for _, c := range excluded {
		w.excluded[c] = true
	}
	for i, c := range classes {
		w.randoms[c] = rand.New(rand.NewPCG(seed, uint64(i+1)))
	}
	w.initConfiguration()
	w.ledger = newFakeLedger(w)
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

// run advances the time by d with disturbances and then by 4 s without, so that every call ends.
func (w *simulation) run(d time.Duration) error {
	w.disturb()
	w.changeLoad()
	w.advance(d)
	w.quiet = true
	w.heal()
	w.advance(4 * time.Second)
	w.finish()
	return w.err
}

func (w *simulation) advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) && w.err == nil {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		w.steps++
		e.do()
	}
}

func (w *simulation) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now.Add(d), w.order, do})
}

func (w *simulation) chance(c class, percent int) bool {
	n := w.randoms[c].IntN(100)
	return n < percent && !w.excluded[c] && !w.quiet
}

// lost reports whether the network drops a message.
func (w *simulation) lost() bool { return w.chance(messageFaults, 3) }

func (w *simulation) delay() time.Duration {
	d := time.Millisecond + time.Duration(w.randoms[messageFaults].Int64N(int64(4*time.Millisecond)))
	if w.chance(messageFaults, 3) {
		d += time.Duration(w.randoms[messageFaults].Int64N(int64(1500 * time.Millisecond)))
	}
	return d
}

func (w *simulation) logEvent(object, format string, args ...any) {
	if w.err != nil {
		return
	}
	if len(w.trace) >= 2*traceLength {
		w.trace = append(w.trace[:0], w.trace[traceLength:]...)
	}
	w.trace = append(w.trace, traceEntry{w.now.Sub(w.start), object, format, args})
}

// fail records the first failure and the object it concerns.
func (w *simulation) fail(object, format string, args ...any) {
	if w.err == nil {
		w.object = object
		w.err = errors.Newf("at %v: %s: %s", w.now.Sub(w.start), object, fmt.Sprintf(format, args...))
	}
}

func (w *simulation) check(object string, err error) {
	if err != nil {
		w.fail(object, "%v", err)
	}
}

// failureTrace returns the last events that touched the failing object or the whole fleet, one a line.
func (w *simulation) failureTrace() string {
	var l []string
	fleet := 0
	for i := len(w.trace) - 1; i >= 0 && len(l) < maxShownEvents; i-- {
		n := w.trace[i]
		if n.object == "fleet" {
			fleet++
		}
		if n.object == w.object || n.object == "fleet" && fleet <= maxShownFleetEvents {
			l = append([]string{fmt.Sprintf("  %v %s: %s", n.at, n.object, fmt.Sprintf(n.format, n.args...))}, l...)
		}
	}
	return strings.Join(l, "\n")
}

// disturb causes the random events of the fleet and checks the hosts.
func (w *simulation) disturb() {
	if w.quiet {
		return
	}
	w.after(100*time.Millisecond, w.disturb)
	if w.chance(crashes, 3) {
		i := w.randoms[crashes].IntN(hostCount)
		w.crash(i, time.Duration(w.randoms[crashes].Int64N(int64(2*time.Second))))
	}
	if w.chance(partitions, 2) {
		w.partition()
	}
	if w.chance(partitions, 4) {
		w.heal()
	}
	if w.chance(leaderChanges, 3) {
		w.transferLeadership()
	}
	if w.chance(changes, 15) {
		w.changeConfiguration()
	}
	w.ledger.disturb()
	w.planners.disturb()
	for _, h := range w.hosts {
		h.check()
	}
}

// finish checks what must hold at the end of a run.
func (w *simulation) finish() {
	for _, c := range w.calls {
		if c.verdicts != 1 && w.err == nil {
			w.fail(c.object(), "%d verdicts instead of one", c.verdicts)
		}
	}
	w.ledger.finish()
	w.check("store", w.store.Check())
	for _, h := range w.hosts {
		h.check()
	}
}

func newAuditor() *audit.Auditor {
	return &audit.Auditor{TolerancePPM: 3 * rate.MaxDriftPPM}
}
