package modelengine

import (
	"container/list"
	"slices"
)

// blocks is a prefix cache that evicts the least recently used block.
type blocks struct {
	order   list.List
	index   map[uint64]*list.Element
	stored  map[uint64]bool
	removed map[uint64]bool
}

// held returns the number of leading blocks of prefix that are cached.
func (b *blocks) held(prefix []uint64) int {
	for i, h := range prefix {
		if _, ok := b.index[h]; !ok {
			return i
		}
	}
	return len(prefix)
}

// store caches prefix, its deepest blocks as the first to go.
func (b *blocks) store(prefix []uint64, size int) {
	if b.index == nil {
		b.index = make(map[uint64]*list.Element)
		b.stored = make(map[uint64]bool)
		b.removed = make(map[uint64]bool)
	}
	for i := len(prefix) - 1; i >= 0; i-- {
		b.touch(prefix[i])
	}
	for b.order.Len() > size {
		e := b.order.Back()
		h := b.order.Remove(e).(uint64)
		delete(b.index, h)
		delete(b.stored, h)
		b.removed[h] = true
	}
}

func (b *blocks) touch(h uint64) {
	if e, ok := b.index[h]; ok {
		b.order.MoveToFront(e)
		return
	}
	b.index[h] = b.order.PushFront(h)
	b.stored[h] = true
	delete(b.removed, h)
}

func (b *blocks) len() int {
	return b.order.Len()
}

// changes returns and clears what has been stored and removed since the last call.
func (b *blocks) changes() (stored, removed []uint64) {
	for e := b.order.Back(); e != nil; e = e.Prev() {
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
