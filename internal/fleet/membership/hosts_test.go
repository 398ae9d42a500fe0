package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/feature"
	"siskinrun/internal/data/gossipmessage"
	"siskinrun/internal/fleet/membership"
)

func TestSilentHostIsDeclaredDeadWithinASecond(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		f := newFleet(seed, 9)
		is.NoErr(f.run(2 * time.Second))
		f.dead[4] = true
		is.NoErr(f.run(time.Second))
		is.NoErr(f.checkAgreement(0))
		f.dead[4] = false
		is.NoErr(f.run(3 * time.Second))
		is.NoErr(f.checkAgreement(0))
		f.dead[4] = true
		is.NoErr(f.run(time.Second))
		f.boots[4]++
		f.dead[4] = false
		f.start(4)
		is.NoErr(f.run(3 * time.Second))
		is.NoErr(f.checkAgreement(0))
	}
}

func TestIsolatedHostKeepsUpstreams(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 9)
	f.incarnations["u0"] = 1
	f.announce(1, "u0", 0)
	is.NoErr(f.run(2 * time.Second))
	f.partition[0] = 1
	is.NoErr(f.run(membership.Expiry + time.Second))
	is.True(f.views[0].LikelyIsolated())
	is.Equal(len(f.views[0].Upstreams(f.now)), 1)
	is.Equal(len(f.views[1].Upstreams(f.now)), 0)
	is.True(!f.views[1].LikelyIsolated())
}

func TestOpenMembershipAddsHostsAndRemovesDeadHosts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a := membership.NewMembership("a", "d1", 1, []string{"s"}, 1)
	a.Open = true
	b := membership.NewMembership("b", "d2", 1, []string{"s"}, 2)
	b.Open = true
	b.SetSelf(gossipmessage.Host{Label: "host-b", Control: true})
	a.Answer(now, b.Digest()) // a did not know of b
	find := func(n string) (gossipmessage.Host, bool) {
		for _, h := range a.Hosts() {
			if h.Name == n {
				return h, true
			}
		}
		return gossipmessage.Host{}, false
	}
	h, ok := find("b")
	is.True(ok)
	is.Equal(h.Label, "host-b")
	is.True(h.Control)
	is.True(a.Alive("b"))
	a.AddHosts([]string{"c", "b"})
	_, ok = find("c")
	is.True(ok)
	a.Suspect("c")
	is.True(a.DeclareDead("c"))
	a.Prune(now)
	a.Prune(now.Add(time.Minute))
	_, ok = find("c")
	is.True(!ok)
	a.ApplyPush(now, gossipmessage.Message{From: "b", Hosts: []gossipmessage.Host{{Name: "c", Boot: 1, Dead: true}}})
	_, ok = find("c")
	is.True(!ok) // a host reported dead is not added again
}

// TestRestartedHostAnswersWithItsRoles guards against a restarted host that tells its new boot without its roles, which
// happened when a peer asked it before its own first exchange.
func TestRestartedHostAnswersWithItsRoles(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a := membership.NewMembership("a", "d1", 1, []string{"b"}, 1)
	a.Open = true
	old := membership.NewMembership("b", "d2", 1, []string{"a"}, 2)
	old.SetSelf(gossipmessage.Host{Ledgers: true})
	a.Answer(now, old.Digest())
	b := membership.NewMembership("b", "d2", 2, []string{"a"}, 2)
	b.SetSelf(gossipmessage.Host{Ledgers: true})
	a.ApplyAnswer(now, now, b.Answer(now, a.Digest()))
	for _, h := range a.Hosts() {
		if h.Name == "b" {
			is.Equal(h.Boot, uint64(2))
			is.True(h.Ledgers)
		}
	}
}

// TestFeaturesComeThroughHostsOfOlderBuilds guards against a host that takes another one for older, since a host of an older
// build passed it on without its features, and against features that stay those of a former run.
func TestFeaturesComeThroughHostsOfOlderBuilds(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a := membership.NewMembership("a", "d1", 1, []string{"b"}, 1)
	features := func() feature.Set {
		for _, h := range a.Hosts() {
			if h.Name == "b" {
				return h.Features
			}
		}
		return 0
	}
	older := gossipmessage.Host{Name: "b", FailureDomain: "d2", Boot: 1, Control: true}
	a.ApplyPush(now, gossipmessage.Message{From: "c", Hosts: []gossipmessage.Host{older}})
	is.Equal(features(), feature.Set(0))
	b := membership.NewMembership("b", "d2", 1, []string{"a"}, 2)
	b.SetSelf(gossipmessage.Host{Control: true, Features: feature.Evacuation})
	a.Answer(now, b.Digest())
	is.True(features().Has(feature.Evacuation))
	a.ApplyPush(now, gossipmessage.Message{From: "c", Hosts: []gossipmessage.Host{older}})
	is.True(features().Has(feature.Evacuation))
	older.Boot = 2 // replaced by a host of an older build
	a.ApplyPush(now, gossipmessage.Message{From: "c", Hosts: []gossipmessage.Host{older}})
	is.Equal(features(), feature.Set(0))
}

// TestFeaturesReachHostsThatKnowTheRest guards against a fingerprint without features, which would take two views for equal
// of which one lacks the features of a host.
func TestFeaturesReachHostsThatKnowTheRest(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := membership.NewMembership("b", "d2", 1, []string{"a"}, 2)
	b.SetSelf(gossipmessage.Host{Features: feature.Evacuation})
	a := membership.NewMembership("a", "d1", 1, []string{"b"}, 1)
	b.Answer(now, a.Digest())
	a.ApplyPush(now, gossipmessage.Message{From: "c", Hosts: []gossipmessage.Host{{Name: "b", FailureDomain: "d2", Boot: 1}}})
	is.True(b.Answer(now, a.CompactDigest()).Mismatch)
}

// TestLargeFleetsExchangeLessOften checks that a small fleet keeps exchanging in every period.
func TestLargeFleetsExchangeLessOften(t *testing.T) {
	for _, c := range []struct {
		hosts   int
		periods int
		small   bool
	}{
		{15, 1, true},
		{93, 2, false},
		{320, 4, false},
	} {
		t.Run(fmt.Sprint(c.hosts), func(t *testing.T) {
			is := is.New(t)
			var names []string
			for i := range c.hosts {
				names = append(names, fmt.Sprint("h", i))
			}
			m := membership.NewMembership("h0", "d", 1, names, 1)
			is.Equal(m.ExchangePeriods(), c.periods)
			is.Equal(m.Small(), c.small)
		})
	}
}
