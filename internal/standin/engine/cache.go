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
	perMille        = 1000
	// batchesPerLoss is the mean number of batches of cache events of which one is lost, to make gaps in the sequence.
	batchesPerLoss = 20
)

// blockCache is an LRU cache of prompt blocks.
type blockCache struct {
	mu       sync.Mutex
	capacity int
	clock    uint64            // number of uses so far
	lastUsed map[uint64]uint64 // value of clock at the last use of each block
	stored   []uint64
	evicted  []uint64
}

func newBlockCache(size int) *blockCache {
	return &blockCache{capacity: max(size, 1), lastUsed: map[uint64]uint64{}}
}

// storePrompt stores the blocks of a prompt and returns how many of them were not cached.
func (c *blockCache) storePrompt(model, prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, h := range affinity.Hash(nil, model, []byte(prompt)) {
		c.clock++
		if _, ok := c.lastUsed[h]; !ok {
			n++
			c.evict()
			c.stored = append(c.stored, h)
		}
		c.lastUsed[h] = c.clock
	}
	return n
}

func (c *blockCache) evict() {
	if len(c.lastUsed) < c.capacity {
		return
	}
	var oldest, oldestUse uint64
	for h, t := range c.lastUsed {
		if oldestUse == 0 || t < oldestUse {
			oldest, oldestUse = h, t
		}
	}
	delete(c.lastUsed, oldest)
	c.evicted = append(c.evicted, oldest)
}

// usedPerMille returns the used share of the capacity in thousandths.
func (c *blockCache) usedPerMille() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.lastUsed) * perMille / c.capacity
}

// takeChanges returns the blocks stored and evicted since the last call.
func (c *blockCache) takeChanges() (stored, removed []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stored, removed = c.stored, c.evicted
	c.stored, c.evicted = nil, nil
	return stored, removed
}

// publishCacheEvents posts cache changes, delayed and with gaps in the sequence, until ctx ends.
func (e *Engine) publishCacheEvents(ctx context.Context) error {
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
		stored, removed := e.cache.takeChanges()
		if len(stored)+len(removed) == 0 {
			continue
		}
		s++
		if r.IntN(batchesPerLoss) == 0 {
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
