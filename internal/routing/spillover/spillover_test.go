package spillover_test

import (
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
