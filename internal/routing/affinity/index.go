package affinity

import (
	"slices"

	"siskinrun/internal/data/cache"
)

const (
	// MaxHolders is the maximum number of upstreams remembered for a block.
	MaxHolders = 4
	// DefaultGenerationBlocks is the default maximum number of blocks in each of the two generations.
	DefaultGenerationBlocks = 1 << 17
)

// holder is an upstream in one epoch; it is invalid once the upstream has a newer epoch.
type holder struct {
	id    uint32
	epoch uint32
}

// holders holds the upstreams that probably have one block cached; next is the entry to replace when all are valid.
type holders struct {
	list [MaxHolders]holder
	next uint8
}

// source is the state of one upstream and of its stream of cache events.
type source struct {
	id          uint32
	epoch       uint32
	incarnation uint64
	sequence    uint64
	// synced means that an event of this incarnation was applied, so that sequence is known.
	synced bool
}

// Index is a bounded index from prefix blocks to upstreams; it is not safe for concurrent use.
//
// Blocks live in two generations: when the young one is full it replaces the old
// one, which is dropped. So memory is bounded, and no operation scans the index.
type Index struct {
	// GenerationBlocks is the maximum number of blocks in each generation.
	GenerationBlocks int

	young   map[uint64]holders
	old     map[uint64]holders
	sources map[string]*source
	names   []string
	epochs  []uint32
	free    []uint32
	gaps    uint64
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{
		GenerationBlocks: DefaultGenerationBlocks,
		young:            make(map[uint64]holders),
		old:              make(map[uint64]holders),
		sources:          make(map[string]*source),
	}
}

// Apply applies one cache event of an engine; after a gap in the sequence it drops the engine's earlier blocks.
func (a *Index) Apply(e cache.Event) {
	s := a.source(e.Upstream)
	if e.Incarnation < s.incarnation {
		return
	}
	if e.Incarnation > s.incarnation {
		a.invalidate(s)
		s.incarnation = e.Incarnation
		s.synced = false
	}
	if s.synced && e.Sequence <= s.sequence {
		return
	}
	if s.synced && e.Sequence != s.sequence+1 {
		a.gaps++
		a.invalidate(s)
	}
	if e.Cleared {
		a.invalidate(s)
	}
	s.sequence = e.Sequence
	s.synced = true
	for _, h := range e.Removed {
		a.remove(s, h)
	}
	for _, h := range e.Stored {
		a.add(s, h)
	}
}

// RecordSent records that an upstream was sent a prompt and will probably cache its blocks.
func (a *Index) RecordSent(upstream string, prefix []uint64) {
	if len(prefix) == 0 {
		return
	}
	s := a.source(upstream)
	for _, h := range prefix {
		a.add(s, h)
	}
}

// Forget removes an upstream and all its blocks.
func (a *Index) Forget(upstream string) {
	s, ok := a.sources[upstream]
	if !ok {
		return
	}
	a.invalidate(s)
	delete(a.sources, upstream)
	a.names[s.id] = ""
	a.free = append(a.free, s.id)
}

// Gaps returns the number of sequence gaps seen in events.
func (a *Index) Gaps() uint64 {
	return a.gaps
}

// Len returns the number of entries in the index, including invalid ones; a block may have one in each generation.
func (a *Index) Len() int {
	return len(a.young) + len(a.old)
}

// Lookup calls found with each upstream that probably has part of the prefix cached, longest match first, until it returns false.
func (a *Index) Lookup(prefix []uint64, found func(upstream string, blocks int) bool) {
	n := a.longest(prefix)
	var seen [MaxHolders]uint32
	count := 0
	for d := n; d > 0 && d > n-lookupDepth; d-- {
		v, _ := a.get(prefix[d-1])
		for _, h := range v.list {
			if !a.valid(h) || slices.Contains(seen[:count], h.id) {
				continue
			}
			if !found(a.names[h.id], d) {
				return
			}
			seen[count] = h.id
			count++
			if count == len(seen) {
				return
			}
		}
	}
}

// lookupDepth is the number of block depths searched, from the longest match down.
const lookupDepth = 8

// longest returns the depth of the deepest block with a valid holder, by binary search: it assumes that all shallower blocks have holders too.
func (a *Index) longest(prefix []uint64) int {
	low, high := 0, len(prefix)
	for low < high {
		m := (low + high + 1) / 2
		if a.hasHolder(prefix[m-1]) {
			low = m
		} else {
			high = m - 1
		}
	}
	return low
}

func (a *Index) hasHolder(h uint64) bool {
	v, ok := a.get(h)
	if !ok {
		return false
	}
	for _, o := range v.list {
		if a.valid(o) {
			return true
		}
	}
	return false
}

func (a *Index) get(h uint64) (holders, bool) {
	if v, ok := a.young[h]; ok {
		return v, true
	}
	v, ok := a.old[h]
	return v, ok
}

// put stores a block in the young generation.
func (a *Index) put(h uint64, v holders) {
	if len(a.young) >= a.GenerationBlocks {
		a.old = a.young
		a.young = make(map[uint64]holders)
	}
	a.young[h] = v
}

func (a *Index) add(s *source, h uint64) {
	o := holder{id: s.id, epoch: s.epoch}
	v, ok := a.young[h]
	if !ok {
		v = a.old[h]
	}
	if slices.Contains(v.list[:], o) {
		if !ok {
			a.put(h, v)
		}
		return
	}
	v.list[a.replaceable(v)] = o
	v.next = (v.next + 1) % MaxHolders
	a.put(h, v)
}

// replaceable returns the index of an invalid holder, or else of the next one in rotation.
func (a *Index) replaceable(v holders) int {
	for i, o := range v.list {
		if !a.valid(o) {
			return i
		}
	}
	return int(v.next)
}

func (a *Index) remove(s *source, h uint64) {
	v, ok := a.get(h)
	if !ok {
		return
	}
	for i, o := range v.list {
		if o.id == s.id && o.epoch == s.epoch {
			v.list[i] = holder{}
			a.put(h, v)
			return
		}
	}
}

func (a *Index) valid(h holder) bool {
	return h.epoch != 0 && a.epochs[h.id] == h.epoch
}

// invalidate starts a new epoch of an upstream, which makes all its entries invalid.
func (a *Index) invalidate(s *source) {
	a.epochs[s.id]++
	s.epoch = a.epochs[s.id]
}

func (a *Index) source(name string) *source {
	if s, ok := a.sources[name]; ok {
		return s
	}
	s := &source{id: a.allocateID(name)}
	a.invalidate(s)
	a.sources[name] = s
	return s
}

func (a *Index) allocateID(name string) uint32 {
	if n := len(a.free); n > 0 {
		id := a.free[n-1]
		a.free = a.free[:n-1]
		a.names[id] = name
		return id
	}
	a.names = append(a.names, name)
	a.epochs = append(a.epochs, 0)
	return uint32(len(a.names) - 1)
}
