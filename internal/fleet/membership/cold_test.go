package membership_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/data/gossipmessage"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/fleet/membership"
)

// coldUpstream returns the announcement number n of an upstream that stays cold for a time.
func coldUpstream(n uint64, cold time.Duration) upstream.Upstream {
	u := newUpstream(2, "x", 0)
	u.Sequence, u.Cold = n, duration.Duration(cold)
	return u
}

// TestTimeOfBeingColdCountsDown guards against heartbeats of a cold upstream that each count as a change for all hosts.
func TestTimeOfBeingColdCountsDown(t *testing.T) {
	is := is.New(t)
	m := newView()
	m.Announce(start, coldUpstream(1, 3*time.Second))
	v := m.Version()
	for i, late := range []time.Duration{100, 0, 300, 0} {
		at := time.Duration(i+1) * 700 * time.Millisecond
		m.Announce(start.Add(at+late*time.Millisecond), coldUpstream(uint64(i+2), 3*time.Second-at))
	}
	m.Announce(start.Add(4*time.Second), coldUpstream(8, 0))
	is.Equal(m.Version(), v)
	is.Equal(m.ColdChanges(), uint64(0))
	is.True(!m.HasUrgent())
	l := m.Upstreams(start.Add(4 * time.Second))
	is.Equal(l[0].Cold.Duration(), time.Duration(0))
}

// TestUpstreamThatTurnsColdIsUrgentNews guards against hosts that go on sending to an upstream that has turned cold without
// a restart, until an exchange.
func TestUpstreamThatTurnsColdIsUrgentNews(t *testing.T) {
	is := is.New(t)
	m, peer := newView(), membership.NewMembership("b", "d", 1, []string{"a", "b", "c"}, 1)
	m.Announce(start, coldUpstream(1, 0))
	peer.Announce(start, coldUpstream(1, 0))
	now := start.Add(1200 * time.Millisecond)
	m.Announce(now, coldUpstream(2, 3*time.Second))
	is.Equal(m.ColdChanges(), uint64(1))
	n, ok := m.TakeUrgent(now)
	is.True(ok)
	is.Equal(len(n.Announcements), 1)
	later := now.Add(150 * time.Millisecond)
	n.Announcements[0].Age += 150 * time.Millisecond
	peer.ApplyPush(later, n)
	is.Equal(peer.ColdChanges(), uint64(1))
	l := peer.Upstreams(later)
	is.Equal((l[0].Cold - l[0].Age).Duration(), 2850*time.Millisecond)
	is.True(peer.HasUrgent()) // passed on
	_, _ = peer.TakeUrgent(later)
	peer.ApplyPush(later, gossipmessage.Message{From: "c", Announcements: n.Announcements})
	is.True(!peer.HasUrgent())
}

// TestUpstreamThatIsWarmEarlyIsAChange guards against a bound that outlives what the upstream says.
func TestUpstreamThatIsWarmEarlyIsAChange(t *testing.T) {
	is := is.New(t)
	m := newView()
	m.Announce(start, coldUpstream(1, 10*time.Second))
	m.Announce(start.Add(time.Second), coldUpstream(2, 0))
	is.Equal(m.ColdChanges(), uint64(1))
	is.True(!m.HasUrgent())
}

// TestColdTimesWithoutABoundAreNoUrgentNews guards against messages to all hosts for each change of a time that nothing uses.
func TestColdTimesWithoutABoundAreNoUrgentNews(t *testing.T) {
	is := is.New(t)
	for _, bound := range []bool{false, true} {
		m := newView()
		m.ColdBound = func(service string) bool { return bound && service == coldUpstream(1, 0).Service }
		m.Announce(start, coldUpstream(1, 0))
		now := start.Add(1200 * time.Millisecond)
		m.Announce(now, coldUpstream(2, 3*time.Second))
		is.Equal(m.HasUrgent(), bound)
		is.Equal(m.ColdChanges() > 0, bound)
		is.Equal(m.Upstreams(now)[0].Cold.Duration(), 3*time.Second) // known all the same
	}
}
