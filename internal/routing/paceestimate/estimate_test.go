package paceestimate_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/routing/paceestimate"
)

// TestReportsFadeToTheUsualPace guards against an upstream that is avoided long after it was slow, since one that gets no calls
// reports nothing.
func TestReportsFadeToTheUsualPace(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	e := paceestimate.Estimate{}
	is.Equal(e.At(start), 1.0)
	is.True(!e.Reports(start))
	e.Observe(400, start)
	e.Observe(100, start.Add(-time.Second)) // older
	is.Equal(e.At(start), 4.0)
	is.True(e.At(start.Add(600*time.Millisecond)) < 2.2)
	is.True(e.At(start.Add(3*time.Second)) < 1.1)
	is.True(e.Reports(start.Add(3 * time.Second)))
	is.True(!e.Reports(start.Add(time.Minute)))
}

// TestUsualPaceFollowsReports guards against an upstream that counts as fast between reports although it always reports that
// it is slow.
func TestUsualPaceFollowsReports(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	e := paceestimate.Estimate{}
	for i := range 1000 {
		e.Observe(200, start.Add(time.Duration(i)*100*time.Millisecond))
	}
	v := e.At(start.Add(105 * time.Second))
	is.True(v > 1.9 && v <= 2)
}
