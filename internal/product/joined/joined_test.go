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
	seeds     = flag.Uint64("seeds", 100, "number of seeded runs")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first run")
	duration  = flag.Duration("duration", 0, "wall time in which to run fresh seeds instead of a number of them")
)

const (
	// runLength is the virtual time of a run before the quiet end.
	runLength = 16 * time.Second
	parts     = 4
	// ownSeeds is the number of fresh seeds of a rule with a test of its own.
	ownSeeds = 10
)

// failedUntrue and failedUnheard are seeds that have once failed.
var (
	failedUntrue  = []uint64{7}
	failedUnheard = []uint64{1391, 1434}
)

// shrink returns the classes of events without which a run still fails alike.
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

// report tells of a failed run with the last events that touch the failing object.
func report(seed uint64, wrong fault) string {
	w, out := shrink(seed, wrong)
	return fmt.Sprintf("seed %d, fails also without %v: %v\n%s", seed, out, w.err, w.story())
}

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

func TestReportNamesTheSeedAndWhatIsNotNeeded(t *testing.T) {
	is := is.New(t)
	s := report(1, lostIsNotRun)
	is.True(strings.Contains(s, "seed 1, "))
	is.True(strings.Contains(s, "crashes"))
	is.True(strings.Contains(s, "an upstream receives it"))
}

// found runs a few seeds and those that once failed for one rule that has a test of its own, so that a failure hides no other rule.
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

func TestItemsRecordedAsNotRunWereNeverReceived(t *testing.T) {
	found(t, func(w *world) []string { return w.untrue }, failedUntrue...)
}

func TestHostsStartedAfterALeavePickNoLeaver(t *testing.T) {
	found(t, func(w *world) []string { return w.unheard }, failedUnheard...)
}

func TestHostsStartedAfterALeaveAreToldOfItInTime(t *testing.T) {
	found(t, func(w *world) []string { return w.unheard }, 502141, 504854)
}
