package drive

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/item"
	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/verdict"
)

// TestSlotIsTakenUntilRecorded plays a ledger that is slower than its items: what a lost host may
// have run without a record stays within the window of its upstream.
func TestSlotIsTakenUntilRecorded(t *testing.T) {
	cases := []struct {
		name       string
		repeatable bool
		again      int
	}{
		{"items that may not be repeated", false, 0},
		{"items that may be repeated", true, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_800_000_000, 0)
			until := now.Add(time.Minute)
			p := newPlan(1)
			p.setPlace("u", []string{"m"}, 4, until)
			p.taken(now, 1, items(6, c.repeatable), until)
			first := p.assign(now)
			is.Equal(len(first), 4)
			for _, k := range first {
				p.end(k, yielded(k.item.Fence))
			}
			is.Equal(len(p.assign(now)), c.again) // nothing is recorded yet
			p.recorded(1, len(first))
			is.Equal(len(p.assign(now)), 2-c.again)
			is.NoErr(p.check())
		})
	}
}

// TestUnrecordedOutcomesStopNoOtherItem holds that a slot that waits for its record makes no running item yield.
func TestUnrecordedOutcomesStopNoOtherItem(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	until := now.Add(time.Minute)
	p := newPlan(1)
	p.setPlace("u", []string{"m"}, 2, until)
	p.taken(now, 1, items(1, false), until)
	once := p.assign(now)
	is.Equal(len(once), 1)
	p.taken(now, 1, []item.Item{{Fence: 9, Target: "m", Repeatable: true, Line: []byte("{}")}}, until)
	is.Equal(len(p.assign(now)), 1)
	p.end(once[0], yielded(once[0].item.Fence))
	p.setPlace("u", []string{"m"}, 1, until)
	is.Equal(len(p.overdue(now)), 0)
}

// running returns a plan in which one item runs that may be repeated, under a lease of the given length.
func running(lease time.Duration) (p *plan, k *task, now, until time.Time) {
	now = time.Unix(1_800_000_000, 0)
	until = now.Add(lease)
	p = newPlan(1)
	p.setPlace("u", []string{"m"}, 1, until)
	p.taken(now, 1, items(1, true), until)
	return p, p.assign(now)[0], now, until
}

func items(n int, repeatable bool) []item.Item {
	var a []item.Item
	for i := range n {
		a = append(a, item.Item{Fence: uint64(i + 1), Target: "m", Repeatable: repeatable, Line: []byte("{}")})
	}
	return a
}

// TestItemThatMadeRoomGoesOnHere plays a burst of online calls: the item pauses, runs on from where it was on the
// same host, and nothing of it reaches the ledger.
func TestItemThatMadeRoomGoesOnHere(t *testing.T) {
	is := is.New(t)
	p, k, now, until := running(time.Minute)
	p.setPlace("u", []string{"m"}, 0, until)
	is.Equal(p.overdue(now), []*task{k})
	k.stopping = true
	cut := yielded(1)
	cut.Progress = &entry.Progress{Next: 7, Text: []byte("so far")}
	p.finish(now, k, cut)
	is.Equal(len(p.sides[1].outcomes), 0)
	p.setPlace("u", []string{"m"}, 1, until)
	is.Equal(len(p.assign(now)), 0) // it does not flap
	now = now.Add(yieldPause)
	is.Equal(p.assign(now), []*task{k})
	is.Equal(k.item.Next, uint64(7))
	is.Equal(k.item.Runs, 1) // its call gets an ID of its own
	is.NoErr(p.check())
}

// TestItemThatFindsNoRoomGoesBackWithItsProgress holds that a long burst hands the item to other hosts.
func TestItemThatFindsNoRoomGoesBackWithItsProgress(t *testing.T) {
	is := is.New(t)
	p, k, now, until := running(time.Minute)
	p.setPlace("u", []string{"m"}, 0, until)
	p.overdue(now)
	cut := yielded(1)
	cut.Progress = &entry.Progress{Next: 7}
	p.finish(now, k, cut)
	p.stale(now.Add(pendingKeep))
	is.Equal(p.sides[1].outcomes, []*entry.Outcome{cut})
	is.NoErr(p.check())
}

// TestItemThatStopsForItsLeaseGoesBack holds that only room is a reason to keep an item.
func TestItemThatStopsForItsLeaseGoesBack(t *testing.T) {
	is := is.New(t)
	p, k, _, until := running(time.Second)
	p.setPlace("u", []string{"m"}, 1, until.Add(time.Minute))
	is.Equal(p.overdue(until), []*task{k})
	p.finish(until, k, yielded(1))
	is.Equal(len(p.sides[1].outcomes), 1)
}

// TestRunsThatMadeRoomAreNotForgotten holds that an item that ran before never ends as not run.
func TestRunsThatMadeRoomAreNotForgotten(t *testing.T) {
	is := is.New(t)
	p, k, now, until := running(time.Minute)
	p.setPlace("u", []string{"m"}, 0, until)
	p.overdue(now)
	cut := yielded(1)
	cut.Result.Verdict = uint32(verdict.MayHaveRun)
	p.finish(now, k, cut)
	p.setPlace("u", []string{"m"}, 1, until)
	now = now.Add(yieldPause)
	is.Equal(p.assign(now), []*task{k})
	p.finish(now, k, &entry.Outcome{Fence: 1, Kind: entry.Outcome_RETRY, Result: &entry.Result{Verdict: uint32(verdict.NotRun)}})
	is.Equal(p.sides[1].outcomes[0].Result.Verdict, uint32(verdict.MayHaveRun))
}
