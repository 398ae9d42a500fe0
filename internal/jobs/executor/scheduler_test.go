package executor

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/item"
	"siskinrun/internal/data/itemanswer"
	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// TestSlotIsHeldUntilRecorded guards against a host that starts new non-repeatable items while the outcomes of
// ended ones are unrecorded: if it is lost, more items have an unknown outcome than the window of its upstream.
func TestSlotIsHeldUntilRecorded(t *testing.T) {
	cases := []struct {
		name         string
		repeatable   bool
		beforeRecord int
	}{
		{"items that may not be repeated", false, 0},
		{"items that may be repeated", true, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_800_000_000, 0)
			until := now.Add(time.Minute)
			p := newScheduler(1)
			p.setUpstream("u", []string{"m"}, 4, until)
			p.addLeased(now, 1, items(6, c.repeatable), until)
			first := p.assign(now)
			is.Equal(len(first), 4)
			for _, k := range first {
				p.endTask(k, unsentOutcome(k.item.Fence))
			}
			is.Equal(len(p.assign(now)), c.beforeRecord) // nothing is recorded yet
			p.acknowledge(1, len(first))
			is.Equal(len(p.assign(now)), 2-c.beforeRecord)
			is.NoErr(p.check())
		})
	}
}

// TestUnrecordedOutcomesPreemptNoOtherItem guards against preempting a running item because the slot of an ended
// one still waits for its record.
func TestUnrecordedOutcomesPreemptNoOtherItem(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	until := now.Add(time.Minute)
	p := newScheduler(1)
	p.setUpstream("u", []string{"m"}, 2, until)
	p.addLeased(now, 1, items(1, false), until)
	nonRepeatable := p.assign(now)
	is.Equal(len(nonRepeatable), 1)
	p.addLeased(now, 1, []item.Item{{Fence: 9, Target: "m", Repeatable: true, Line: []byte("{}")}}, until)
	is.Equal(len(p.assign(now)), 1)
	p.endTask(nonRepeatable[0], unsentOutcome(nonRepeatable[0].item.Fence))
	p.setUpstream("u", []string{"m"}, 1, until)
	is.Equal(len(p.tasksToStop(now)), 0)
}

// newRunning returns a scheduler with one running repeatable item, under a lease of the given length.
func newRunning(lease time.Duration) (p *scheduler, k *task, now, until time.Time) {
	now = time.Unix(1_800_000_000, 0)
	until = now.Add(lease)
	p = newScheduler(1)
	p.setUpstream("u", []string{"m"}, 1, until)
	p.addLeased(now, 1, items(1, true), until)
	return p, p.assign(now)[0], now, until
}

func items(n int, repeatable bool) []item.Item {
	var a []item.Item
	for i := range n {
		a = append(a, item.Item{Fence: uint64(i + 1), Target: "m", Repeatable: repeatable, Line: []byte("{}")})
	}
	return a
}

// TestPreemptedItemResumesOnSameHost checks that an item that a burst of online calls preempts resumes with its
// progress on the same host, without a report to the ledger.
func TestPreemptedItemResumesOnSameHost(t *testing.T) {
	is := is.New(t)
	p, k, now, until := newRunning(time.Minute)
	p.setUpstream("u", []string{"m"}, 0, until)
	is.Equal(p.tasksToStop(now), []*task{k})
	k.stopping = true
	preempted := unsentOutcome(1)
	preempted.Progress = &entry.Progress{Next: 7, Text: []byte("so far")}
	p.finishRun(now, k, preempted)
	is.Equal(len(p.groups[1].outcomes), 0)
	p.setUpstream("u", []string{"m"}, 1, until)
	is.Equal(len(p.assign(now)), 0) // it waits for the backoff
	now = now.Add(preemptionBackoff)
	is.Equal(p.assign(now), []*task{k})
	is.Equal(k.item.NextEvent, uint64(7))
	is.Equal(k.item.Preemptions, 1) // its call gets a new ID
	is.NoErr(p.check())
}

// TestPreemptedItemTimesOutWithProgress guards against a long burst that keeps an item from other hosts: its lease is
// returned with its progress, and not before.
func TestPreemptedItemTimesOutWithProgress(t *testing.T) {
	cases := []struct {
		name    string
		next    uint64
		claimed bool
		timeout time.Duration
	}{
		{"begun, on a host with an upstream for it", 7, true, begunTimeout},
		{"begun, on a host that lost its upstream", 7, false, pendingTimeout},
		{"not begun", 0, true, pendingTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p, k, now, until := newRunning(time.Minute)
			p.setUpstream("u", []string{"m"}, 0, until)
			p.tasksToStop(now)
			preempted := unsentOutcome(1)
			preempted.Progress = &entry.Progress{Next: c.next}
			p.finishRun(now, k, preempted)
			if !c.claimed {
				p.setUpstream("u", []string{"m"}, 0, now)
			}
			p.returnStale(now.Add(c.timeout - 1))
			is.Equal(len(p.groups[1].outcomes), 0)
			p.returnStale(now.Add(c.timeout))
			is.Equal(p.groups[1].outcomes, []*entry.Outcome{preempted})
			is.NoErr(p.check())
		})
	}
}

// TestItemsThatWereNotSentLeaveTheirSlotsToOthers guards against items that wait for something to pass and keep the other
// items of their job from running.
func TestItemsThatWereNotSentLeaveTheirSlotsToOthers(t *testing.T) {
	is := is.New(t)
	p, k, now, until := newRunning(time.Minute)
	p.finishRun(now, k, outcomeOf(1, itemanswer.Answer{}, refusal.NewNotRun(503, refusal.CodeCrashingPrompt, ""), false))
	o := p.groups[1].outcomes
	is.Equal(len(o), 1)                      // it is returned at once: nothing is held back
	is.Equal(o[0].Kind, entry.Outcome_YIELD) // it costs no attempt
	is.Equal(len(p.pending), 0)
	is.True(p.unreservedSlots(now)[0].free > 0)
	p.addLeased(now, 1, []item.Item{{Fence: 2, Target: "m", Repeatable: true, Line: []byte("{}")}}, until)
	other := p.assign(now)
	is.Equal(len(other), 1)
	is.Equal(other[0].item.Fence, uint64(2))
	is.NoErr(p.check())
}

// TestItemOfExpiredSessionIsReturned guards against keeping an item that stopped for its session instead of a window.
func TestItemOfExpiredSessionIsReturned(t *testing.T) {
	is := is.New(t)
	p, k, _, until := newRunning(time.Second)
	p.setUpstream("u", []string{"m"}, 1, until.Add(time.Minute))
	is.Equal(p.tasksToStop(until), []*task{k})
	p.finishRun(until, k, unsentOutcome(1))
	is.Equal(len(p.groups[1].outcomes), 1)
}

// TestVerdictOfPreemptedRunIsKept guards against the verdict not-run for an item of which an earlier, preempted run
// was sent.
func TestVerdictOfPreemptedRunIsKept(t *testing.T) {
	is := is.New(t)
	p, k, now, until := newRunning(time.Minute)
	p.setUpstream("u", []string{"m"}, 0, until)
	p.tasksToStop(now)
	preempted := unsentOutcome(1)
	preempted.Result.Verdict = uint32(verdict.MayHaveRun)
	p.finishRun(now, k, preempted)
	p.setUpstream("u", []string{"m"}, 1, until)
	now = now.Add(preemptionBackoff)
	is.Equal(p.assign(now), []*task{k})
	p.finishRun(now, k, &entry.Outcome{Fence: 1, Kind: entry.Outcome_RETRY, Result: &entry.Result{Verdict: uint32(verdict.NotRun)}})
	is.Equal(p.groups[1].outcomes[0].Result.Verdict, uint32(verdict.MayHaveRun))
}

// TestItemsOfOneJobSpreadOverHosts plays the load of a few jobs in a fleet with many free slots: a request leases so little
// that other hosts get their part, and the next one leases more once the first items have started.
func TestItemsOfOneJobSpreadOverHosts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	until := now.Add(time.Minute)
	p := newScheduler(1)
	for _, u := range []string{"u1", "u2", "u3"} {
		p.setUpstream(u, []string{"m"}, 8, until)
	}
	p.groups[1].backlog = []string{"m"}
	for i := range 4 {
		is.Equal(totalCount(p.wants(now, 1)), 3)
		var l []item.Item
		for j := range 3 {
			l = append(l, item.Item{Fence: uint64(3*i + j + 1), Target: "m", Repeatable: true, Line: []byte("{}")})
		}
		p.addLeased(now, 1, l, until)
		is.Equal(totalCount(p.wants(now, 1)), 0) // the leased ones have not started
		p.groups[1].requested = nil
		is.Equal(len(p.assign(now)), 3)
	}
	for _, u := range p.upstreams {
		is.Equal(u.started, 4)
	}
	is.NoErr(p.check())
}
