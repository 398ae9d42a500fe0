package enginesim

import (
	"container/list"
	"slices"
)

// blockCache is a prefix cache that evicts the least recently used block.
type blockCache struct {
	lru     list.List
	index   map[uint64]*list.Element
	stored  map[uint64]bool
	removed map[uint64]bool
}

// cachedBlocks returns the number of leading blocks of prefix that are cached.
func (b *blockCache) cachedBlocks(prefix []uint64) int {
	for i, h := range prefix {
		if _, ok := b.index[h]; !ok {
			return i
		}
	}
	return len(prefix)
}

// store caches prefix so that its deepest blocks are evicted first.
func (b *blockCache) store(prefix []uint64, size int) {
	if b.index == nil {
		b.index = make(map[uint64]*list.Element)
		b.stored = make(map[uint64]bool)
		b.removed = make(map[uint64]bool)
	}
	for i := len(prefix) - 1; i >= 0; i-- {
		b.touch(prefix[i])
	}
	for b.lru.Len() > size {
		e := b.lru.Back()
		h := b.lru.Remove(e).(uint64)
		delete(b.index, h)
		delete(b.stored, h)
		b.removed[h] = true
	}
}

func (b *blockCache) touch(h uint64) {
	if e, ok := b.index[h]; ok {
		b.lru.MoveToFront(e)
		return
	}
	b.index[h] = b.lru.PushFront(h)
	b.stored[h] = true
	delete(b.removed, h)
}

func (b *blockCache) len() int {
	return b.lru.Len()
}

// changes returns the blocks stored and removed since the last call, and clears both sets.
func (b *blockCache) changes() (stored, removed []uint64) {
	for e := b.lru.Back(); e != nil; e = e.Prev() {
		if h := e.Value.(uint64); b.stored[h] {
			stored = append(stored, h)
		}
	}
	for h := range b.removed {
		removed = append(removed, h)
	}
	slices.Sort(removed)
	clear(b.stored)
	clear(b.removed)
	return stored, removed
}
