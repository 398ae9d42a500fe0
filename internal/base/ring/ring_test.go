package ring_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/ring"
)

func TestRingKeepsOrderWithConcurrentWriters(t *testing.T) {
	is := is.New(t)
	r := ring.NewRing[[2]int](4)
	g := group.NewGroup(context.Background())
	for w := range 3 {
		g.Go("writer", func(ctx context.Context) error {
			for i := range 200 {
				if err := r.Push(ctx, [2]int{w, i}); err != nil {
					return err
				}
			}
			return nil
		})
	}
	next := [3]int{}
	for range 600 {
		v, err := r.Pop(context.Background())
		is.NoErr(err)
		is.Equal(v[1], next[v[0]])
		next[v[0]]++
	}
	is.NoErr(g.Wait())
	is.Equal(r.Len(), 0)
}

func TestRingIsBounded(t *testing.T) {
	is := is.New(t)
	r := ring.NewRing[int](2)
	is.True(r.TryPush(1))
	is.True(r.TryPush(2))
	is.True(!r.TryPush(3))
}

func TestClosedRingDrains(t *testing.T) {
	is := is.New(t)
	r := ring.NewRing[int](2)
	is.True(r.TryPush(1))
	r.Close()
	is.True(!r.TryPush(2))
	v, err := r.Pop(context.Background())
	is.NoErr(err)
	is.Equal(v, 1)
	_, err = r.Pop(context.Background())
	is.Equal(err, ring.ErrClosed)
}
