package simulation

import (
	"fmt"
	"slices"
	"time"

	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/outcome"
	"siskinrun/internal/data/upstream"
	"siskinrun/pkg/verdict"
)

const (
	requestTimeout = time.Second
	// leaveLimit is how long after a leave, or after a later start or end of a partition, a host may still pick the upstream that left.
	leaveLimit = 3 * time.Second
)

// pick picks an upstream and checks that it did not leave more than leaveLimit ago.
func (h *host) pick(d demand.Demand) (upstream.Upstream, bool) {
	w := h.w
	u, ok := h.picker.Pick(h.now(), d)
	if !ok {
		return u, false
	}
	t, gone := w.leftAt[fmt.Sprint(u.Name, "/", u.Incarnation)]
	if gone && t.Before(w.partitionChanged) {
		t = w.partitionChanged
	}
	if h.toldOfLeave[upstreamRun{u.Name, u.Incarnation}] {
		w.fail(u.Name, "%s picks incarnation %d, whose answer said that it leaves", h.name, u.Incarnation)
	}
	tooLate := gone && !h.partitioned && w.now.Sub(t) > leaveLimit
	if tooLate && h.started.After(w.leftAt[fmt.Sprint(u.Name, "/", u.Incarnation)]) {
		w.recordMissedLeave(h, u)
		return u, true
	}
	if tooLate {
		w.fail(u.Name, "%s picks incarnation %d %v after it left", h.name, u.Incarnation, w.now.Sub(t))
	}
	return u, true
}

// applyLeavingAnswer ends the incarnation of an upstream whose answer says that it leaves.
func (h *host) applyLeavingAnswer(u upstream.Upstream) {
	h.w.counts["leaving-answers"]++
	h.w.logEvent(u.Name, "%s has an answer saying that incarnation %d leaves", h.name, u.Incarnation)
	h.toldOfLeave[upstreamRun{u.Name, u.Incarnation}] = true
	if h.w.injected == ignoreLeavingAnswer {
		return
	}
	h.members.Leave(h.now(), u.Name, u.Incarnation)
	h.applyMembership()
}

// recordMissedLeave records that a host which started after a leave picked the upstream that left; a separate test fails on these.
func (w *simulation) recordMissedLeave(h *host, u upstream.Upstream) {
	if slices.Contains(w.missedLeaves, u.Name) {
		return
	}
	w.counts["missed-leaves"]++
	w.logEvent(u.Name, "%s, which started after the leave, picks incarnation %d", h.name, u.Incarnation)
	w.missedLeaves = append(w.missedLeaves, u.Name)
}

// send sends a request to an upstream and calls end once, with the verdict and outcome that this host can know.
func (h *host) send(u upstream.Upstream, receive func(), end func(verdict.Verdict, outcome.Outcome)) {
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
	if f.dead || f.incarnation != inc || h.partitioned {
		h.after(time.Millisecond, func() { finish(verdict.NotRun, outcome.Failed) })
		return
	}
	lost := func() {
		if w.injected == lostIsNotRun {
			finish(verdict.NotRun, outcome.TimedOut)
			return
		}
		finish(verdict.MayHaveRun, outcome.TimedOut)
	}
	h.after(requestTimeout, lost)
	if w.lost() {
		return
	}
	w.after(w.delay(), func() {
		if f.dead || f.incarnation != inc {
			return
		}
		receive()
		w.after(time.Duration(5+w.randoms[messageFaults].IntN(200))*time.Millisecond, func() {
			if f.dead || f.incarnation != inc {
				h.after(time.Millisecond, func() { finish(verdict.MayHaveRun, outcome.Failed) })
				return
			}
			if h.partitioned || w.lost() {
				return
			}
			leaving := f.leaving && w.injected != ignoreLeave // else the answers would hide that fault
			h.after(w.delay(), func() {
				if leaving && !over {
					h.applyLeavingAnswer(u)
				}
				finish(verdict.Ran, outcome.Succeeded)
			})
		})
	})
}
