package preemption_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"siskinrun/internal/jobs/preemption"
)

// TestRunsWithLeastWorkStopFirst guards against stopping a run that is nearly whole, or that was stopped before, while another
// has done less.
func TestRunsWithLeastWorkStopFirst(t *testing.T) {
	for _, c := range []struct {
		name string
		runs []preemption.Run
		n    int
		want []int
	}{
		{"fewest events first", []preemption.Run{{Events: 20, Expected: 100}, {Events: 5, Expected: 100}}, 1, []int{1}},
		{"of equals the last", []preemption.Run{{Expected: 100}, {Expected: 100}}, 1, []int{1}},
		{"none with most of its events", []preemption.Run{{Events: 50, Expected: 100}, {Events: 49, Expected: 100}}, 2, []int{1}},
		{"none with its only event", []preemption.Run{{Events: 1, Expected: 1}}, 1, []int{}},
		{"none that was resumed", []preemption.Run{{Resumed: true}, {Events: 9}}, 2, []int{1}},
		{"unknown length", []preemption.Run{{Events: 90}, {Events: 3}}, 1, []int{1}},
		{"no excess", []preemption.Run{{}}, -1, []int{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(append([]int{}, preemption.Choose(c.runs, c.n)...), c.want)
		})
	}
}

// TestChoiceIsBounded checks on random runs that no protected run is chosen, none twice, and none that has more events than one
// that is left.
func TestChoiceIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runs := make([]preemption.Run, rapid.IntRange(0, 12).Draw(t, "runs"))
		for i := range runs {
			runs[i] = preemption.Run{
				Events:   rapid.Uint64Range(0, 20).Draw(t, "events"),
				Expected: rapid.Uint64Range(0, 20).Draw(t, "expected"),
				Resumed:  rapid.Bool().Draw(t, "resumed"),
			}
		}
		n := rapid.IntRange(-2, 14).Draw(t, "n")
		chosen := map[int]bool{}
		most := uint64(0)
		for _, i := range preemption.Choose(runs, n) {
			r := runs[i]
			if chosen[i] || r.Resumed || r.Expected > 0 && 2*r.Events >= r.Expected {
				t.Fatalf("run %d %+v chosen", i, r)
			}
			chosen[i] = true
			most = max(most, r.Events)
		}
		if len(chosen) > max(n, 0) {
			t.Fatalf("%d runs chosen of at most %d", len(chosen), n)
		}
		for i, r := range runs {
			free := !chosen[i] && !r.Resumed && (r.Expected == 0 || 2*r.Events < r.Expected)
			if free && (len(chosen) < n || r.Events < most) {
				t.Fatalf("run %d %+v left, %d of %d chosen", i, r, len(chosen), n)
			}
		}
	})
}
