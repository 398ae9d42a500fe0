package control_test

import (
	"context"
	"slices"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
	"siskinrun/internal/state/control"
)

// membersOf returns the members of a group as its leader tells them to other hosts.
func membersOf(ctx context.Context, h *host, g uint32) ([]string, error) {
	q, err := control.EncodeMembersRequest(g)
	if err != nil {
		return nil, err
	}
	b, err := h.client.CallLeader(ctx, g, control.MethodMembers, q)
	if err != nil {
		return nil, err
	}
	l, err := control.DecodeMembers(b)
	var names []string
	for _, i := range l {
		names = append(names, i.Host)
	}
	return names, err
}

// knowingRemoval returns the number of hosts whose member set lacks a host.
func (f *fleet) knowingRemoval(g uint32, name string) int {
	n := 0
	for _, h := range f.hosts {
		has := false
		for _, m := range h.control.Status(g).Members {
			has = has || m.Identity.Host == name
		}
		if !has && h.name != name {
			n++
		}
	}
	return n
}

// TestRemovedMemberIsToldOnceAQuorumKnows guards against a leader that says that a host has left a group while no other disk
// holds the removal: if that host and the leader are lost then, the others wait for a quorum of which two are gone.
func TestRemovedMemberIsToldOnceAQuorumKnows(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 1, "a", "b", "c")
	l := f.leader(0)
	removed := "a"
	if l.name == removed {
		removed = "b"
	}
	old, err := l.control.Member(0, removed)
	is.NoErr(err)
	spare := f.start("spare", t.TempDir(), 1)
	ctx, cancel := context.WithCancel(testContext(t))
	defer cancel()
	g := group.NewGroup(ctx)
	for range 4 {
		g.Go("load", func(ctx context.Context) error {
			for ctx.Err() == nil {
				_, _ = l.control.Propose(ctx, 0, make([]byte, 8<<20))
			}
			return nil
		})
	}
	replaced := make(chan error, 1)
	g.Go("replace", func(context.Context) error {
		replaced <- f.replaceMember(spare, old, "spare")
		return nil
	})
	const quorum = 2
	for ctx.Err() == nil {
		m, err := membersOf(ctx, spare, 0)
		if err != nil || slices.Contains(m, removed) {
			continue
		}
		n := f.knowingRemoval(0, removed)
		t.Logf("members %v are told, %d hosts know them", m, n)
		is.True(n >= quorum)
		break
	}
	is.NoErr(<-replaced)
	cancel()
	_ = g.Wait()
}
