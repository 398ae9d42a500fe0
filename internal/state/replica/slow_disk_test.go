package replica_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowDiskSeeds is the number of runs of TestLeaderIsElectedOnSlowDisks for each duration of a sync.
const slowDiskSeeds = 20

// electOnSlowDisks returns how long three new hosts take to elect a leader that has committed an entry.
func electOnSlowDisks(seed uint64, syncTime, limit time.Duration) (time.Duration, error) {
	w := newSimulation(seed, "")
	w.faultsOff = true
	for i, n := range w.nodes {
		n.syncTime = syncTime
		if err := n.start(); err != nil {
			return 0, err
		}
		w.scheduleTicks(i)
	}
	for w.now < limit {
		if err := w.step(); err != nil {
			return 0, err
		}
		for _, n := range w.nodes {
			if n.replica.Leading() {
				return w.now, nil
			}
		}
	}
	return limit, nil
}

// TestLeaderIsElectedOnSlowDisks checks that a group gets a leader however long a sync of its disks takes.
func TestLeaderIsElectedOnSlowDisks(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ syncTime, limit time.Duration }{
		{20 * time.Millisecond, 3 * time.Second},
		{200 * time.Millisecond, 4 * time.Second},
		{400 * time.Millisecond, 6 * time.Second},
		{700 * time.Millisecond, 10 * time.Second},
		{1500 * time.Millisecond, 15 * time.Second},
		{3 * time.Second, 30 * time.Second},
	} {
		t.Run(fmt.Sprint(c.syncTime), func(t *testing.T) {
			is := is.New(t)
			late := 0
			longest := time.Duration(0)
			for s := range uint64(slowDiskSeeds) {
				d, err := electOnSlowDisks(s, c.syncTime, c.limit)
				is.NoErr(err)
				longest = max(longest, d)
				if d == c.limit {
					late++
				}
			}
			t.Logf("longest election %v", longest)
			is.Equal(late, 0) // runs without a leader in time
		})
	}
}
