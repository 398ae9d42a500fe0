package main

import (
	"fmt"
	"slices"
	"sync"
	"testing"
)

// playSeeds plays a soak with each of the seeds that CI runs and then with the fresh ones that the flags name.
func playSeeds(t *testing.T, fixed []uint64, play func(t *testing.T, seed uint64)) {
	seeds := slices.Clone(fixed)
	for i := range *soakSeeds {
		seeds = append(seeds, *soakFirst+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { play(t, seed) })
	}
}

// reservations keep apart faults of the same host or worker.
type reservations struct {
	mu       sync.Mutex
	reserved map[string]bool
}

// reserve reserves a host or worker for a fault, and returns false if another one is in progress there.
func (r *reservations) reserve(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reserved[name] {
		return false
	}
	if r.reserved == nil {
		r.reserved = map[string]bool{}
	}
	r.reserved[name] = true
	return true
}

func (r *reservations) release(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reserved, name)
}
