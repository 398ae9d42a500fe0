package ejection_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/outcome"
	"siskinrun/internal/routing/ejection"
)

// TestUnreachableUpstreamsGetNoWorkEvenInMajority guards against requests to upstreams that a partition cuts off:
// when most are unreachable, the rule that suspends ejections must not apply to them.
func TestUnreachableUpstreamsGetNoWorkEvenInMajority(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	e := ejection.NewDetector()
	for _, n := range []string{"a", "b", "c"} {
		e.Add(n, "s")
	}
	e.Observe("b", outcome.Unreachable, 0, now)
	e.Observe("c", outcome.Unreachable, 0, now)
	e.Sweep(now)
	is.True(e.Allowed("a"))
	is.True(!e.Allowed("b") && !e.Allowed("c"))
	is.Equal(e.Unreachable(), []string{"b", "c"})
	is.True(!e.Probe("b", true, now.Add(time.Minute))) // no caller's request is used as a probe
	e.MarkReachable("b")
	is.True(e.Allowed("b"))
	e.Observe("c", outcome.Succeeded, time.Millisecond, now)
	is.True(e.Allowed("c"))
}
