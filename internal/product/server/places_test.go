package server

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/upstream"
	"siskinrun/internal/data/wholeruns"
)

// TestRoomFollowsTroughsOfPacedServicesOnly guards against a batch window that changes where no upstream reports its pace, and
// against runs that start where the next step of online load needs their slots.
func TestRoomFollowsTroughsOfPacedServicesOnly(t *testing.T) {
	is := is.New(t)
	l := []upstream.Upstream{{Name: "a", Service: "s", Slots: 8}, {Name: "b", Service: "s", Slots: 8}, {Name: "c", Service: "other", Slots: 8}}
	r := &runPlaces{scope: wholeruns.Scope{Paced: true}}
	var reporting []string
	play := func() {
		for at := time.Duration(0); at < 15*time.Second; at += 50 * time.Millisecond {
			n := 2
			if at%(6*time.Second) < 2400*time.Millisecond {
				n = 6
			}
			// The picker holds its lock while it asks runsWhole, so a count that takes that lock must not be read under r.mu.
			now := time.Unix(0, int64(at))
			for _, s := range reporting {
				r.note(s, 120, now)
			}
			r.observe(l, func(upstream.Upstream) bool { return true }, func(s string) int { r.runsWhole(s); return n }, now)
		}
	}
	r.note("a", 0, time.Unix(1, 0))
	play()
	is.True(!r.runsWhole("a"))
	is.Equal(r.room("a", 8, time.Second), 8)

	reporting = []string{"a", "gone"}
	play()
	is.True(r.runsWhole("a"))
	is.True(!r.runsWhole("gone"))                      // it is forgotten with its announcement
	is.Equal(r.room("c", 8, time.Second), 8)           // another service
	is.Equal(r.room("b", 8, time.Second), 6)           // the trough lasts longer
	is.Equal(r.room("b", 8, 3500*time.Millisecond), 2) // the next step comes before
}

// TestNamedServicesRunWholeWithoutAPace guards against a setting that does nothing where upstreams report three figures, and against
// one that changes other services.
func TestNamedServicesRunWholeWithoutAPace(t *testing.T) {
	l := []upstream.Upstream{{Name: "a", Service: "s", Slots: 8}, {Name: "c", Service: "other", Slots: 8}}
	for _, x := range []struct {
		scope    wholeruns.Scope
		a, other bool
	}{
		{wholeruns.Scope{}, false, false},
		{wholeruns.Scope{Paced: true}, false, true},
		{wholeruns.Scope{Services: []string{"s"}}, true, false},
		{wholeruns.Scope{All: true}, true, true},
	} {
		is := is.New(t)
		r := &runPlaces{scope: x.scope}
		now := time.Unix(1, 0)
		r.note("c", 120, now)
		r.observe(l, func(upstream.Upstream) bool { return true }, func(string) int { return 4 }, now)
		is.Equal(r.runsWhole("a"), x.a)
		is.Equal(r.runsWhole("c"), x.other)
		is.Equal(r.room("a", 8, time.Second) < 8, x.a)
	}
}
