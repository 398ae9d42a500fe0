package quarantine

import (
	"time"

	"siskinrun/internal/data/crashevidence"
)

const (
	// goodLifetime is the least time for which an answered trait is remembered, unless there are too many.
	goodLifetime = 10 * time.Minute
	// maxGood is the maximum number of answered traits of one kind in one generation.
	maxGood = 1 << 15
)

// goodTraits remembers when an upstream last began to answer on a trait. Whole requests have a memory of their own, since
// there are many more of them than of parts of prompts.
type goodTraits struct {
	parts    goodHashes
	requests goodHashes
}

// add remembers an answer that began at a time.
func (g *goodTraits) add(now, at time.Time, t crashevidence.Trait) {
	g.kind(t).add(now, at, t.Hash)
}

// last returns when an upstream last began to answer on a trait.
func (g *goodTraits) last(t crashevidence.Trait) (time.Time, bool) {
	n, ok := g.kind(t).last(t.Hash)
	return time.Unix(0, n), ok
}

func (g *goodTraits) kind(t crashevidence.Trait) *goodHashes {
	if t.Request {
		return &g.requests
	}
	return &g.parts
}

// goodHashes keeps times, in nanoseconds, by hash. It keeps two generations: once the young one is old or full, it replaces
// the other.
type goodHashes struct {
	young   map[uint64]int64
	old     map[uint64]int64
	rotated time.Time
}

func (g *goodHashes) add(now, at time.Time, hash uint64) {
	if g.young == nil || len(g.young) >= maxGood || now.Sub(g.rotated) >= goodLifetime {
		g.old, g.young, g.rotated = g.young, map[uint64]int64{}, now
	}
	n := at.UnixNano()
	if old, ok := g.last(hash); !ok || n > old {
		g.young[hash] = n
	}
}

func (g *goodHashes) last(hash uint64) (int64, bool) {
	if n, ok := g.young[hash]; ok {
		return n, true
	}
	n, ok := g.old[hash]
	return n, ok
}
