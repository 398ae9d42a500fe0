package picker_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/outcome"
	"siskinrun/internal/routing/picker"
)

func TestConcurrentRequests(t *testing.T) {
	is := is.New(t)
	c := picker.NewPicker(1)
	c.SetUpstreams(fleet(40, 3), start)
	g := group.NewGroup(context.Background())
	for range 8 {
		g.Go("caller", func(context.Context) error {
			for i := range 500 {
				at := start.Add(time.Duration(i) * time.Millisecond)
				u, _ := c.Pick(at, demand.Demand{Service: "llm", Model: "m", PrefixHashes: []uint64{1, 2}})
				c.Started(u.Name)
				c.Finished(u.Name, outcome.Succeeded, time.Millisecond, at)
			}
			return nil
		})
	}
	g.Go("roster", func(context.Context) error {
		for i := range 50 {
			c.SetUpstreams(fleet(40-i%3, 3), start)
		}
		return nil
	})
	is.NoErr(g.Wait())
	is.NoErr(c.Check())
	for _, u := range fleet(40, 3) {
		is.Equal(c.OwnRequests(u.Name), 0)
	}
}
