package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/routing/quarantine"
)

func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	q := quarantine.NewQuarantine()
	now := time.Unix(1000, 0)
	for u := range uint64(3) {
		q.Lost(now, now, u, []trait{deadly}, true)
	}
	many := make([]trait, 1000)
	for i := range many {
		many[i] = trait{Hash: uint64(1_000_000 + i)}
	}
	for u := range uint64(2000) {
		now = now.Add(time.Millisecond)
		q.Lost(now, now, 10+u, []trait{{Hash: 10_000 + u}, {Hash: u, Request: true}}, true)
		q.Began(now, []trait{{Hash: 100_000 + u}, {Hash: 200_000 + u}, {Hash: 300_000 + u}})
	}
	l, _ := q.Lost(now, now, 1, many, true)
	is.Equal(len(l.Traits), 256)
	is.Equal(len(q.Losses(now)), 1024)
	is.True(q.Blocks(now, []trait{deadly}))
	for u := range uint64(300) {
		distinct := make([]trait, 256)
		for i := range distinct {
			distinct[i] = trait{Hash: 2_000_000 + 256*u + uint64(i)}
		}
		q.Lost(now, now, 10_000+u, distinct, true)
	}
	n := 0
	for _, l := range q.Losses(now) {
		n += len(l.Traits)
	}
	is.True(n <= 1<<16)
	is.True(q.Blocks(now, []trait{deadly}))
}

// TestFloodOfRequestsPushesNothingOut guards against a team whose many distinct requests make the fleet forget what others did.
func TestFloodOfRequestsPushesNothingOut(t *testing.T) {
	is := is.New(t)
	q := quarantine.NewQuarantine()
	now := time.Unix(1000, 0)
	q.Began(now, []trait{caller})
	for u := range uint64(3) {
		q.Lost(now, now, u, []trait{request}, true)
	}
	for u := range uint64(200_000) {
		q.Began(now.Add(later), []trait{{Hash: 100 + u, Request: true}})
	}
	now = now.Add(2 * later)
	for u := range uint64(3) {
		q.Lost(now, now, u, []trait{caller}, true)
	}
	is.True(!q.Blocks(now, []trait{caller})) // the part is still known as good
	is.True(q.Blocks(now, []trait{request}))
}

func BenchmarkBegan(b *testing.B) {
	q := quarantine.NewQuarantine()
	now := time.Unix(1000, 0)
	n := uint64(0)
	for b.Loop() {
		n++
		q.Began(now, []trait{caller, topic, {Hash: n}, {Hash: n, Request: true}})
	}
}
