package replica_test

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"testing"
	"time"
)

const (
	seeds         = 1000
	shards        = 4
	seedCountEnv  = "SISKINRUN_SEEDS"
	firstSeedEnv  = "SISKINRUN_FIRST_SEED"
	maxFaultSeeds = 4000
	slowDiskRuns  = 500
	maxSyncTime   = 1500 * time.Millisecond
)

func envNumber(t *testing.T, name string, fallback uint64) uint64 {
	s := os.Getenv(name)
	if s == "" {
		return fallback
	}
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// TestRandomRuns simulates one run per seed. SISKINRUN_SEEDS and SISKINRUN_FIRST_SEED choose other seeds.
func TestRandomRuns(t *testing.T) {
	t.Parallel()
	first := envNumber(t, firstSeedEnv, 1)
	n := envNumber(t, seedCountEnv, seeds)
	for shard := range uint64(shards) {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			for s := first + shard; s < first+n; s += shards {
				if err := newSimulation(s, "").run(); err != nil {
					t.Fatalf("seed %d: %v", s, err)
				}
			}
		})
	}
}

// TestRandomRunsOnSlowDisks simulates runs in which syncs take up to maxSyncTime until all faults end.
func TestRandomRunsOnSlowDisks(t *testing.T) {
	t.Parallel()
	first := envNumber(t, firstSeedEnv, 1)
	n := envNumber(t, seedCountEnv, slowDiskRuns)
	for s := first; s < first+n; s++ {
		w := newSimulation(s, "")
		w.slowDisks = true
		for _, h := range w.nodes {
			h.syncTime = w.randomSyncTime()
		}
		if err := w.run(); err != nil {
			t.Fatalf("seed %d: %v", s, err)
		}
	}
}

// TestFaultsAreCaught checks that the random runs detect faults injected into the algorithm and the disk.
func TestFaultsAreCaught(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		fault   string
		wantErr string
	}{
		{"skip the sync", "checksum|another state|acknowledged|two leaders|the leaders|damage|does not follow|gone|cut short|lacks segment"},
		{"skip the sync of the folder", "acknowledged|another state|the leaders|would be replaced|gone|lacks segment"},
		{"count the vote of an emptied disk", "another state|the leaders|would be replaced|acknowledged"},
		{"send before the disk has it", "another state|the leaders|would be replaced|acknowledged"},
		{"vote without comparing logs", "acknowledged|another state|would be replaced|the logs of"},
		{"lease from the arrival of answers", "hold the lease"},
		{"vote twice in a term", "the leaders|two leaders"},
		{"read without asking a quorum", "misses what was acknowledged"},
	} {
		t.Run(c.fault, func(t *testing.T) {
			t.Parallel()
			for s := uint64(1); s <= maxFaultSeeds; s++ {
				err := newSimulation(s, c.fault).run()
				if err == nil {
					continue
				}
				if !regexp.MustCompile(c.wantErr).MatchString(err.Error()) {
					t.Fatalf("seed %d: %v, want %s", s, err, c.wantErr)
				}
				t.Logf("seed %d: %v", s, err)
				return
			}
			t.Fatalf("not caught by %d seeds", maxFaultSeeds)
		})
	}
}
