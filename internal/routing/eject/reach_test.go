package eject_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/outcome"
	"siskinrun/internal/routing/eject"
)

// TestUnreachableUpstreamsGetNoWorkEvenIfTheyAreMost is a failure domain that is cut off from most upstreams.
func TestUnreachableUpstreamsGetNoWorkEvenIfTheyAreMost(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	e := eject.NewEject()
	for _, n := range []string{"a", "b", "c"} {
		e.Add(n, "s")
	}
	e.Observe("b", outcome.Unreachable, 0, now)
	e.Observe("c", outcome.Unreachable, 0, now)
	e.Sweep(now)
	is.True(e.Allowed("a"))
	is.True(!e.Allowed("b") && !e.Allowed("c"))
	is.Equal(e.Unreachable(), []string{"b", "c"})
	is.True(!e.Probe("b", true, now.Add(time.Minute))) // no caller's request is spent on it
	e.Reached("b")
	is.True(e.Allowed("b"))
	e.Observe("c", outcome.Succeeded, time.Millisecond, now)
	is.True(e.Allowed("c"))
}
