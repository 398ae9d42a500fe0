package preemption

import (
	"cmp"
	"slices"
)

// Run is a batch run that holds a slot of an upstream.
type Run struct {
	// Events is the number of events that the item has so far, over all of its runs.
	Events uint64
	// Expected is the number of events that the item can be expected to have in the end, zero if it is unknown.
	Expected uint64
	// Resumed means that an earlier run of the item ended early.
	Resumed bool
}

// Choose returns the indexes of up to n runs to stop, those with the fewest events first, and of equals the last first.
//
// A run that has most of its events is about to leave its slot by itself, and would read its prompt again for the few that are
// left. A run that was resumed stays, so that no item is preempted more than once.
func Choose(runs []Run, n int) []int {
	var l []int
	for i, r := range runs {
		if !r.Resumed && !r.hasMost() {
			l = append(l, i)
		}
	}
	slices.SortFunc(l, func(a, b int) int {
		return cmp.Or(cmp.Compare(runs[a].Events, runs[b].Events), cmp.Compare(b, a))
	})
	return l[:max(min(n, len(l)), 0)]
}

// hasMost reports whether the item has at least half of its expected events.
func (r Run) hasMost() bool {
	return r.Expected > 0 && r.Events >= r.Expected-r.Expected/2
}
