package hashset_test

import (
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"siskinrun/internal/base/hashset"
)

// TestSetHoldsWhatWasAdded guards against hashes that are lost when a table grows and those that look new twice.
func TestSetHoldsWhatWasAdded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		s := hashset.Set{}
		known := map[uint64]bool{}
		for _, h := range rapid.SliceOf(rapid.OneOf(rapid.Uint64(), rapid.Uint64Range(1, 40))).Draw(t, "hashes") {
			k := max(h, 1) // the hash 0 counts as 1
			is.Equal(s.Add(h), !known[k])
			known[k] = true
		}
	})
}

// TestSetIsCompact guards against more than the 14 bytes for each hash that uploads reserve.
func TestSetIsCompact(t *testing.T) {
	is := is.New(t)
	var before, after runtime.MemStats
	for _, n := range []int{20_000, 50_000, 80_000, 100_000, 150_000, 200_000, 300_000, 500_000, 700_000, 1_000_000} {
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := &hashset.Set{}
		for range n {
			is.True(s.Add(rand.Uint64()))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b := float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
		t.Logf("%d hashes: %.1f bytes each", n, b)
		is.True(b < 14)
		is.True(!s.Add(0) || !s.Add(1))
	}
}
