package grant

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"siskinrun/internal/base/host"
	leadership1 "siskinrun/internal/base/leadership"
	"siskinrun/internal/base/rpc"
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

// fault is an injected fault that the audit must detect.
type fault int

const (
	noFault fault = iota
	forgetOutstanding
	unfencedOldOwner
)

// fleet simulates the limiters of several hosts with drifting clocks over a lossy network, in virtual time.
type fleet struct {
	random    *rand.Rand
	now       time.Time
	events    events
	scheduled int
	hosts     []*fakeHost
	leader    int
	term      uint64
	audit     audit.Auditor
	fault     fault
	lossy     bool
	// domains is the number of failure domains, whose deputies stand in for lost owners if there are several.
	domains int
	cost    func() int64
	err     error
	asked   int
	refused map[string]int
	// refusedLater is the share of the admitted requests that are refused after a while without having run, and give back their units.
	refusedLater float64
	// onRefused, if set, is told of each refused request.
	onRefused func(h *fakeHost, at time.Time)
	// waited holds the waiting time of each admitted request.
	waited []time.Duration
}

type fakeHost struct {
	name      string
	names     []string
	drift     int64
	epoch     time.Time
	timer     *timer.Service
	limiter   *Limiter
	lead      leadership1.Status
	config    *configuration.Configuration
	partition int
	dead      bool
	// deaf says that nothing that is sent to the host arrives.
	deaf            bool
	pendingRequests int
	// asking says that a request to a deputy is under way.
	asking bool
	// stoodIn says that the host granted as a deputy.
	stoodIn bool
	waiting []*waitingRequest
}

type waitingRequest struct {
	waiter      *waiter
	teamLimiter *teamLimiter
	since       time.Time
}

func (h *fakeHost) Lead(uint64) leadership1.Status     { return h.lead }
func (h *fakeHost) View() *configuration.Configuration { return h.config }
func (h *fakeHost) Handle(string, rpc.Handler)         {}
func (h *fakeHost) Names() []string                    { return h.names }

func (h *fakeHost) Call(context.Context, string, string, []byte) ([]byte, error) {
	return nil, errUnreachable
}

// local returns the time on the host's clock at a given true time.
func (h *fakeHost) local(now time.Time) time.Time {
	d := now.Sub(h.epoch)
	return h.epoch.Add(d + d*time.Duration(h.drift)/1_000_000)
}

func newFleet(seed uint64, hosts int, rate, burst int64) *fleet {
	return newFleetOf(seed, hosts, 1, rate, burst)
}

// newFleetOf returns a fleet in several failure domains.
func newFleetOf(seed uint64, hosts, domains int, rate, burst int64) *fleet {
	f := &fleet{
		domains: domains,
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
		h := &fakeHost{name: fmt.Sprint("h", i), names: names, drift: f.random.Int64N(901) - 450, epoch: f.now}
		h.timer = timer.NewManual(f.now)
		h.limiter = &Limiter{
			Link: h, Leadership: h, Configuration: h, Name: h.name, Boot: 1, Groups: 1, Timer: h.timer,
		}
		if domains > 1 {
			f.shareRates(h, i)
		}
		h.limiter.Register()
		f.hosts = append(f.hosts, h)
	}
	f.limit(rate, burst, 0)
	f.elect(0)
	for _, h := range f.hosts {
		f.after(time.Duration(f.random.Int64N(int64(requestInterval))), func() { f.tick(h) })
	}
	return f
}

func (f *fleet) after(d time.Duration, do func()) {
	f.scheduled++
	heap.Push(&f.events, event{f.now.Add(d), f.scheduled, do})
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

// limit changes the team's limits; each host learns of it within the given time.
func (f *fleet) limit(rate, burst int64, within time.Duration) {
	_, total := f.hosts[0].limiter.bucketLimits(team.Team{Rate: rate, Burst: burst})
	total += int64(f.domains) * f.hosts[0].limiter.deputyBurst(f.hosts[0].limiter.overrun(team.Team{Rate: rate, Burst: burst}))
	f.audit.SetLimits(f.now, rate, total, auditGrace)
	c := &configuration.Configuration{Teams: map[string]team.Team{testTeam: {Rate: rate, Burst: burst}}}
	for _, h := range f.hosts {
		if within == 0 {
			h.config = c
			continue
		}
		f.after(time.Duration(f.random.Int64N(int64(within))), func() {
			if h.partition == 0 {
				h.config = c
			}
		})
	}
}

// elect makes a host the leader. The lease of the former leader must have ended.
func (f *fleet) elect(i int) {
	f.term++
	f.leader = i
	h := f.hosts[i]
	since := h.local(f.now)
	h.lead = leadership1.Status{Leading: true, Term: f.term, Since: since, Until: since.Add(24 * time.Hour)}
	f.sync(h)
	h.limiter.refreshGroup(1)
	o := h.limiter.owners[0]
	term := f.term
	open := func() { o.open(f.sync(h), term) }
	if f.fault == forgetOutstanding {
		o.unanswered = nil
		open()
		return
	}
	left := len(f.hosts)
	for _, t := range f.hosts {
		f.after(f.delay(), func() {
			if f.fence(h, t, term) {
				left--
			}
			if left == 0 {
				f.after(f.delay(), open)
			}
		})
	}
	f.after(callTimeout, open)
	if f.domains > 1 {
		f.after(callTimeout, func() { f.fenceDeputies(h, term) })
	}
}

// shareRates sets the failure domains of a host. Each host may be the deputy of its domain.
func (f *fleet) shareRates(h *fakeHost, i int) {
	g := h.limiter
	g.Overrun, g.Window, g.Slack = 0.1, 5*time.Second, 20
	domain := func(i int) string { return fmt.Sprint("d", i%f.domains) }
	for d := range f.domains {
		g.Domains = append(g.Domains, domain(d))
	}
	g.FailureDomain = domain(i)
	g.Candidates = func(uint64) []host.Host {
		var l []host.Host
		for i, n := range h.names {
			l = append(l, host.Host{Name: n, FailureDomain: domain(i)})
		}
		return l
	}
	g.Alive = func(n string) bool { return !f.host(n).dead }
	g.MayPromise = func() bool { return true }
}

func (f *fleet) host(name string) *fakeHost {
	for _, h := range f.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// fenceDeputies sends the fence again to hosts that may hold a promise of an earlier term.
func (f *fleet) fenceDeputies(h *fakeHost, term uint64) {
	l := h.limiter.unfenced(h.limiter.owners[0], f.sync(h), term)
	if len(l) == 0 || h.dead {
		return
	}
	for _, n := range l {
		t := f.host(n)
		f.after(f.delay(), func() { f.fence(h, t, term) })
	}
	f.after(fenceInterval, func() { f.fenceDeputies(h, term) })
}

// fence sends the fence of a new leader to one host and delivers the answer. It reports whether the host answered.
func (f *fleet) fence(h, t *fakeHost, term uint64) bool {
	if t.dead || t.deaf || t.partition != h.partition || f.deliveries() == 0 {
		return false
	}
	f.sync(t)
	b, _ := proto.Marshal(&refill.Fence{Group: 1, Term: term, Adopts: h.limiter.sharesRates()})
	b, err := t.limiter.handleFence(context.Background(), h.name, b)
	p := &refill.Fenced{}
	if err != nil || proto.Unmarshal(b, p) != nil {
		return false
	}
	f.after(f.delay(), func() {
		if h.deaf {
			return
		}
		h.limiter.owners[0].recordRemainders(f.sync(h), term, t.name, p)
		h.limiter.recordDeputy(h.limiter.owners[0], f.sync(h), term, t.name, p)
	})
	return true
}

// isolate puts the leader and some hosts into a partition of their own and elects another leader after a while.
func (f *fleet) isolate(after time.Duration) {
	old := f.hosts[f.leader]
	if f.fault != unfencedOldOwner {
		old.lead.Until = old.local(f.now.Add(after))
	}
	for i, h := range f.hosts {
		h.partition = 0
		if i == f.leader || f.random.IntN(3) == 0 {
			h.partition = 1
		}
	}
	next := (f.leader + 1) % len(f.hosts)
	f.hosts[next].partition = 0
	f.after(after, func() { f.elect(next) })
}

// cutOff puts a failure domain into a partition of its own. If the leader is in it, another one is elected after a while.
func (f *fleet) cutOff(domain int, after time.Duration) {
	for i, h := range f.hosts {
		h.partition = 0
		if i%f.domains == domain {
			h.partition = 1
		}
	}
	old := f.hosts[f.leader]
	if old.partition == 0 {
		return
	}
	if u := old.local(f.now.Add(after)); u.Before(old.lead.Until) {
		old.lead.Until = u
	}
	next := (f.leader + 1) % len(f.hosts)
	for f.hosts[next].partition != 0 || f.hosts[next].dead {
		next = (next + 1) % len(f.hosts)
	}
	f.after(after, func() {
		if f.hosts[f.leader] == old {
			f.elect(next)
		}
	})
}

// crash stops the leader for good and elects another one after a while.
func (f *fleet) crash(after time.Duration) {
	f.hosts[f.leader].dead = true
	next := (f.leader + 1) % len(f.hosts)
	f.after(after, func() { f.elect(next) })
}

// heal ends all partitions and brings every host to the leader's configuration.
func (f *fleet) heal() {
	for _, h := range f.hosts {
		h.partition = 0
		h.deaf = false
		h.config = f.hosts[f.leader].config
	}
}

// sync advances the timer of a host to the present and returns the time on the host's clock.
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
	w := h.limiter.limiterFor(testTeam)
	reports := w.reports()
	if w.spend(h.timer, c) {
		if f.refusedLater > 0 && f.random.Float64() < f.refusedLater {
			f.after(time.Duration(f.random.Int64N(int64(TTL))), func() { w.giveBack(f.sync(h), c, reports) })
			return
		}
		f.admit(c, 0)
		return
	}
	p, err := w.enqueue(n, c, testWait)
	if err != nil {
		f.refuse(h, err)
		return
	}
	h.waiting = append(h.waiting, &waitingRequest{p, w, f.now})
	f.after(testWait, func() {
		w.timeOut(f.sync(h), p)
		f.poll(h)
	})
	f.poll(h)
	if h.pendingRequests == 0 {
		f.requestUnits(h)
	}
}

func (f *fleet) refuse(h *fakeHost, err error) {
	f.refused[refusal.Of(err).Code]++
	if f.onRefused != nil {
		f.onRefused(h, f.now)
	}
}

func (f *fleet) admit(cost int64, waited time.Duration) {
	f.waited = append(f.waited, waited)
	if err := f.audit.Admit(f.now, cost); err != nil && f.err == nil {
		f.err = err
	}
}

// poll records the outcomes of waiting requests.
func (f *fleet) poll(h *fakeHost) {
	k := h.waiting[:0]
	for _, w := range h.waiting {
		select {
		case err := <-w.waiter.done:
			if err == nil {
				f.admit(w.waiter.cost, f.now.Sub(w.since))
			} else {
				f.refuse(h, err)
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
	f.after(requestInterval, func() { f.tick(h) })
	f.sync(h)
	h.limiter.refreshGroup(1)
	if h.pendingRequests == 0 {
		f.requestUnits(h)
	}
	f.askDeputy(h)
}

// askDeputy sends the requests that are due to the deputy of the host's domain, if the owner is lost.
func (f *fleet) askDeputy(h *fakeHost) {
	if f.domains < 2 || h.asking || h.dead {
		return
	}
	f.sync(h)
	to, ok := h.limiter.deputyToAsk(1)
	if !ok {
		return
	}
	h.limiter.changeDeputy(1, to)
	q, l := h.limiter.collectDeputyRequests(1)
	if len(q.Requests) == 0 {
		return
	}
	h.asking = true
	finished := false
	finish := func(p *refill.Reply, err error) {
		f.sync(h)
		if err == nil && p != nil {
			h.limiter.applyDeputyReply(p)
			f.poll(h)
		}
		if !finished {
			finished = true
			h.asking = false
			h.limiter.endDeputyRequests(1, q, l, err)
		}
	}
	f.after(callTimeout, func() {
		if !finished {
			finish(nil, errNotDeputy)
		}
	})
	for range f.deliveries() {
		f.after(f.delay(), func() {
			t := f.host(to)
			if t.dead || t.deaf || t.partition != h.partition {
				return
			}
			f.sync(t)
			b, _ := proto.Marshal(q)
			b, err := t.limiter.handleDeputy(context.Background(), h.name, b)
			t.stoodIn = t.stoodIn || err == nil
			for range f.deliveries() {
				f.after(f.delay(), func() {
					p := &refill.Reply{}
					if err == nil {
						_ = proto.Unmarshal(b, p)
					}
					if !h.deaf {
						finish(p, err)
					}
				})
			}
		})
	}
}

// requestUnits sends the requests that are due to the leader in the host's partition.
func (f *fleet) requestUnits(h *fakeHost) {
	f.sync(h)
	q, l, sent := h.limiter.collectRequests(1)
	if q == nil {
		return
	}
	h.pendingRequests++
	finished, replied := false, false
	finish := func() {
		if !finished {
			finished = true
			h.pendingRequests--
			f.sync(h)
			h.limiter.markLost(q, l)
			if !replied {
				h.limiter.setLost(1, true)
				f.askDeputy(h)
			}
		}
	}
	f.after(callTimeout, finish)
	for range f.deliveries() {
		f.after(f.delay(), func() { f.deliver(h, q, sent, func() { replied = true }, finish) })
	}
}

func (f *fleet) deliver(h *fakeHost, q *refill.Request, sent time.Time, replied, finish func()) {
	t := f.owner(h)
	if t == nil || t.deaf && t != h {
		return
	}
	f.sync(t)
	b, _ := proto.Marshal(q)
	b, err := t.limiter.handleRequests(context.Background(), h.name, b)
	if err != nil {
		f.after(f.delay(), finish)
		return
	}
	for range f.deliveries() {
		f.after(f.delay(), func() {
			if h.deaf && t != h {
				return
			}
			p := &refill.Reply{}
			if err := proto.Unmarshal(b, p); err != nil {
				f.err = err
			}
			f.sync(h)
			h.limiter.applyReply(q, sent, p)
			replied()
			h.limiter.setLost(1, settling(p))
			f.poll(h)
			finish()
		})
	}
}

// owner returns the leader that a host can reach: a former one if it is in the same partition.
func (f *fleet) owner(h *fakeHost) *fakeHost {
	if h.partition == 0 {
		if f.hosts[f.leader].partition != 0 || f.hosts[f.leader].dead {
			return nil
		}
		return f.hosts[f.leader]
	}
	for _, t := range f.hosts {
		if t.partition == h.partition && t.lead.Leading {
			return t
		}
	}
	return nil
}

// deliveries returns how often the network delivers a message: once, or zero to two times if it is lossy.
func (f *fleet) deliveries() int {
	if !f.lossy {
		return 1
	}
	return []int{0, 1, 1, 1, 1, 1, 1, 1, 1, 2}[f.random.IntN(10)]
}

func (f *fleet) delay() time.Duration {
	d := 1500*time.Microsecond + time.Duration(f.random.ExpFloat64()*float64(300*time.Microsecond))
	if f.lossy && f.random.IntN(20) == 0 {
		d += time.Duration(f.random.Int64N(int64(2 * TTL)))
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
