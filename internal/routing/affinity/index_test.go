package affinity_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/data/cache"
	"siskinrun/internal/routing/affinity"
)

func prompt(n int) []byte {
	b := make([]byte, n*affinity.BlockBytes)
	for i := range b {
		b[i] = byte(i * 7)
	}
	return b
}

func lookup(a *affinity.Index, p []uint64) map[string]int {
	m := map[string]int{}
	a.Lookup(p, func(u string, n int) bool {
		m[u] = n
		return true
	})
	return m
}

func TestHashChains(t *testing.T) {
	is := is.New(t)
	a := affinity.Hash(nil, "m", prompt(4))
	b := affinity.Hash(nil, "m", prompt(3))
	is.Equal(a[:3], b)
	is.Equal(len(affinity.Hash(nil, "m", prompt(2)[1:])), 1) // only full blocks are hashed
	c := prompt(4)
	c[0]++
	d := affinity.Hash(nil, "m", c)
	for i := range a {
		is.True(a[i] != d[i])
	}
	is.True(affinity.Hash(nil, "n", prompt(1))[0] != a[0])
	is.Equal(len(affinity.Hash(nil, "m", prompt(affinity.MaxPromptBlocks+9))), affinity.MaxPromptBlocks)
}

func TestEvents(t *testing.T) {
	p := affinity.Hash(nil, "m", prompt(8))
	event := func(incarnation, sequence uint64, stored, removed []uint64) cache.Event {
		return cache.Event{Upstream: "a", Incarnation: incarnation, Sequence: sequence, Stored: stored, Removed: removed}
	}
	cleared := event(1, 2, p[:2], nil)
	cleared.Cleared = true
	for _, c := range []struct {
		name   string
		events []cache.Event
		want   int
		gaps   uint64
	}{
		{"stored", []cache.Event{event(1, 1, p, nil)}, 8, 0},
		{"removed", []cache.Event{event(1, 1, p, nil), event(1, 2, nil, p[5:])}, 5, 0},
		{"first event is not the first of the engine", []cache.Event{event(1, 70, p[:3], nil), event(1, 71, p[3:5], nil)}, 5, 0},
		{"gap drops earlier blocks", []cache.Event{event(1, 1, p, nil), event(1, 3, p[:1], nil)}, 1, 1},
		{"repeated event is ignored", []cache.Event{event(1, 1, p, nil), event(1, 2, nil, p[4:]), event(1, 1, p, nil)}, 4, 0},
		{"cleared", []cache.Event{event(1, 1, p, nil), cleared}, 2, 0},
		{"restart drops earlier blocks", []cache.Event{event(1, 1, p, nil), event(2, 1, p[:1], nil)}, 1, 0},
		{"event of an old incarnation is ignored", []cache.Event{event(2, 1, p[:1], nil), event(1, 9, p, nil)}, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := affinity.NewIndex()
			for _, e := range c.events {
				a.Apply(e)
			}
			is.Equal(lookup(a, p), map[string]int{"a": c.want})
			is.Equal(a.Gaps(), c.gaps)
		})
	}
}

func TestLookupFindsTheLongestFirst(t *testing.T) {
	is := is.New(t)
	a := affinity.NewIndex()
	p := affinity.Hash(nil, "m", prompt(8))
	a.RecordSent("a", p[:4])
	a.RecordSent("b", p)
	a.RecordSent("c", p[:7])
	var got []string
	a.Lookup(p, func(u string, n int) bool {
		got = append(got, fmt.Sprint(u, n))
		return true
	})
	is.Equal(got, []string{"b8", "c7", "a4"})
	a.Forget("b")
	a.RecordSent("d", nil)
	is.Equal(lookup(a, p), map[string]int{"c": 7, "a": 4})
}

func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	a := affinity.NewIndex()
	a.GenerationBlocks = 1000
	r := rand.New(rand.NewPCG(1, 1))
	hot := []uint64{1, 2, 3}
	for range 5000 {
		a.RecordSent("a", []uint64{r.Uint64(), r.Uint64()})
		a.RecordSent("hot", hot)
		is.True(a.Len() <= 2*a.GenerationBlocks)
	}
	is.Equal(lookup(a, hot), map[string]int{"hot": 3})
}

func BenchmarkLookup(b *testing.B) {
	a := affinity.NewIndex()
	var prompts [][]uint64
	for i := range 4000 {
		p := affinity.Hash(nil, fmt.Sprint(i), prompt(32))
		a.RecordSent(fmt.Sprint(i%1200), p)
		prompts = append(prompts, p)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		a.Lookup(prompts[i%len(prompts)], func(string, int) bool { return true })
	}
}

func BenchmarkHash(b *testing.B) {
	p := prompt(32)
	s := make([]uint64, 0, affinity.MaxPromptBlocks)
	b.ReportAllocs()
	for b.Loop() {
		s = affinity.Hash(s[:0], "m@1", p)
	}
}
