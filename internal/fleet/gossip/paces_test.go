package gossip

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/gossipmessage"
	"siskinrun/internal/data/loadreport"
)

// TestDriverRelaysPaces guards against hosts that know the pace of an upstream only from their own calls, and against a pace that
// looks newer than it is after it was passed on.
func TestDriverRelaysPaces(t *testing.T) {
	is := is.New(t)
	r, s, hosts := newDriverOf60(t)
	pushTo(t, r, "h4", gossipmessage.Message{From: "h4", Hosts: hosts, Counts: []gossipmessage.Count{
		{Origin: gossipmessage.Origin{Host: "h4", Boot: 1, Sequence: 3}, Upstream: "u", InFlight: 2, Pace: 250, PaceAge: 10 * time.Millisecond},
	}})
	p, at := r.Pace("u")
	is.Equal(p, 250)
	is.Equal(r.Timer.Now().Sub(at), 10*time.Millisecond)
	r.Timer.Advance(50 * time.Millisecond)
	r.sendRelays(t.Context())
	is.NoErr(r.group.Wait())
	n, err := decode(s.last)
	is.NoErr(err)
	is.Equal(n.Occupancies, []gossipmessage.Occupancy{{Upstream: "u", Online: 2, Pace: 250, PaceAge: 60 * time.Millisecond}})
}

// TestOlderPacesAndThoseOutOfRangeAreIgnored guards against a late message that replaces a newer pace, and against values that
// no upstream reports.
func TestOlderPacesAndThoseOutOfRangeAreIgnored(t *testing.T) {
	is := is.New(t)
	r, _, hosts := newDriverOf60(t)
	r.SetPace("u", 120)
	for _, o := range []gossipmessage.Occupancy{
		{Upstream: "u", Pace: 400, PaceAge: time.Second},
		{Upstream: "u", Pace: 400, PaceAge: -time.Second},
		{Upstream: "u"},
		{Upstream: "v", Pace: -3},
		{Upstream: "w", Pace: 1 << 40},
		{Upstream: "x", Pace: 300, PaceAge: time.Hour},
	} {
		pushTo(t, r, "h1", gossipmessage.Message{From: "h1", Hosts: hosts, Occupancies: []gossipmessage.Occupancy{o}})
	}
	for name, want := range map[string]int{"u": 120, "v": 0, "w": loadreport.MaxPace, "x": 0} {
		p, _ := r.Pace(name)
		is.Equal(p, want)
	}
}
