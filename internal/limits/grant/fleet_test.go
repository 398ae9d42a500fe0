package grant

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"siskinrun/internal/base/lead"
	"siskinrun/internal/base/link"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/team"
	"siskinrun/internal/limits/audit"
	"siskinrun/internal/limits/refill"
	"siskinrun/pkg/refusal"
)

const (
	testTeam = "kea"
	testWait = 150 * time.Millisecond
)

// fault is a deliberate mistake that the audit must notice.
type fault int

const (
	none fault = iota
	forgetOutstanding
	unfencedOldOwner
)

// fleet runs the grants of several hosts on drifting clocks over a lossy network, in virtual time.
type fleet struct {
	random  *rand.Rand
	now     time.Time
	events  events
	count   int
	hosts   []*fakeHost
	leader  int
	term    uint64
	audit   audit.Audit
	fault   fault
	lossy   bool
	cost    func() int64
	err     error
	asked   int
	refused map[string]int
	waits   []time.Duration
}

type fakeHost struct {
	name    string
	names   []string
	drift   int64
	zero    time.Time
	timer   *timer.Service
	grant   *Grant
	lead    lead.Lead
	config  *configuration.Configuration
	side    int
	dead    bool
	open    int
	waiting []*waiting
}

type waiting struct {
	waiter *waiter
	wallet *wallet
	since  time.Time
}

func (h *fakeHost) Lead(uint64) lead.Lead              { return h.lead }
func (h *fakeHost) View() *configuration.Configuration { return h.config }
func (h *fakeHost) Handle(string, link.Handler)        {}
func (h *fakeHost) Names() []string                    { return h.names }

func (h *fakeHost) Call(context.Context, string, string, []byte) ([]byte, error) {
	return nil, errUnreachable
}

// local returns the time on the host's clock at a true time.
func (h *fakeHost) local(now time.Time) time.Time {
	d := now.Sub(h.zero)
	return h.zero.Add(d + d*time.Duration(h.drift)/1_000_000)
}

func newFleet(seed uint64, hosts int, rate, burst int64) *fleet {
	f := &fleet{
		random:  rand.New(rand.NewPCG(seed, 7)),
		now:     time.Unix(1000, 0),
		refused: map[string]int{},
		cost:    func() int64 { return 1 },
	}
	var names []string
	for i := range hosts {
		names = append(names, fmt.Sprint("h", i))
	}
	for i := range hosts {
		h := &fakeHost{name: fmt.Sprint("h", i), names: names, drift: f.random.Int64N(901) - 450, zero: f.now}
		h.timer = timer.NewManual(f.now)
		h.grant = &Grant{
			Link: h, Leads: h, Configuration: h, Name: h.name, Boot: 1, Groups: 1, Timer: h.timer,
		}
		h.grant.Register()
		f.hosts = append(f.hosts, h)
	}
	f.limit(rate, burst, 0)
	f.elect(0)
	for _, h := range f.hosts {
		f.at(time.Duration(f.random.Int64N(int64(interval))), func() { f.tick(h) })
	}
	return f
}

func (f *fleet) at(d time.Duration, do func()) {
	f.count++
	heap.Push(&f.events, event{f.now.Add(d), f.count, do})
}

func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) && f.err == nil {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// limit changes the team's rate; hosts hear of it within the given time.
func (f *fleet) limit(rate, burst int64, within time.Duration) {
	f.audit.Limit(f.now, rate, burst, auditGrace)
	c := &configuration.Configuration{Teams: map[string]team.Team{testTeam: {Rate: rate, Burst: burst}}}
	for _, h := range f.hosts {
		if within == 0 {
			h.config = c
			continue
		}
		f.at(time.Duration(f.random.Int64N(int64(within))), func() {
			if h.side == 0 {
				h.config = c
			}
		})
	}
}

// elect makes a host the leader; the former one's lease has ended.
func (f *fleet) elect(i int) {
	f.term++
	f.leader = i
	h := f.hosts[i]
	since := h.local(f.now)
	h.lead = lead.Lead{Leading: true, Term: f.term, Since: since, Until: since.Add(24 * time.Hour)}
	f.sync(h)
	h.grant.own(1)
	o := h.grant.owners[0]
	term := f.term
	open := func() { o.open(f.sync(h), term) }
	if f.fault == forgetOutstanding {
		o.missing = nil
		open()
		return
	}
	left := len(f.hosts)
	for _, t := range f.hosts {
		f.at(f.delay(), func() {
			if f.fence(h, t, term) {
				left--
			}
			if left == 0 {
				f.at(f.delay(), open)
			}
		})
	}
	f.at(callTimeout, open)
}

// fence asks one host for a new leader what it holds of earlier terms.
func (f *fleet) fence(h, t *fakeHost, term uint64) bool {
	if t.dead || t.side != h.side || f.copies() == 0 {
		return false
	}
	f.sync(t)
	b, _ := proto.Marshal(&refill.Fence{Group: 1, Term: term})
	b, err := t.grant.fence(context.Background(), h.name, b)
	p := &refill.Fenced{}
	if err != nil || proto.Unmarshal(b, p) != nil {
		return false
	}
	f.at(f.delay(), func() { h.grant.owners[0].adopt(f.sync(h), term, t.name, p) })
	return true
}

// isolate cuts the leader and some hosts off and elects another one after a while.
func (f *fleet) isolate(after time.Duration) {
	old := f.hosts[f.leader]
	if f.fault != unfencedOldOwner {
		old.lead.Until = old.local(f.now.Add(after))
	}
	for i, h := range f.hosts {
		h.side = 0
		if i == f.leader || f.random.IntN(3) == 0 {
			h.side = 1
		}
	}
	next := (f.leader + 1) % len(f.hosts)
	f.hosts[next].side = 0
	f.at(after, func() { f.elect(next) })
}

// crash ends the leader for good and elects another one after a while.
func (f *fleet) crash(after time.Duration) {
	f.hosts[f.leader].dead = true
	next := (f.leader + 1) % len(f.hosts)
	f.at(after, func() { f.elect(next) })
}

func (f *fleet) heal() {
	for _, h := range f.hosts {
		h.side = 0
		h.config = f.hosts[f.leader].config
	}
}

func (f *fleet) sync(h *fakeHost) time.Time {
	n := h.local(f.now)
	h.timer.Advance(n.Sub(h.timer.Now()))
	return n
}

// request sends one request to a host.
func (f *fleet) request(h *fakeHost) {
	c := f.cost()
	n := f.sync(h)
	f.asked++
	w := h.grant.wallet(testTeam)
	if w.spend(h.timer, c) {
		f.admit(c, 0)
		return
	}
	p, err := w.enter(n, c, testWait)
	if err != nil {
		f.refused[refusal.Of(err).Code]++
		return
	}
	h.waiting = append(h.waiting, &waiting{p, w, f.now})
	f.at(testWait, func() {
		w.expire(f.sync(h), p)
		f.poll(h)
	})
	f.poll(h)
	if h.open == 0 {
		f.ask(h)
	}
}

func (f *fleet) admit(cost int64, waited time.Duration) {
	f.waits = append(f.waits, waited)
	if err := f.audit.Admit(f.now, cost); err != nil && f.err == nil {
		f.err = err
	}
}

// poll counts the outcomes of requests that waited.
func (f *fleet) poll(h *fakeHost) {
	k := h.waiting[:0]
	for _, w := range h.waiting {
		select {
		case err := <-w.waiter.done:
			if err == nil {
				f.admit(w.waiter.cost, f.now.Sub(w.since))
			} else {
				f.refused[refusal.Of(err).Code]++
			}
		default:
			k = append(k, w)
		}
	}
	h.waiting = k
}

func (f *fleet) tick(h *fakeHost) {
	if h.dead {
		return
	}
	f.at(interval, func() { f.tick(h) })
	f.sync(h)
	h.grant.own(1)
	if h.open == 0 {
		f.ask(h)
	}
}

// ask sends what is due to the leader on the host's side of the network.
func (f *fleet) ask(h *fakeHost) {
	f.sync(h)
	q, l := h.grant.collect(1)
	if len(q.Asks) == 0 {
		return
	}
	h.open++
	over := false
	finish := func() {
		if !over {
			over = true
			h.open--
			f.sync(h)
			h.grant.fail(q, l)
		}
	}
	f.at(callTimeout, finish)
	for range f.copies() {
		f.at(f.delay(), func() { f.deliver(h, q, finish) })
	}
}

func (f *fleet) deliver(h *fakeHost, q *refill.Request, finish func()) {
	t := f.owner(h)
	if t == nil {
		return
	}
	f.sync(t)
	b, _ := proto.Marshal(q)
	b, err := t.grant.answer(context.Background(), h.name, b)
	if err != nil {
		f.at(f.delay(), finish)
		return
	}
	for range f.copies() {
		f.at(f.delay(), func() {
			p := &refill.Reply{}
			if err := proto.Unmarshal(b, p); err != nil {
				f.err = err
			}
			f.sync(h)
			h.grant.spread(1, p)
			f.poll(h)
			finish()
		})
	}
}

// owner returns the leader that a host can reach: an old one if it was cut off together with it.
func (f *fleet) owner(h *fakeHost) *fakeHost {
	if h.side == 0 {
		if f.hosts[f.leader].side != 0 || f.hosts[f.leader].dead {
			return nil
		}
		return f.hosts[f.leader]
	}
	for _, t := range f.hosts {
		if t.side == h.side && t.lead.Leading {
			return t
		}
	}
	return nil
}

func (f *fleet) copies() int {
	if !f.lossy {
		return 1
	}
	return []int{0, 1, 1, 1, 1, 1, 1, 1, 1, 2}[f.random.IntN(10)]
}

func (f *fleet) delay() time.Duration {
	d := 1500*time.Microsecond + time.Duration(f.random.ExpFloat64()*float64(300*time.Microsecond))
	if f.lossy && f.random.IntN(20) == 0 {
		d += time.Duration(f.random.Int64N(int64(2 * Life)))
	}
	return d
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
