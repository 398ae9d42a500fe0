package membership_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/data/loadreport"
	"siskinrun/internal/fleet/membership"
)

func TestPeerCountsAddUpAndExpire(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 5)
	for i := range 5 {
		f.views[i].SetInFlight(f.now, "u", i)
	}
	is.NoErr(f.run(2 * period))
	is.Equal(f.views[0].PeersInFlight("u"), 10)
	is.Equal(f.views[4].PeersInFlight("u"), 6)
	f.views[4].SetInFlight(f.now, "u", 0)
	is.NoErr(f.run(2 * period))
	is.Equal(f.views[0].PeersInFlight("u"), 6)
	f.dead[3] = true
	is.NoErr(f.run(membership.CountExpiry + time.Second))
	is.Equal(f.views[0].PeersInFlight("u"), 3)
}

func TestReportsSpreadAndOldReportsAreIgnored(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 5)
	f.views[0].Report(f.now, loadreport.Report{Upstream: "u", Incarnation: 2, Running: 3})
	is.NoErr(f.run(time.Second))
	f.views[1].Report(f.now, loadreport.Report{Upstream: "u", Incarnation: 1, Running: 9})
	f.views[2].Report(f.now, loadreport.Report{Upstream: "u", Incarnation: 2, Running: 8, Age: duration.Duration(5 * time.Second)})
	is.NoErr(f.run(time.Second))
	for _, v := range f.views {
		r, at, ok := v.Load("u")
		is.True(ok)
		is.Equal(r.Running, 3)
		is.True(f.now.Sub(at) >= 2*time.Second)
	}
}
