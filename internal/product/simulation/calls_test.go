package simulation

import (
	"fmt"
	"time"

	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/outcome"
	"siskinrun/internal/data/route"
	"siskinrun/pkg/verdict"
)

// call is one online request from its arrival to its verdict.
type call struct {
	host         *host
	id           int
	team         string
	arrived      time.Time
	cost         int64
	route        route.Route
	verdict      verdict.Verdict
	attempts     int
	tried        []string
	verdicts     int
	finalVerdict verdict.Verdict
	// received is how often upstreams have received it.
	received int
}

func (c *call) object() string { return fmt.Sprint("call-", c.id) }

// changeLoad changes the load at random intervals, so that granted units accumulate and are then spent in a burst.
func (w *simulation) changeLoad() {
	r := w.randoms[calls]
	w.callChance = []int{1, 10, 40, 100}[r.IntN(4)]
	w.after(300*time.Millisecond+time.Duration(r.Int64N(int64(1200*time.Millisecond))), w.changeLoad)
}

// arrive lets a random call arrive at the host, or none.
func (h *host) arrive() {
	w := h.w
	if !w.chance(calls, w.callChance) {
		return
	}
	r := w.randoms[calls]
	c := &call{host: h, id: len(w.calls), arrived: h.now(), cost: 1 + r.Int64N(12)}
	c.route = route.Route{Service: "s", Repeatable: r.IntN(2) == 0, Price: c.cost}
	w.calls = append(w.calls, c)
	k := w.keys[r.IntN(len(w.keys))]
	if c.team = h.authenticate(k); c.team == "" {
		c.finish(verdict.NotRun)
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
	h.after(waitLimit, h.refuseExpired)
	h.request(c.team)
}

// authenticate returns the team of a key, or "" if the configuration is not fresh or does not hold the key.
func (h *host) authenticate(k string) string {
	if h.w.injected == keepWithdrawnKey && h.knownTeams[k] != "" {
		return h.knownTeams[k]
	}
	if !h.now().Before(h.cache.LeaseEnd()) {
		return ""
	}
	t := h.cache.Published().Keys[k].Team
	h.knownTeams[k] = t
	return t
}

// admitWaiting admits the waiting calls that their team's allowance covers, in order of arrival.
func (h *host) admitWaiting() {
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

// refuseExpired refuses the calls that have waited for waitLimit.
func (h *host) refuseExpired() {
	k := h.waiting[:0]
	for _, c := range h.waiting {
		if h.now().Sub(c.arrived) >= waitLimit {
			c.finish(verdict.NotRun)
			continue
		}
		k = append(k, c)
	}
	h.waiting = k
}

func (c *call) admit() {
	w := c.host.w
	w.counts["admitted"]++
	w.logEvent(c.team, "%s admits %d units", c.host.name, c.cost)
	w.check(c.team, w.auditors[c.team].Admit(w.now, c.cost))
	c.host.retry.Request(c.host.now())
	c.attempt()
}

// attempt sends the call to an upstream, or ends the call if none can take it.
func (c *call) attempt() {
	h := c.host
	u, ok := h.pick(demand.Demand{Service: "s", Tried: c.tried, Repeatable: c.route.Repeatable})
	if !ok {
		c.finish(c.verdict)
		return
	}
	c.attempts++
	c.tried = append(c.tried, u.Name)
	h.picker.Started(u.Name)
	h.members.SetInFlight(h.now(), u.Name, h.picker.OwnRequests(u.Name))
	h.worker.stopNewest(u.Name, h.batchLimiter.OnlineStarted(u.Name, h.now()))
	h.w.logEvent(c.object(), "%s sends it to %s/%d", h.name, u.Name, u.Incarnation)
	began := h.now()
	h.send(u, c.recordReceived, func(v verdict.Verdict, o outcome.Outcome) {
		h.picker.Finished(u.Name, o, h.now().Sub(began), h.now())
		h.members.SetInFlight(h.now(), u.Name, h.picker.OwnRequests(u.Name))
		h.batchLimiter.OnlineEnded(u.Name, h.now())
		h.retry.Observe(o)
		c.endAttempt(v)
	})
}

// endAttempt handles the verdict of one attempt and retries the call where that is allowed.
func (c *call) endAttempt(v verdict.Verdict) {
	h := c.host
	if c.verdicts > 0 {
		return
	}
	c.verdict = verdict.Worse(c.verdict, v)
	retry := h.retry.Allow(h.now(), v, c.route, c.attempts, 0)
	if h.w.injected == retryAnything && v == verdict.MayHaveRun && c.attempts < 3 {
		retry = true
	}
	if retry {
		c.attempt()
		return
	}
	c.finish(c.verdict)
}

// recordReceived records that an upstream has received the call.
func (c *call) recordReceived() {
	w := c.host.w
	c.received++
	w.counts["received"]++
	w.logEvent(c.object(), "an upstream receives it")
	if c.received > 1 && !c.route.Repeatable {
		w.fail(c.object(), "received %d times although it may not be repeated", c.received)
	}
	c.checkVerdict()
}

// finish ends the call with a verdict.
func (c *call) finish(v verdict.Verdict) {
	w := c.host.w
	c.verdicts++
	c.finalVerdict = v
	w.counts[v.String()]++
	w.logEvent(c.object(), "%s ends it as %s", c.host.name, v)
	if c.verdicts > 1 {
		w.fail(c.object(), "%d verdicts instead of one", c.verdicts)
	}
	c.checkVerdict()
}

// abandon ends a call whose host has crashed; to its caller the call may have run.
func (c *call) abandon() {
	c.finish(verdict.MayHaveRun)
}

// checkVerdict checks the verdict against what upstreams have received.
func (c *call) checkVerdict() {
	if c.verdicts > 0 && c.finalVerdict == verdict.NotRun && c.received > 0 {
		c.host.w.fail(c.object(), "ended as not-run although an upstream received it")
	}
	if c.verdicts > 0 && c.finalVerdict == verdict.Ran && c.received == 0 {
		c.host.w.fail(c.object(), "ended as ran although no upstream received it")
	}
}
