package streamindex

import (
	"time"

	"siskinrun/internal/data/streamstart"
)

const (
	// Lifetime is the least time for which an entry is kept, unless there are too many.
	Lifetime = time.Minute
	// maxEntries is the maximum number of entries in one generation.
	maxEntries = 1 << 14
)

// Index maps the ID of the call that received a stream's first event to what began the stream. It keeps two generations:
// once the young one is old or full, it replaces the other.
type Index struct {
	young   map[string]streamstart.Start
	old     map[string]streamstart.Start
	rotated time.Time
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{young: map[string]streamstart.Start{}}
}

// Add adds an entry. Two that differ under one ID leave an unknown start, since either stream may be asked for.
func (i *Index) Add(now time.Time, call string, s streamstart.Start) {
	if o, ok := i.Find(call); ok && o != s {
		s = streamstart.Start{}
	}
	if len(i.young) >= maxEntries || now.Sub(i.rotated) >= Lifetime {
		i.old, i.young, i.rotated = i.young, map[string]streamstart.Start{}, now
	}
	i.young[call] = s
}

// Find returns what began the stream of a call.
func (i *Index) Find(call string) (streamstart.Start, bool) {
	if s, ok := i.young[call]; ok {
		return s, true
	}
	s, ok := i.old[call]
	return s, ok
}

// Len returns the number of entries.
func (i *Index) Len() int {
	return len(i.young) + len(i.old)
}
