package spillover_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/routing/spillover"
)

// decide updates a decision for some seconds with the same loads of three domains of 100 slots.
func decide(s *spillover.Spillover, from time.Time, cost float64, loads map[string]float64) time.Time {
	for range 100 {
		from = from.Add(100 * time.Millisecond)
		s.Begin()
		for n, l := range loads {
			s.Add(n, 100, l)
		}
		s.Decide(from, "a", cost)
	}
	return from
}

// TestCallsLeaveOnlyAFullDomainForOneWithCapacity guards against traffic while the own domain has capacity, and against calls sent to a
// domain that needs its capacity itself.
func TestCallsLeaveOnlyAFullDomainForOneWithCapacity(t *testing.T) {
	is := is.New(t)
	s := &spillover.Spillover{}
	now := decide(s, time.Unix(1000, 0), 0, map[string]float64{"a": 75, "b": 10, "c": 10})
	is.Equal(s.Share("b"), 0.0)
	is.Equal(s.Target(0), "a")
	is.Equal(s.Reason(), "own-capacity")
	now = decide(s, now, 0, map[string]float64{"a": 100, "b": 10, "c": 80})
	is.True(s.Share("b") > 0.5)
	is.Equal(s.Share("c"), 0.0)
	is.Equal(s.Target(0.01), "b")
	now = decide(s, now, 0, map[string]float64{"a": 100, "b": 80, "c": 80})
	is.True(s.Share("b") < 0.01)
	is.Equal(s.Reason(), "others-full")
	decide(s, now, 0, map[string]float64{"a": 20, "b": 10, "c": 10})
	is.Equal(s.Share("b"), 0.0)
}

// TestADomainWithoutCapacityIsLeftAtOnce guards against calls that are kept in a domain that is lost.
func TestADomainWithoutCapacityIsLeftAtOnce(t *testing.T) {
	is := is.New(t)
	s := &spillover.Spillover{}
	s.Begin()
	s.Add("b", 100, 90)
	s.Add("c", 300, 290)
	s.Decide(time.Unix(1000, 0), "a", 0.3)
	is.Equal(s.Share("b"), 0.25)
	is.Equal(s.Share("c"), 0.75)
	is.Equal(s.Reason(), "no-own-capacity")
}

// TestDearerTrafficLeavesLater guards against a cost that changes nothing.
func TestDearerTrafficLeavesLater(t *testing.T) {
	is := is.New(t)
	cheap, dear := &spillover.Spillover{}, &spillover.Spillover{}
	loads := map[string]float64{"a": 92, "b": 10, "c": 10}
	decide(cheap, time.Unix(1000, 0), 0, loads)
	decide(dear, time.Unix(1000, 0), 0.3, loads)
	is.True(cheap.Share("b") > 0.1)
	is.Equal(dear.Share("b"), 0.0)
}

// TestHostsWithoutOwnUpstreamsDoNotSwing guards against hosts of a domain without upstreams that all move to the emptier of two
// other domains at each decision, with counts 200 ms old, and so fill them by turns. A lost domain is still left at once.
func TestHostsWithoutOwnUpstreamsDoNotSwing(t *testing.T) {
	is := is.New(t)
	const capacity, demand, delay = 100.0, 140.0, 2 // the delay is in decisions, of 100 ms each
	s := &spillover.Spillover{}
	loads := [][2]float64{{20, 70}, {20, 70}, {20, 70}}
	decide := func(i int, b float64) {
		l := loads[len(loads)-1-delay]
		s.Begin()
		s.Add("b", b, l[0])
		s.Add("c", capacity, l[1])
		s.Decide(time.Unix(1000, 0).Add(time.Duration(i)*100*time.Millisecond), "a", 0)
	}
	most := 0.0
	for i := range 200 {
		decide(i, capacity)
		is.True(math.Abs(s.Share("b")+s.Share("c")-1) < 1e-9) // no call stays
		n := [2]float64{demand * s.Share("b"), demand * s.Share("c")}
		loads = append(loads, n)
		if i > 100 {
			most = max(most, n[0], n[1])
		}
	}
	t.Logf("at most %.0f of %.0f", most, capacity)
	is.True(most < 0.8*capacity) // 70 each in balance
	decide(201, 0)
	is.Equal(s.Share("c"), 1.0)
}
