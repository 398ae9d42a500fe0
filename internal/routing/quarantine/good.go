package quarantine

import "time"

const (
	// goodLifetime is the least time for which an answered part is remembered, unless there are too many.
	goodLifetime = 10 * time.Minute
	// maxGood is the maximum number of answered parts in one generation.
	maxGood = 1 << 15
)

// goodParts remembers when an upstream last began to answer on a part. It keeps two generations: once the young one is old
// or full, it replaces the other.
type goodParts struct {
	young   map[uint64]time.Time
	old     map[uint64]time.Time
	rotated time.Time
}

// add remembers an answer that began at a time.
func (g *goodParts) add(now, at time.Time, part uint64) {
	if g.young == nil || len(g.young) >= maxGood || now.Sub(g.rotated) >= goodLifetime {
		g.old, g.young, g.rotated = g.young, map[uint64]time.Time{}, now
	}
	if old, ok := g.last(part); !ok || at.After(old) {
		g.young[part] = at
	}
}

// last returns when an upstream last began to answer on a part.
func (g *goodParts) last(part uint64) (time.Time, bool) {
	if at, ok := g.young[part]; ok {
		return at, true
	}
	at, ok := g.old[part]
	return at, ok
}
