package hashset

import "math/bits"

const (
	// parts is the number of tables, so that one that grows is held twice only for a small part of the set.
	parts    = 64
	partBits = 6
	// firstSize is the first size of a table.
	firstSize = 8
	// A table grows by a quarter when seven eighths of it are used, so that a member takes at most 8 x 5/4 x 8/7 = 11.5 bytes, and
	// up to a fifth more by the size classes of allocations.
	growthShare = 4
	freeShare   = 8
)

// Set is a set of 64-bit hashes. The hash 0 counts as 1. The zero value is empty.
type Set struct {
	tables [parts]table
}

// table is a hash table with linear probing, in which zero is an empty place.
type table struct {
	places []uint64
	used   int
}

// Add adds a hash and reports whether it is new.
func (s *Set) Add(h uint64) bool {
	h = max(h, 1)
	return s.tables[h>>(64-partBits)].add(h)
}

func (t *table) add(h uint64) bool {
	if t.used >= len(t.places)-len(t.places)/freeShare {
		t.grow()
	}
	i := t.find(h)
	if t.places[i] == h {
		return false
	}
	t.places[i] = h
	t.used++
	return true
}

// find returns the place of a hash, or the empty one where it belongs. The bits that chose the table do not choose the place.
func (t *table) find(h uint64) int {
	n, _ := bits.Mul64(h<<partBits, uint64(len(t.places)))
	i := int(n)
	for t.places[i] != 0 && t.places[i] != h {
		if i++; i == len(t.places) {
			i = 0
		}
	}
	return i
}

func (t *table) grow() {
	old := t.places
	t.places = make([]uint64, max(firstSize, len(old)+len(old)/growthShare))
	for _, h := range old {
		if h != 0 {
			t.places[t.find(h)] = h
		}
	}
}
