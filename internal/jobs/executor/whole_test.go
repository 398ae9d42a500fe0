package executor

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"siskinrun/internal/data/streamstart"
	"siskinrun/internal/jobs/entry"
)

// fakePlaces says that every upstream runs items whole, with a number of free slots elsewhere.
type fakePlaces int

func (f fakePlaces) RunsWhole(string) bool    { return true }
func (f fakePlaces) FreeElsewhere(string) int { return int(f) }

// newWhole returns a scheduler with running items whose events so far are given, on one upstream.
func newWhole(p fakePlaces, events ...uint64) (s *scheduler, tasks []*task, now, until time.Time) {
	now = time.Unix(1_800_000_000, 0)
	until = now.Add(time.Minute)
	s = newScheduler(1)
	s.setUpstream("u", []string{"m"}, len(events), until)
	s.addLeased(now, 1, items(len(events), true), until)
	tasks = s.assign(now)
	for i, t := range tasks {
		t.item.Received.Store(events[i])
	}
	s.upstreams["u"].setPlaces(now, p)
	return s, tasks, now, until
}

// narrow lowers what an upstream may keep, placeWait before now.
func narrow(s *scheduler, p fakePlaces, keep int, now, until time.Time) {
	s.setUpstream("u", []string{"m"}, keep, until)
	s.upstreams["u"].setPlaces(now.Add(-placeWait), p)
}

// TestRunsStayWhileCountsMayBeOld guards against runs that stop for a call which a slot elsewhere, or one that becomes free
// here, would have taken: what a host knows of other upstreams is some time old.
func TestRunsStayWhileCountsMayBeOld(t *testing.T) {
	is := is.New(t)
	s, tasks, now, until := newWhole(0, 0)
	narrow(s, 0, 0, now, until)
	is.Equal(len(s.tasksToStop(now.Add(-1))), 0)
	s.upstreams["u"].setPlaces(now.Add(-1), fakePlaces(1)) // a slot is free elsewhere for a moment
	s.upstreams["u"].setPlaces(now, fakePlaces(0))
	is.Equal(len(s.tasksToStop(now.Add(placeWait-1))), 0)
	is.Equal(s.tasksToStop(now.Add(placeWait)), tasks)
}

// TestRunWithLeastWorkYields guards against stopping the run that began last, whatever it has done, and a run for a call that
// has another place.
func TestRunWithLeastWorkYields(t *testing.T) {
	for _, c := range []struct {
		name      string
		elsewhere fakePlaces
		events    []uint64
		keep      int
		want      []int
	}{
		{"fewest events", 0, []uint64{3, 40, 45}, 2, []int{0}},
		{"none with most of its events", 0, []uint64{60, 70, 99}, 0, nil},
		{"another place for the call", 1, []uint64{3, 40, 45}, 2, nil},
		{"another place for one call of two", 1, []uint64{3, 40, 45}, 1, []int{0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, tasks, now, until := newWhole(c.elsewhere, c.events...)
			s.expected["m"] = 100
			narrow(s, c.elsewhere, c.keep, now, until)
			var want []*task
			for _, i := range c.want {
				want = append(want, tasks[i])
			}
			is.Equal(s.tasksToStop(now), want)
		})
	}
}

// TestItemIsPreemptedOnce guards against an item that is preempted again after it went on, here or on the host that had it before.
func TestItemIsPreemptedOnce(t *testing.T) {
	is := is.New(t)
	s, tasks, now, until := newWhole(0, 0)
	narrow(s, 0, 0, now, until)
	is.Equal(s.tasksToStop(now), tasks)
	s.finishRun(now, tasks[0], unsentOutcome(1))
	s.returnStale(now.Add(pendingTimeout))
	is.Equal(len(s.pending), 1) // the ledger would not know that it was preempted
	narrow(s, 0, 1, now, until)
	now = now.Add(preemptionBackoff)
	is.Equal(s.assign(now), tasks)
	narrow(s, 0, 0, now, until)
	is.Equal(len(s.tasksToStop(now)), 0)

	s, tasks, now, until = newWhole(0, 0)
	tasks[0].item.NextEvent = 7 // it came with text
	narrow(s, 0, 0, now, until)
	is.Equal(len(s.tasksToStop(now)), 0)
}

// TestLostClaimStopsEveryRun guards against two drivers of an upstream: what an item has done does not keep it on an upstream
// whose claim or session is lost.
func TestLostClaimStopsEveryRun(t *testing.T) {
	is := is.New(t)
	s, tasks, now, _ := newWhole(9, 90, 90)
	s.expected["m"] = 100
	s.setUpstream("u", []string{"m"}, 2, now)
	is.Equal(len(s.tasksToStop(now)), len(tasks))
	s, tasks, _, until := newWhole(9, 90, 90)
	s.setUpstream("u", []string{"m"}, 2, until.Add(time.Minute))
	is.Equal(len(s.tasksToStop(until)), len(tasks))
}

// TestPreemptedItemGoesOnWhereItsSoftwareRuns guards against an item that begins anew on another version while an upstream of its
// own has a slot.
func TestPreemptedItemGoesOnWhereItsSoftwareRuns(t *testing.T) {
	is := is.New(t)
	s, tasks, now, until := newWhole(0, 5)
	narrow(s, 0, 0, now, until)
	s.tasksToStop(now)
	o := unsentOutcome(1)
	o.Progress = &entry.Progress{Next: 5, Text: []byte("so far"), Service: "s", Version: "v1"}
	s.finishRun(now, tasks[0], o)
	for n, v := range map[string]string{"a": "v2", "b": "v1"} {
		s.setUpstream(n, []string{"m"}, map[string]int{"a": 8, "b": 1}[n], until)
		s.upstreams[n].software = streamstart.Start{Service: "s", Version: v}
		s.upstreams[n].setPlaces(now, fakePlaces(0))
	}
	is.Equal(s.assign(now.Add(preemptionBackoff)), tasks)
	is.Equal(tasks[0].upstream.name, "b")
	is.NoErr(s.check())
}

// TestResultsOfSeveralRunsAreCounted guards against figures that hide how many results come from one run.
func TestResultsOfSeveralRunsAreCounted(t *testing.T) {
	is := is.New(t)
	s, tasks, now, _ := newWhole(0, 10, 30)
	s.metrics = metrics.NewRegistry()
	tasks[1].item.Preemptions = 1
	for _, k := range tasks {
		s.finishRun(now, k, &entry.Outcome{Fence: k.item.Fence, Kind: entry.Outcome_COMPLETE, Result: &entry.Result{Status: 200}})
	}
	is.Equal(metrics.GetOrRegisterCounter("results", s.metrics).Count(), int64(2))
	is.Equal(metrics.GetOrRegisterCounter("results-of-several-runs", s.metrics).Count(), int64(1))
	is.Equal(s.expected["m"], 10+20*expectedWeight)
}

// TestBacklogOfOtherUpstreamsDoesNotPress guards against a host that gives up slots for items which none of its upstreams serves.
func TestBacklogOfOtherUpstreamsDoesNotPress(t *testing.T) {
	is := is.New(t)
	s, _, now, _ := newWhole(0, 0)
	is.True(!s.backlogged(now))
	s.groups[1].backlog = []string{"other"}
	is.True(!s.backlogged(now))
	s.groups[1].backlog = []string{"other", "m"}
	is.True(s.backlogged(now))
}
