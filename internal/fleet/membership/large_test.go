package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/gossipmessage"
	"siskinrun/internal/fleet/membership"
)

const largeFleet = 300

// TestHostsOfALargeFleetContactFew guards against a session from every host to every other one.
func TestHostsOfALargeFleetContactFew(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, largeFleet)
	for i := range f.views {
		contacted := map[string]bool{}
		for range 100 {
			for _, n := range f.views[i].Targets() {
				contacted[n] = true
			}
			for _, n := range f.views[i].RandomPeers(8, "") {
				contacted[n] = true
			}
		}
		is.True(len(contacted) <= 18) // two rings of at most 300 hosts
		is.True(!contacted[name(i)])
	}
}

// TestIsolatedHostOfALargeFleetNoticesIt guards against a cut-off host that lets its upstreams expire, as it hears of
// few hosts only.
func TestIsolatedHostOfALargeFleetNoticesIt(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 60)
	f.incarnations["u0"] = 1
	f.announce(1, "u0", 0)
	is.NoErr(f.run(4 * time.Second))
	f.partition[0] = 1
	is.NoErr(f.run(4 * time.Second))
	is.True(f.views[0].LikelyIsolated())
	is.True(!f.views[1].LikelyIsolated())
	is.Equal(len(f.views[0].Upstreams(f.now)), 1)
}

// TestCompactDigest checks that a digest without the list of hosts is answered like one with it, and that a peer which
// knows other hosts lists them and gives no news that the sender would miss later.
func TestCompactDigest(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 60)
	is.NoErr(f.run(4 * time.Second)) // all know the runs of all
	f.incarnations["u0"] = 1
	f.announce(1, "u0", 0)
	a, b := f.views[0], f.views[1]
	full, compact := b.Answer(f.now, a.Digest()), b.Answer(f.now, a.CompactDigest())
	is.Equal(compact.Announcements, full.Announcements)
	is.Equal(len(compact.Announcements), 1)
	is.Equal(len(compact.Hosts), 0)
	is.Equal(len(compact.Sequences), 60)

	b.ApplyPush(f.now, gossipmessage.Message{Hosts: []gossipmessage.Host{{Name: name(7), Boot: 9}}})
	n := b.Answer(f.now, a.CompactDigest())
	is.True(n.Mismatch)
	is.Equal(len(n.Announcements), 0)
	a.ApplyAnswer(f.now, f.now, n)
	is.Equal(len(a.Upstreams(f.now)), 0)
	n = b.Answer(f.now, a.CompactDigest())
	is.True(!n.Mismatch) // the list has told the sender of the new run
	a.ApplyAnswer(f.now, f.now, n)
	is.Equal(len(a.Upstreams(f.now)), 1)
	is.Equal(len(b.Answer(f.now, a.CompactDigest()).Announcements), 0)
}

// TestCompactAnswerIsIgnoredAfterAChange guards against sequences that are taken for those of other hosts.
func TestCompactAnswerIsIgnoredAfterAChange(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 60)
	is.NoErr(f.run(4 * time.Second))
	a, b := f.views[0], f.views[1]
	n := b.Answer(f.now, a.CompactDigest())
	a.ApplyPush(f.now, gossipmessage.Message{Hosts: []gossipmessage.Host{{Name: name(7), Boot: 9}}})
	for i := range n.Sequences {
		n.Sequences[i] = 1000
	}
	a.ApplyAnswer(f.now, f.now, n)
	for _, h := range a.Hosts() {
		is.True(h.Sequence < 1000)
	}
}

// TestOccupanciesExpireWithTheirDriver checks that the counts of a silent driver are forgotten, and that a later sum
// replaces an earlier one in whatever order they come.
func TestOccupanciesExpireWithTheirDriver(t *testing.T) {
	is := is.New(t)
	m := membership.NewMembership("a", "d", 1, nil, 1)
	for _, o := range []gossipmessage.Occupancy{
		{Upstream: "u", Online: 5, Batch: 2},
		{Upstream: "u", Age: time.Second, Online: 9, Batch: 9},
		{Upstream: "v", Online: -1},
	} {
		m.ApplyPush(start, gossipmessage.Message{From: "b", Occupancies: []gossipmessage.Occupancy{o}})
	}
	is.Equal(fmt.Sprint(m.PeersInFlight("u"), m.PeersBatch("u"), m.PeersInFlight("v")), "5 2 0")
	m.SetInFlight(start, "u", 2)
	m.SetBatch(start, "u", 2)
	is.Equal(fmt.Sprint(m.PeersInFlight("u"), m.PeersBatch("u")), "3 0")
	m.Prune(start.Add(membership.CountExpiry + time.Millisecond))
	is.Equal(fmt.Sprint(m.PeersInFlight("u"), m.PeersBatch("u")), "0 0")
}

// TestHostsThatComeDoNotRestartTheRound guards against a host that exchanges with its first neighbors only while others
// join one after the other.
func TestHostsThatComeDoNotRestartTheRound(t *testing.T) {
	is := is.New(t)
	m := newFleet(1, largeFleet).views[0]
	contacted := map[string]bool{}
	for i := range 40 {
		for _, n := range m.Targets() {
			contacted[n] = true
		}
		m.AddHosts([]string{fmt.Sprint("late-", i)})
	}
	is.True(len(contacted) > 12)
}
