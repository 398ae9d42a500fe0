package coldview_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/limits/coldview"
)

var start = time.Unix(1000, 0)

func cold(incarnation uint64, left, age time.Duration) []upstream.Upstream {
	return []upstream.Upstream{{
		Name: "u", Service: "s", Incarnation: incarnation, Cold: duration.Duration(left), Age: duration.Duration(age),
	}}
}

func rate(r float64) func(string) float64 {
	return func(string) float64 { return r }
}

// TestTimeOfBeingColdPassesByItself guards against an upstream that stays bounded for want of another announcement.
func TestTimeOfBeingColdPassesByItself(t *testing.T) {
	is := is.New(t)
	v := coldview.NewView()
	is.Equal(v.SetUpstreams(start, cold(1, 3*time.Second, time.Second), rate(6)), []string{"u"})
	until, r, ok := v.Get(start, "u", 1)
	is.True(ok)
	is.Equal(until, start.Add(2*time.Second+coldview.Margin))
	is.Equal(r, 6.0)
	is.Equal(v.Until(), until)
	is.Equal(v.Cold(start), 1)
	_, _, ok = v.Get(until, "u", 1)
	is.True(!ok)
	is.Equal(v.Cold(until), 0)
	_, _, ok = v.Get(start, "u", 2)
	is.True(!ok)
}

// TestTurningColdIsTold guards against a coordinator that does not notice that an upstream turns cold without a restart.
func TestTurningColdIsTold(t *testing.T) {
	is := is.New(t)
	v := coldview.NewView()
	is.Equal(len(v.SetUpstreams(start, cold(1, 0, 0), rate(6))), 0)
	now := start.Add(time.Second)
	is.Equal(v.SetUpstreams(now, cold(1, 3*time.Second, 0), rate(6)), []string{"u"})
	is.Equal(len(v.SetUpstreams(now.Add(time.Second), cold(1, 3*time.Second, time.Second), rate(6))), 0)
}

// TestExtend guards against a coordinator that takes an upstream for warm though a host that asks it knows better.
func TestExtend(t *testing.T) {
	is := is.New(t)
	v := coldview.NewView()
	v.Extend("u", 1, start.Add(time.Second))
	_, _, ok := v.Get(start, "u", 1)
	is.True(!ok) // unknown
	v.SetUpstreams(start, cold(2, 0, 0), rate(6))
	v.Extend("u", 1, start.Add(time.Second))
	_, _, ok = v.Get(start, "u", 2)
	is.True(!ok) // an earlier incarnation
	v.Extend("u", 2, start.Add(time.Second))
	_, _, ok = v.Get(start, "u", 2)
	is.True(ok)
	v.Extend("u", 3, start.Add(time.Second))
	_, _, ok = v.Get(start, "u", 3)
	is.True(ok)
	v.SetUpstreams(start, cold(2, 0, 0), rate(6)) // this host has not heard of the newer one
	_, _, ok = v.Get(start, "u", 3)
	is.True(ok)
}

// TestServicesWithoutARateAreNotKept guards against a bound that the configuration does not ask for.
func TestServicesWithoutARateAreNotKept(t *testing.T) {
	is := is.New(t)
	v := coldview.NewView()
	is.Equal(len(v.SetUpstreams(start, cold(1, 3*time.Second, 0), rate(0))), 0)
	is.True(v.Until().IsZero())
}
