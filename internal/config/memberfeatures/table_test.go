package memberfeatures_test

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/config/memberfeatures"
	"siskinrun/internal/data/feature"
	"siskinrun/internal/data/gossipmessage"
	"siskinrun/internal/state/identity"
)

func member(host, disk string) identity.Identity {
	return identity.Identity{Host: host, Disk: disk}
}

// TestMembersThatAreDownCount guards against a change that a member of an older build, down or never heard from, does not
// apply once it is back, and against one that is held up by a member that was replaced or is lost but knows it.
func TestMembersThatAreDownCount(t *testing.T) {
	is := is.New(t)
	const f = feature.Evacuation
	m := memberfeatures.NewTable()
	a, b, c := member("a", "1"), member("b", "1"), member("c", "1")
	all := []identity.Identity{a, b, c}
	newer := gossipmessage.Host{Name: "a", Boot: 1, Features: feature.Known}
	lost := gossipmessage.Host{Name: "b", Boot: 1, Features: feature.Known, Dead: true}
	is.True(m.Observe(all, []gossipmessage.Host{newer, lost, {Name: "c"}}))
	is.Equal(m.Lacking(all, f), "c") // listed in the settings, never heard from
	old := gossipmessage.Host{Name: "c", Boot: 1}
	m.Observe(all, []gossipmessage.Host{newer, lost, old})
	old.Dead = true
	m.Observe(all, []gossipmessage.Host{newer, lost, old})
	is.Equal(m.Lacking(all, f), "c")
	m.Observe(all, []gossipmessage.Host{newer}) // the gossip forgets hosts that are dead for long
	is.Equal(m.Lacking(all, f), "c")
	is.Equal(m.Lacking([]identity.Identity{a, b}, f), "")
	is.True(!m.Observe(all, []gossipmessage.Host{newer}))
	d, err := m.Encode()
	is.NoErr(err)
	m = memberfeatures.NewTable()
	is.NoErr(m.Decode(d))
	m.Observe([]identity.Identity{a, b}, []gossipmessage.Host{newer})
	is.Equal(m.Lacking([]identity.Identity{a, b}, f), "")
	is.Equal(len(m.Hosts()), 2)
}

// TestReportsAreThoseOfTheLastRunAndDisk guards against a member that counts by what a former run, or a former member of its
// name, reported, and against one that counts as older since an older build passed its record on.
func TestReportsAreThoseOfTheLastRunAndDisk(t *testing.T) {
	is := is.New(t)
	const f = feature.Evacuation
	m := memberfeatures.NewTable()
	first, second := []identity.Identity{member("a", "1")}, []identity.Identity{member("a", "2")}
	h := gossipmessage.Host{Name: "a", Boot: 2, Features: feature.Known}
	m.Observe(first, []gossipmessage.Host{h})
	m.Observe(first, []gossipmessage.Host{{Name: "a", Boot: 2}})
	is.Equal(m.Lacking(first, f), "")
	m.Observe(first, []gossipmessage.Host{{Name: "a", Boot: 1}})
	is.Equal(m.Lacking(first, f), "")
	is.Equal(m.Lacking(second, f), "a")
	h.Dead = true
	for range 2 {
		m.Observe(second, []gossipmessage.Host{h})
		is.Equal(m.Lacking(second, f), "a")
	}
	h.Dead = false
	m.Observe(second, []gossipmessage.Host{h})
	is.Equal(m.Lacking(second, f), "")
	m.Observe(second, []gossipmessage.Host{{Name: "a", Boot: 3}})
	is.Equal(m.Lacking(second, f), "a")
}
