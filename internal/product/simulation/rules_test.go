package simulation

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
	shards    = 4
	// seedsPerRule is the number of seeds that a rule with a separate test runs besides those that once failed.
	seedsPerRule = 10
)

// wrongVerdictSeeds and missedLeaveSeeds are seeds that once failed, run again as regression tests.
var (
	wrongVerdictSeeds = []uint64{7}
	missedLeaveSeeds  = []uint64{1391, 1434}
)

// shrink finds the classes of events that a failing run does not need: without them it still fails on the same kind of
// object. It returns the last failing run and these classes.
func shrink(seed uint64, injected fault) (*simulation, []class) {
	w := newSimulation(seed, injected)
	_ = w.run(runLength)
	var out []class
	for _, c := range classes {
		n := newSimulation(seed, injected, append(out[:len(out):len(out)], c)...)
		if n.run(runLength) != nil && n.object[:1] == w.object[:1] {
			out = append(out, c)
			w = n
		}
	}
	return w, out
}

// report describes a failed run: its seed, the classes of events that it does not need, and the last events that touch
// the failing object.
func report(seed uint64, injected fault) string {
	w, out := shrink(seed, injected)
	return fmt.Sprintf("seed %d, also fails without %v: %v\n%s", seed, out, w.err, w.failureTrace())
}

// Guards against faults between the decision packages, each of which may be right alone: no seeded run may break a
// rule of the checker, and every kind of event must occur.
func TestDecisionPackagesKeepTheRules(t *testing.T) {
	for p := range uint64(shards) {
		t.Run(fmt.Sprint("shard-", p), func(t *testing.T) {
			t.Parallel()
			s := timer.NewService()
			began := s.Now()
			totals := map[string]int{}
			runs, steps := uint64(0), 0
			for seed := *firstSeed + p; ; seed += shards {
				if *duration > 0 && s.Now().Sub(began) >= *duration || *duration == 0 && seed >= *firstSeed+*seeds {
					break
				}
				w := newSimulation(seed, none)
				if w.run(runLength) != nil {
					t.Fatal(report(seed, none))
				}
				if len(w.wrongVerdicts)+len(w.missedLeaves) > 0 {
					t.Logf("seed %d: wrong verdicts %v, missed leaves %v", seed, w.wrongVerdicts, w.missedLeaves)
				}
				runs++
				steps += w.steps
				for k, n := range w.counts {
					totals[k] += n
				}
			}
			t.Logf("%d seeds, %d steps: %v", runs, steps, totals)
			for _, k := range []string{
				"admitted", "received", "not-run", "may-have-run", "ran", "left", "leaving-answers", "changes", "items-completed",
				"items-yielded", "orders",
			} {
				if runs > 0 && totals[k] == 0 {
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
		a, b := newSimulation(seed, none), newSimulation(seed, none)
		is.NoErr(a.run(runLength))
		is.NoErr(b.run(runLength))
		is.Equal(a.steps, b.steps)
		is.True(maps.Equal(a.counts, b.counts))
	}
}

// Guards against a checker that overlooks faults: each deliberate fault must break a rule within a few seeds.
func TestInjectedFaultsAreCaught(t *testing.T) {
	const maxSeeds = 60
	for _, injected := range []fault{
		forgetGrants, dropFence, keepWithdrawnKey, lostIsNotRun, skipIntent, ignoreLeave, keepLeadership, retryAnything,
		ignoreLeavingAnswer,
	} {
		t.Run(string(injected), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(maxSeeds) {
				w := newSimulation(seed+1, injected)
				if w.run(runLength) != nil {
					t.Logf("caught by seed %d: %v\n%s", seed+1, w.err, w.failureTrace())
					return
				}
			}
			t.Errorf("not caught in %d seeds", maxSeeds)
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

// checkRule checks one rule on a few seeds and on those that once failed. The rule has a separate test so that its failure
// does not hide failures of other rules.
func checkRule(t *testing.T, violations func(w *simulation) []string, failed ...uint64) {
	t.Helper()
	l := failed
	for i := range uint64(seedsPerRule) {
		l = append(l, *firstSeed+i)
	}
	for _, seed := range l {
		w := newSimulation(seed, none)
		if err := w.run(runLength); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if b := violations(w); len(b) > 0 {
			w.object = b[0]
			t.Fatalf("seed %d: %v\n%s", seed, b, w.failureTrace())
		}
	}
}

// Guards against an item that the ledger records as not-run although an upstream received it.
func TestItemsRecordedAsNotRunWereNeverReceived(t *testing.T) {
	checkRule(t, func(w *simulation) []string { return w.wrongVerdicts }, wrongVerdictSeeds...)
}

// Guards against a host that starts after an upstream left, has not heard of the leave, and picks the upstream.
func TestHostsStartedAfterALeavePickNoLeaver(t *testing.T) {
	checkRule(t, func(w *simulation) []string { return w.missedLeaves }, missedLeaveSeeds...)
}

// Guards against a leave that reaches a host which starts after it, but later than leaveLimit.
func TestHostsStartedAfterALeaveAreToldOfItInTime(t *testing.T) {
	checkRule(t, func(w *simulation) []string { return w.missedLeaves }, 502141, 504854)
}
