package joined

import (
	"fmt"
	"slices"
	"time"

	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/outcome"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/upstream"
	"siskinrun/pkg/verdict"
)

const (
	exchangeTimeout = time.Second
	leaveLimit      = 3 * time.Second
)

// call is one online request from its arrival to its one verdict.
type call struct {
	host     *host
	id       int
	team     string
	arrived  time.Time
	cost     int64
	route    route.Route
	verdict  verdict.Verdict
	attempts int
	tried    []string
	exits    int
	ended    verdict.Verdict
	// seen counts how often an upstream has received it.
	seen int
}

func (c *call) object() string { return fmt.Sprint("call-", c.id) }

// phase changes the load every now and then, so that grants pile up and are spent at once.
func (w *world) phase() {
	r := w.randoms[calls]
	w.load = []int{1, 10, 40, 100}[r.IntN(4)]
	w.after(300*time.Millisecond+time.Duration(r.Int64N(int64(1200*time.Millisecond))), w.phase)
}

// arrive takes a random call, or none.
func (h *host) arrive() {
	w := h.w
	if !w.chance(calls, w.load) {
		return
	}
	r := w.randoms[calls]
	c := &call{host: h, id: len(w.calls), arrived: h.now(), cost: 1 + r.Int64N(12)}
	c.route = route.Route{Service: "s", Repeatable: r.IntN(2) == 0, Price: c.cost}
	w.calls = append(w.calls, c)
	k := w.keys[r.IntN(len(w.keys))]
	if c.team = h.identify(k); c.team == "" {
		c.exit(verdict.NotRun)
		return
	}
	if t, ok := w.withdrawn[k]; ok && w.now.Sub(t) > configurationLease+configurationLease/500 {
		w.fail(k, "%s admits %s %v after the key was withdrawn", h.name, c.object(), w.now.Sub(t))
	}
	a := h.allowance(c.team)
	a.RecordDemand(h.now(), c.cost)
	if a.Spend(h.now(), c.cost) {
		c.admit()
		return
	}
	h.waiting = append(h.waiting, c)
	h.after(waitLimit, h.expire)
	h.ask(c.team)
}

// identify returns the team of a key, if the configuration is fresh and has the key.
func (h *host) identify(k string) string {
	if h.w.wrong == keepKey && h.known[k] != "" {
		return h.known[k]
	}
	if !h.now().Before(h.view.LeaseEnd()) {
		return ""
	}
	t := h.view.Published().Keys[k].Team
	h.known[k] = t
	return t
}

// release admits calls that wait, in their order.
func (h *host) release() {
	k := h.waiting[:0]
	for _, c := range h.waiting {
		if h.allowance(c.team).Spend(h.now(), c.cost) {
			c.admit()
			continue
		}
		k = append(k, c)
	}
	h.waiting = k
}

// expire refuses calls that have waited long enough.
func (h *host) expire() {
	k := h.waiting[:0]
	for _, c := range h.waiting {
		if h.now().Sub(c.arrived) >= waitLimit {
			c.exit(verdict.NotRun)
			continue
		}
		k = append(k, c)
	}
	h.waiting = k
}

func (c *call) admit() {
	w := c.host.w
	w.tally["admitted"]++
	w.note(c.team, "%s admits %d units", c.host.name, c.cost)
	w.check(c.team, w.audits[c.team].Admit(w.now, c.cost))
	c.host.retry.Request(c.host.now())
	c.attempt()
}

// attempt sends the call to an upstream, if one may take it.
func (c *call) attempt() {
	h := c.host
	u, ok := h.pick(demand.Demand{Service: "s", Tried: c.tried, Repeatable: c.route.Repeatable})
	if !ok {
		c.exit(c.verdict)
		return
	}
	c.attempts++
	c.tried = append(c.tried, u.Name)
	h.choose.Started(u.Name)
	h.members.SetInFlight(h.now(), u.Name, h.choose.OwnRequests(u.Name))
	h.worker.yield(u.Name, h.yield.OnlineStarted(u.Name, h.now()))
	h.w.note(c.object(), "%s sends it to %s/%d", h.name, u.Name, u.Incarnation)
	began := h.now()
	h.exchange(u, c.receive, func(v verdict.Verdict, o outcome.Outcome) {
		h.choose.Finished(u.Name, o, h.now().Sub(began), h.now())
		h.members.SetInFlight(h.now(), u.Name, h.choose.OwnRequests(u.Name))
		h.yield.OnlineEnded(u.Name, h.now())
		h.retry.Observe(o)
		c.end(v)
	})
}

// end takes the verdict of one attempt.
func (c *call) end(v verdict.Verdict) {
	h := c.host
	if c.exits > 0 {
		return
	}
	c.verdict = verdict.Worse(c.verdict, v)
	again := h.retry.Allow(h.now(), v, c.route, c.attempts, 0)
	if h.w.wrong == repeatAnything && v == verdict.MayHaveRun && c.attempts < 3 {
		again = true
	}
	if again {
		c.attempt()
		return
	}
	c.exit(c.verdict)
}

// receive notes that an upstream has received the call.
func (c *call) receive() {
	w := c.host.w
	c.seen++
	w.tally["received"]++
	w.note(c.object(), "an upstream receives it")
	if c.seen > 1 && !c.route.Repeatable {
		w.fail(c.object(), "received %d times although it may not be repeated", c.seen)
	}
	c.judge()
}

// exit gives the call its verdict.
func (c *call) exit(v verdict.Verdict) {
	w := c.host.w
	c.exits++
	c.ended = v
	w.tally[v.String()]++
	w.note(c.object(), "%s ends it as %s", c.host.name, v)
	if c.exits > 1 {
		w.fail(c.object(), "%d verdicts instead of one", c.exits)
	}
	c.judge()
}

// abandon ends a call whose host is lost: its caller takes it for one that may have run.
func (c *call) abandon() {
	c.exit(verdict.MayHaveRun)
}

// judge compares the verdict with what upstreams received.
func (c *call) judge() {
	if c.exits > 0 && c.ended == verdict.NotRun && c.seen > 0 {
		c.host.w.fail(c.object(), "ended as not-run although an upstream received it")
	}
	if c.exits > 0 && c.ended == verdict.Ran && c.seen == 0 {
		c.host.w.fail(c.object(), "ended as ran although no upstream received it")
	}
}

// pick chooses an upstream and checks that it has not left.
func (h *host) pick(d demand.Demand) (upstream.Upstream, bool) {
	w := h.w
	u, ok := h.choose.Pick(h.now(), d)
	if !ok {
		return u, false
	}
	t, gone := w.left[fmt.Sprint(u.Name, "/", u.Incarnation)]
	if gone && t.Before(w.disturbed) {
		t = w.disturbed
	}
	late := gone && !h.cut && w.now.Sub(t) > leaveLimit
	if late && h.began.After(w.left[fmt.Sprint(u.Name, "/", u.Incarnation)]) {
		w.unheardOf(h, u)
		return u, true
	}
	if late {
		w.fail(u.Name, "%s picks incarnation %d %v after it left", h.name, u.Incarnation, w.now.Sub(t))
	}
	return u, true
}

// unheardOf notes that a host which started after a leave picks what left; a test of its own looks at these.
func (w *world) unheardOf(h *host, u upstream.Upstream) {
	if slices.Contains(w.unheard, u.Name) {
		return
	}
	w.tally["unheard"]++
	w.note(u.Name, "%s, which started after the leave, picks incarnation %d", h.name, u.Incarnation)
	w.unheard = append(w.unheard, u.Name)
}

// exchange sends something to an upstream and ends once with what this host can know of it.
func (h *host) exchange(u upstream.Upstream, receive func(), end func(verdict.Verdict, outcome.Outcome)) {
	w := h.w
	f := w.upstreams[slices.IndexFunc(w.upstreams, func(f *fakeUpstream) bool { return f.name == u.Name })]
	inc := u.Incarnation
	over := false
	finish := func(v verdict.Verdict, o outcome.Outcome) {
		if !over {
			over = true
			end(v, o)
		}
	}
	if f.dead || f.incarnation != inc || h.cut {
		h.after(time.Millisecond, func() { finish(verdict.NotRun, outcome.Failed) })
		return
	}
	lost := func() {
		if w.wrong == lostIsNotRun {
			finish(verdict.NotRun, outcome.TimedOut)
			return
		}
		finish(verdict.MayHaveRun, outcome.TimedOut)
	}
	h.after(exchangeTimeout, lost)
	if w.lost() {
		return
	}
	w.after(w.delay(), func() {
		if f.dead || f.incarnation != inc {
			return
		}
		receive()
		w.after(time.Duration(5+w.randoms[losses].IntN(200))*time.Millisecond, func() {
			if f.dead || f.incarnation != inc {
				h.after(time.Millisecond, func() { finish(verdict.MayHaveRun, outcome.Failed) })
				return
			}
			if h.cut || w.lost() {
				return
			}
			h.after(w.delay(), func() { finish(verdict.Ran, outcome.Succeeded) })
		})
	})
}
