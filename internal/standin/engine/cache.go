package engine

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskinrun/internal/data/cache"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/affinity"
	"siskinrun/internal/standin/announcer"
)

const (
	publishInterval = 400 * time.Millisecond
	thousand        = 1000
	// gapOneIn is how many batches of cache events pass for each that is lost.
	gapOneIn = 20
)

// blocks is a least-recently-used set of prompt blocks.
type blocks struct {
	mu     sync.Mutex
	size   int
	clock  uint64
	at     map[uint64]uint64
	stored []uint64
	erased []uint64
}

func newBlocks(size int) *blocks {
	return &blocks{size: max(size, 1), at: map[uint64]uint64{}}
}

// missing counts the blocks of a prompt that must be read, and stores them.
func (c *blocks) missing(model, prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, h := range affinity.Hash(nil, model, []byte(prompt)) {
		c.clock++
		if _, ok := c.at[h]; !ok {
			n++
			c.evict()
			c.stored = append(c.stored, h)
		}
		c.at[h] = c.clock
	}
	return n
}

func (c *blocks) evict() {
	if len(c.at) < c.size {
		return
	}
	var oldest, first uint64
	for h, t := range c.at {
		if first == 0 || t < first {
			oldest, first = h, t
		}
	}
	delete(c.at, oldest)
	c.erased = append(c.erased, oldest)
}

// used returns the filled share in parts of a thousand.
func (c *blocks) used() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.at) * thousand / c.size
}

// changes returns what was stored and removed since the last call.
func (c *blocks) changes() (stored, removed []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stored, removed = c.stored, c.erased
	c.stored, c.erased = nil, nil
	return stored, removed
}

// publish posts cache changes late and with gaps until ctx ends.
func (e *Engine) publish(ctx context.Context) error {
	a := &announcer.Announcer{
		Hosts:    e.Hosts,
		Secret:   e.Secret,
		Timer:    e.Timer,
		Upstream: func() upstream.Upstream { return e.Upstream },
	}
	r := rand.New(rand.NewPCG(xxhash.Sum64String(e.Upstream.Name), e.Upstream.Incarnation))
	s := uint64(0)
	for {
		if err := e.Timer.Sleep(ctx, publishInterval); err != nil {
			return err
		}
		stored, removed := e.cache.changes()
		if len(stored)+len(removed) == 0 {
			continue
		}
		s++
		if r.IntN(gapOneIn) == 0 {
			continue
		}
		_ = a.Post("/v1/upstreams/cache-events", cache.Event{
			Upstream:    e.Upstream.Name,
			Incarnation: e.Upstream.Incarnation,
			Sequence:    s,
			Stored:      stored,
			Removed:     removed,
		})
	}
}
