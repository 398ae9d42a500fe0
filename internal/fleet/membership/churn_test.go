package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// churn runs a fleet through leaves, restarts, two partitions and late announcements.
func churn(seed uint64, ignoreIncarnations bool) error {
	f := newFleet(seed, 9)
	f.loss = 0.05
	r := f.random
	var names []string
	for i := range 30 {
		names = append(names, fmt.Sprint("u", i))
		f.incarnations[names[i]] = 1
	}
	left := map[string]bool{}
	announceAll := func() error {
		for k, u := range names {
			if !left[u] {
				f.announce(k%9, u, 0)
			}
		}
		return f.run(time.Second)
	}
	for range 3 {
		if err := announceAll(); err != nil {
			return err
		}
	}
	for round := range 2 {
		for i := range f.views {
			f.partition[i] = 0
			if i%3 == round {
				f.partition[i] = 1
			}
		}
		for range 4 {
			u := names[r.IntN(len(names))]
			i := r.IntN(9)
			for f.partition[i] != 0 {
				i = r.IntN(9)
			}
			old := f.incarnations[u]
			f.leave(i, u)
			left[u] = true
			if r.IntN(2) == 0 {
				f.incarnations[u] = old + 1
				left[u] = false
			}
			if err := announceAll(); err != nil {
				return err
			}
			// An announcement of the ended incarnation arrives late at a random host.
			current := f.incarnations[u]
			f.incarnations[u] = old
			if ignoreIncarnations {
				// A host that ignored incarnations would take it for a newer one.
				f.incarnations[u] = current + 1
			}
			f.announce(r.IntN(9), u, time.Duration(r.Int64N(int64(5*time.Second))))
			f.incarnations[u] = current
		}
		if err := announceAll(); err != nil {
			return err
		}
		clear(f.partition)
		f.healedAt = f.now
		if err := converge(f, announceAll); err != nil {
			return err
		}
		if err := f.checkAgreement(len(names) - len(left) + countRestarted(left)); err != nil {
			return err
		}
	}
	return nil
}

// converge runs the fleet without message loss until the views agree.
func converge(f *fleet, announceAll func() error) error {
	l := f.loss
	f.loss = 0
	defer func() { f.loss = l }()
	for range 4 {
		if err := announceAll(); err != nil {
			return err
		}
	}
	return nil
}

func countRestarted(left map[string]bool) int {
	n := 0
	for _, g := range left {
		if !g {
			n++
		}
	}
	return n
}

func TestViewsConvergeAndEndedIncarnationsStayEnded(t *testing.T) {
	for seed := range uint64(40) {
		if err := churn(seed, false); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// TestRevivedUpstreamsAreDetected checks that churn fails if a late announcement revives an ended incarnation.
func TestRevivedUpstreamsAreDetected(t *testing.T) {
	for seed := range uint64(5) {
		is.New(t).True(churn(seed, true) != nil)
	}
}

func TestLeaveSpreadsWithinOnePeriodInALargeFleet(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 320)
	f.loss = 0.02
	f.incarnations["u0"] = 1
	f.announce(0, "u0", 0)
	is.NoErr(f.run(4 * time.Second))
	f.leave(7, "u0")
	left := f.now
	for f.anyUses("u0") {
		is.NoErr(f.run(step))
	}
	t.Logf("320 hosts learned of a leave within %v", f.now.Sub(left))
	is.True(f.now.Sub(left) < period)
}
