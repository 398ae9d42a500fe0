package affinity

import (
	"slices"

	"siskinrun/internal/data/cache"
)

const (
	// HoldersMax is the number of upstreams remembered for a block.
	HoldersMax = 4
	// BlocksDefault is the default bound on the blocks of each of the two generations.
	BlocksDefault = 1 << 17
)

// holder is an upstream as of one epoch; a holder of an older epoch is void.
type holder struct {
	id    uint32
	epoch uint32
}

type holders struct {
	list [HoldersMax]holder
	next uint8
}

type source struct {
	id          uint32
	epoch       uint32
	incarnation uint64
	sequence    uint64
	synced      bool
}

// Affinity is a bounded index from prefix blocks to upstreams; it serves one goroutine at a time.
//
// Blocks live in two generations: when the young one is full it becomes the old
// one and the old one is dropped, so memory is bounded and no step scans it.
type Affinity struct {
	// Blocks bounds the blocks of each generation.
	Blocks int

	young   map[uint64]holders
	old     map[uint64]holders
	sources map[string]*source
	names   []string
	epochs  []uint32
	free    []uint32
	gaps    uint64
}

// NewAffinity returns an empty index.
func NewAffinity() *Affinity {
	return &Affinity{
		Blocks:  BlocksDefault,
		young:   make(map[uint64]holders),
		old:     make(map[uint64]holders),
		sources: make(map[string]*source),
	}
}

// Apply takes in one event of an engine; after a gap it forgets what that engine held.
func (a *Affinity) Apply(e cache.Event) {
	s := a.source(e.Upstream)
	if e.Incarnation < s.incarnation {
		return
	}
	if e.Incarnation > s.incarnation {
		a.renew(s)
		s.incarnation = e.Incarnation
		s.synced = false
	}
	if s.synced && e.Sequence <= s.sequence {
		return
	}
	if s.synced && e.Sequence != s.sequence+1 {
		a.gaps++
		a.renew(s)
	}
	if e.Cleared {
		a.renew(s)
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

// Guess notes that an upstream was sent a prompt and will probably hold its blocks.
func (a *Affinity) Guess(upstream string, prefix []uint64) {
	if len(prefix) == 0 {
		return
	}
	s := a.source(upstream)
	for _, h := range prefix {
		a.add(s, h)
	}
}

// Forget drops all that is known of an upstream that has gone.
func (a *Affinity) Forget(upstream string) {
	s, ok := a.sources[upstream]
	if !ok {
		return
	}
	a.renew(s)
	delete(a.sources, upstream)
	a.names[s.id] = ""
	a.free = append(a.free, s.id)
}

// Gaps returns the number of gaps seen in events.
func (a *Affinity) Gaps() uint64 {
	return a.gaps
}

// Len returns the number of blocks held, current and void.
func (a *Affinity) Len() int {
	return len(a.young) + len(a.old)
}

// Lookup calls found with each upstream that probably holds a prefix, the longest first, until it returns false.
func (a *Affinity) Lookup(prefix []uint64, found func(upstream string, blocks int) bool) {
	n := a.longest(prefix)
	var seen [HoldersMax]uint32
	count := 0
	for d := n; d > 0 && d > n-levels; d-- {
		v, _ := a.get(prefix[d-1])
		for _, h := range v.list {
			if !a.live(h) || slices.Contains(seen[:count], h.id) {
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

// levels is the number of block depths below the longest match that are searched.
const levels = 8

// longest returns the depth of the deepest block with a live holder, taking presence to be monotone in depth.
func (a *Affinity) longest(prefix []uint64) int {
	low, high := 0, len(prefix)
	for low < high {
		m := (low + high + 1) / 2
		if a.held(prefix[m-1]) {
			low = m
		} else {
			high = m - 1
		}
	}
	return low
}

func (a *Affinity) held(h uint64) bool {
	v, ok := a.get(h)
	if !ok {
		return false
	}
	for _, o := range v.list {
		if a.live(o) {
			return true
		}
	}
	return false
}

func (a *Affinity) get(h uint64) (holders, bool) {
	if v, ok := a.young[h]; ok {
		return v, true
	}
	v, ok := a.old[h]
	return v, ok
}

func (a *Affinity) put(h uint64, v holders) {
	if len(a.young) >= a.Blocks {
		a.old = a.young
		a.young = make(map[uint64]holders)
	}
	a.young[h] = v
}

func (a *Affinity) add(s *source, h uint64) {
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
	v.list[a.place(v)] = o
	v.next = (v.next + 1) % HoldersMax
	a.put(h, v)
}

// place returns the index of a void holder, or of the one that is next to go.
func (a *Affinity) place(v holders) int {
	for i, o := range v.list {
		if !a.live(o) {
			return i
		}
	}
	return int(v.next)
}

func (a *Affinity) remove(s *source, h uint64) {
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

func (a *Affinity) live(h holder) bool {
	return h.epoch != 0 && a.epochs[h.id] == h.epoch
}

func (a *Affinity) renew(s *source) {
	a.epochs[s.id]++
	s.epoch = a.epochs[s.id]
}

func (a *Affinity) source(name string) *source {
	if s, ok := a.sources[name]; ok {
		return s
	}
	s := &source{id: a.number(name)}
	a.renew(s)
	a.sources[name] = s
	return s
}

func (a *Affinity) number(name string) uint32 {
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
