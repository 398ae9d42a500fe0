package joined

import (
	"flag"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/timer"
)

var (
	seeds     = flag.Uint64("seeds", 100, "number of seeds to run")
	firstSeed = flag.Uint64("first-seed", 1, "first seed to run")
	duration  = flag.Duration("duration", 0, "wall time to run seeds for, in place of a number of seeds")
)

const (
	// runLength is the virtual time of a run before its end without disturbances.
	runLength = 16 * time.Second
	parts     = 4
	// ownSeeds is the number of seeds that a rule with a separate test runs besides those that once failed.
	ownSeeds = 10
)

// failedUntrue and failedUnheard are seeds that once failed, run again as regression tests.
var (
	failedUntrue  = []uint64{7}
	failedUnheard = []uint64{1391, 1434}
)

// shrink finds the classes of events that a failing run does not need: without them it still fails on the same kind of
// object. It returns the last failing run and these classes.
func shrink(seed uint64, wrong fault) (*world, []class) {
	w := newWorld(seed, wrong)
	_ = w.run(runLength)
	var out []class
	for _, c := range classes {
		n := newWorld(seed, wrong, append(out[:len(out):len(out)], c)...)
		if n.run(runLength) != nil && n.object[:1] == w.object[:1] {
			out = append(out, c)
			w = n
		}
	}
	return w, out
}

// report describes a failed run: its seed, the classes of events that it does not need, and the last events that touch
// the failing object.
func report(seed uint64, wrong fault) string {
	w, out := shrink(seed, wrong)
	return fmt.Sprintf("seed %d, also fails without %v: %v\n%s", seed, out, w.err, w.story())
}

// Guards against faults between the decision packages, each of which may be right alone: the rules of fail and check
// hold in each seeded run, and every kind of event occurs.
func TestJoinedDecisionsKeepTheRules(t *testing.T) {
	for p := range uint64(parts) {
		t.Run(fmt.Sprint("part-", p), func(t *testing.T) {
			t.Parallel()
			s := timer.NewService()
			began := s.Now()
			tally := map[string]int{}
			runs, steps := uint64(0), 0
			for seed := *firstSeed + p; ; seed += parts {
				if *duration > 0 && s.Now().Sub(began) >= *duration || *duration == 0 && seed >= *firstSeed+*seeds {
					break
				}
				w := newWorld(seed, none)
				if w.run(runLength) != nil {
					t.Fatal(report(seed, none))
				}
				if len(w.untrue)+len(w.unheard) > 0 {
					t.Logf("seed %d: untrue %v, unheard %v", seed, w.untrue, w.unheard)
				}
				runs++
				steps += w.steps
				for k, n := range w.tally {
					tally[k] += n
				}
			}
			t.Logf("%d seeds, %d steps: %v", runs, steps, tally)
			for _, k := range []string{"admitted", "received", "not-run", "may-have-run", "ran", "left", "changes", "items-completed", "items-yielded", "orders"} {
				if runs > 0 && tally[k] == 0 {
					t.Errorf("no run had any %s", k)
				}
			}
		})
	}
}

// Guards against runs that a seed does not reproduce, such as by the order of a map.
func TestSeedDecidesTheRun(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(8) {
		a, b := newWorld(seed, none), newWorld(seed, none)
		is.NoErr(a.run(runLength))
		is.NoErr(b.run(runLength))
		is.Equal(a.steps, b.steps)
		is.True(maps.Equal(a.tally, b.tally))
	}
}

// Guards against a checker that overlooks faults: each deliberate fault must break a rule within a few seeds.
func TestFaultsInTheJoiningAreCaught(t *testing.T) {
	const most = 60
	for _, wrong := range []fault{
		forgetGrants, dropFence, keepKey, lostIsNotRun, skipIntent, ignoreLeave, keepLead, repeatAnything,
	} {
		t.Run(string(wrong), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(most) {
				w := newWorld(seed+1, wrong)
				if w.run(runLength) != nil {
					t.Logf("caught by seed %d: %v\n%s", seed+1, w.err, w.story())
					return
				}
			}
			t.Errorf("not caught in %d seeds", most)
		})
	}
}

// Guards against reports that lack the seed or the events that led to the failure.
func TestReportNamesTheSeedAndWhatIsNotNeeded(t *testing.T) {
	is := is.New(t)
	s := report(1, lostIsNotRun)
	is.True(strings.Contains(s, "seed 1, "))
	is.True(strings.Contains(s, "crashes"))
	is.True(strings.Contains(s, "an upstream receives it"))
}

// found checks one rule on a few seeds and on those that once failed. The rule has a separate test so that its failure
// does not hide failures of other rules.
func found(t *testing.T, broken func(w *world) []string, failed ...uint64) {
	t.Helper()
	l := failed
	for i := range uint64(ownSeeds) {
		l = append(l, *firstSeed+i)
	}
	for _, seed := range l {
		w := newWorld(seed, none)
		if err := w.run(runLength); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if b := broken(w); len(b) > 0 {
			w.object = b[0]
			t.Fatalf("seed %d: %v\n%s", seed, b, w.story())
		}
	}
}

// Guards against an item that the ledger records as not-run although an upstream received it.
func TestItemsRecordedAsNotRunWereNeverReceived(t *testing.T) {
	found(t, func(w *world) []string { return w.untrue }, failedUntrue...)
}

// Guards against a host that starts after an upstream left, has not heard of the leave, and picks the upstream.
func TestHostsStartedAfterALeavePickNoLeaver(t *testing.T) {
	found(t, func(w *world) []string { return w.unheard }, failedUnheard...)
}

// Guards against a leave that reaches a host which starts after it, but later than leaveLimit.
func TestHostsStartedAfterALeaveAreToldOfItInTime(t *testing.T) {
	found(t, func(w *world) []string { return w.unheard }, 502141, 504854)
}
