package executor

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/verdict"
)

// finishRun ends a task, or makes it pending again if it was preempted and its session is live. A pause that is
// shorter than a round trip to the ledger need not be reported.
func (p *scheduler) finishRun(now time.Time, t *task, o *entry.Outcome) {
	s := p.groups[t.group]
	again := t.preempting && o.Kind == entry.Outcome_YIELD && !p.draining && now.Before(s.sessionExpires)
	if !again || s.tasks[t.item.Fence] != t {
		p.endTask(t, o)
		return
	}
	whole := t.upstream.whole
	t.upstream.started--
	t.upstream = nil
	t.stop = nil
	t.stopping, t.preempting = false, false
	t.pendingSince = now
	t.item.Preemptions++
	t.notBefore = now.Add(preemptionBackoff)
	if g := o.GetProgress(); g.GetNext() > t.item.NextEvent || g != nil && startOf(g) != t.item.Start {
		t.item.NextEvent, t.item.Text, t.item.Start = g.GetNext(), g.GetText(), startOf(g)
	}
	if o.Progress != nil || t.preemptedOutcome == nil {
		t.preemptedOutcome = o
	}
	p.pause(t, whole)
}

// endTask queues the outcome of a task and frees its slot. A task that may not be repeated keeps its slot until
// the outcome is recorded, so that a lost host leaves no more such items with an unknown outcome than its windows
// allow.
func (p *scheduler) endTask(t *task, o *entry.Outcome) {
	s := p.groups[t.group]
	if s.tasks[t.item.Fence] != t {
		return
	}
	p.observeResult(t, o)
	o = t.mergePreempted(o)
	delete(s.tasks, t.item.Fence)
	if c := t.upstream; c != nil {
		c.started--
		t.upstream = nil
		if !t.item.Repeatable {
			c.unrecorded++
			s.awaitingRecord[o.Fence] = c
		}
	}
	s.outcomes = append(s.outcomes, o)
}

// mergePreempted returns an outcome that accounts for the preempted runs before it.
func (t *task) mergePreempted(o *entry.Outcome) *entry.Outcome {
	switch {
	case t.preemptedOutcome == nil:
		return o
	case o.Kind == entry.Outcome_YIELD && o.Progress == nil:
		return t.preemptedOutcome
	case o.GetResult().GetVerdict() == uint32(verdict.NotRun):
		o.Result.Verdict = t.preemptedOutcome.GetResult().GetVerdict()
	}
	return o
}

// acknowledge removes the first n outcomes of a group, which are recorded, and frees the slots that they held.
func (p *scheduler) acknowledge(g uint32, n int) {
	s := p.groups[g]
	for _, o := range s.outcomes[:n] {
		if c := s.awaitingRecord[o.Fence]; c != nil {
			c.unrecorded--
			delete(s.awaitingRecord, o.Fence)
		}
	}
	s.outcomes = slices.Clone(s.outcomes[n:])
}

// idle reports whether this host has no task and no outcome of a group.
func (s *groupState) idle() bool {
	return len(s.tasks) == 0 && len(s.outcomes) == 0
}

// check verifies the slot counts of each upstream against the started tasks and unrecorded outcomes.
func (p *scheduler) check() error {
	started := map[*claimedUpstream]int{}
	unrecorded := map[*claimedUpstream]int{}
	for g, s := range p.groups {
		for _, c := range s.awaitingRecord {
			unrecorded[c]++
		}
		for f, t := range s.tasks {
			if t.group != g || t.item.Fence != f {
				return errors.Newf("task with fencing token %d of group %d is stored under token %d of group %d", t.item.Fence, t.group, f, g)
			}
			if t.upstream != nil {
				started[t.upstream]++
			}
		}
	}
	for n, c := range p.upstreams {
		if c.started != started[c] {
			return errors.Newf("upstream %s has %d started tasks but counts %d", n, started[c], c.started)
		}
		if c.unrecorded != unrecorded[c] {
			return errors.Newf("upstream %s has %d unrecorded outcomes but counts %d", n, unrecorded[c], c.unrecorded)
		}
	}
	return nil
}
