package trials_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/crashevidence"
	"siskinrun/internal/routing/trials"
)

func TestTake(t *testing.T) {
	is := is.New(t)
	x, y := crashevidence.Trait{Hash: 1}, crashevidence.Trait{Hash: 1, Request: true}
	now := time.Unix(1000, 0)
	r := trials.NewTrials()
	is.True(r.Take(now, x, "a", 1))
	is.True(!r.Take(now, x, "b", 1)) // one at a time
	is.True(r.Take(now, y, "b", 1))  // another trait
	is.True(r.Take(now, x, "a", 2))  // a host that asks again has ended its own
	r.End(x, "a", 1)                 // late news of the first one
	r.End(x, "b", 2)
	is.True(!r.Take(now, x, "b", 3))
	r.End(x, "a", 2)
	is.True(r.Take(now, x, "b", 4))
	is.True(!r.Take(now.Add(2*time.Second), x, "a", 3))
	is.True(r.Take(now.Add(3*time.Second), x, "a", 4)) // its holder was killed
}

func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := trials.NewTrials()
	for n := range uint64(4096) {
		is.True(r.Take(now, crashevidence.Trait{Hash: n}, "a", n))
	}
	is.True(!r.Take(now, crashevidence.Trait{Hash: 5000}, "a", 1))
	is.True(r.Take(now.Add(time.Minute), crashevidence.Trait{Hash: 5000}, "a", 1))
}
