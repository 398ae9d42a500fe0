package control_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/statemachine"
	"siskinrun/internal/state/control"
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/proposal"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

func TestProposalsFromEveryHostAreAppliedEverywhere(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 2, "a", "b", "c")
	n := uint64(0)
	for _, h := range f.hosts {
		for range 5 {
			n++
			r, err := h.client.Propose(testContext(t), 1, []byte("x"))
			is.NoErr(err)
			is.Equal(string(r), fmt.Sprintf("x %d", n))
		}
	}
	for _, h := range f.hosts {
		_, err := h.client.Confirm(testContext(t), 1)
		is.NoErr(err)
		is.Equal(h.counters[1].value(), n)
		is.Equal(h.counters[0].value(), uint64(0))
	}
}

func TestStateSurvivesARestartOfAllHosts(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, "a", "b", "c")
	f.propose(f.hosts["a"], 1, 30)
	for _, n := range f.names {
		f.hosts[n].stop()
	}
	for _, n := range f.names {
		f.start(n, f.hosts[n].folder, 2)
	}
	for _, n := range f.names {
		f.wantApplied(f.hosts[n], 1, 30)
	}
}

func TestHostWithEmptiedDiskIsANewMember(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 2, "a", "b", "c")
	f.propose(f.hosts["a"], 1, 30)
	old, err := f.leader(1).control.Member(1, "c")
	is.NoErr(err)
	f.hosts["c"].stop()
	is.NoErr(os.RemoveAll(f.hosts["c"].folder))
	c := f.start("c", f.hosts["c"].folder, 2)
	f.propose(f.leader(1), 1, 5)
	is.Equal(c.counters[1].value(), uint64(0))
	f.await(func() bool { return !f.leader(1).control.Status(1).Repaired })
	pause()
	is.True(!f.leader(1).control.Status(1).Repaired)
	is.NoErr(f.replaceMember(f.leader(0), old, "c"))
	f.awaitRepaired(0)
	f.awaitRepaired(1)
	f.wantApplied(c, 1, 35)
	f.hosts["a"].stop()
	delete(f.hosts, "a")
	f.propose(f.leader(1), 1, 5)
	f.wantApplied(c, 1, 40)
}

func TestLeaderIsReplacedByAnotherHost(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 1, "a", "b", "c")
	f.propose(f.hosts["a"], 0, 20)
	l := f.leader(0)
	old, err := l.control.Member(0, l.name)
	is.NoErr(err)
	spare := f.start("spare", t.TempDir(), 1)
	is.NoErr(f.replaceMember(spare, old, "spare"))
	f.awaitRepaired(0)
	f.wantApplied(spare, 0, 20)
	for _, m := range f.leader(0).control.Status(0).Members {
		is.True(m.Identity != old)
		is.True(m.Voter)
	}
}

func TestHostRefusesReplacementBeforeItsGroupsAreOpen(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := &control.Service{Name: "a", Machines: map[uint32]statemachine.Machine{0: &counter{}}}
	err := c.Replace(testContext(t), identity.Identity{Host: "b"}, "c")
	r := refusal.Of(err)
	is.Equal(r.Code, "starting")
	is.Equal(r.Verdict, verdict.NotRun)
	is.True(r.RetryAfter > 0)
}

func TestDrainHandsOverEveryGroup(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 3, "a", "b", "c")
	l := f.leader(0)
	is.NoErr(l.control.Drain(testContext(t)))
	for g := range uint32(3) {
		is.True(f.leader(g) != l)
	}
	f.propose(l, 0, 1)
}

func TestLargeCommandsReachEveryHost(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, "a", "b", "c")
	l := f.leader(0)
	for range 3 {
		if _, err := l.control.Propose(testContext(t), 0, make([]byte, 8<<20)); err != nil {
			t.Fatal(err)
		}
	}
	for _, h := range f.hosts {
		f.wantApplied(h, 0, 3)
	}
}

func TestTransferGoesToTheNamedHost(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 1, "a", "b", "c")
	l := f.leader(0)
	for _, n := range f.names {
		if n == l.name {
			continue
		}
		is.NoErr(l.control.Transfer(testContext(t), 0, n))
		for l.control.Lead(0).Leader != n {
			pause()
		}
		return
	}
}

func TestNoGroupFormsBeforeEveryHostHasStarted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := newFleet(t, 1)
	g.names = []string{"a", "b", "c"}
	g.listenAll("a", "b", "c")
	for _, n := range []string{"a", "b"} {
		g.start(n, t.TempDir(), 1)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	_, err := g.hosts["a"].client.Propose(ctx, 0, nil)
	is.Equal(refusal.Of(err).Verdict, verdict.NotRun)
	g.start("c", t.TempDir(), 1)
	g.propose(g.hosts["a"], 0, 1)
}

// TestGroupFormsWhileFurtherHostsAreKnown starts a host that does not form the groups before those that do.
// The group must form without it.
func TestGroupFormsWhileFurtherHostsAreKnown(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	f.names = []string{"a", "b", "c"}
	f.liveHosts = map[string]string{"d": "d4", "a": "d1"}
	f.listenAll("a", "b", "c", "d")
	for _, n := range []string{"d", "c", "b", "a"} {
		f.start(n, t.TempDir(), 1)
	}
	l := f.leader(0)
	is := is.New(t)
	is.True(l.name != "d")
	is.Equal(len(l.control.Status(0).Members), 3)
}

func TestHostWithoutDiskProposesAndConfirms(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 1, "a", "b", "c")
	h := f.hosts["b"]
	c := &proposal.Client{Link: h.control.Link, Hosts: f.names, Timer: h.control.Timer}
	r, err := c.Propose(testContext(t), 0, []byte("x"))
	is.NoErr(err)
	is.Equal(string(r), "x 1")
	before := h.control.Timer.Now()
	at, err := c.Confirm(testContext(t), 0)
	is.NoErr(err)
	is.True(!at.Before(before))
}

func TestLeaderWithoutQuorumReportsUnknownOrNotRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 1, "a", "b", "c")
	l := f.leader(0)
	for _, n := range f.names {
		if n != l.name {
			f.hosts[n].cancel()
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := l.control.Propose(ctx, 0, []byte("x"))
	is.Equal(refusal.Of(err).Verdict, verdict.MayHaveRun)
	is.Equal(refusal.Of(err).Code, "outcome-unknown")
	is.True(!l.control.Lead(0).Leading)
	_, err = l.control.Propose(testContext(t), 0, []byte("x"))
	is.Equal(refusal.Of(err).Verdict, verdict.NotRun)
	_, err = l.control.Confirm(ctx, 0)
	is.True(err != nil)
}

func TestSlowSnapshotDoesNotEndTheLeadership(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 1, "a", "b", "c")
	l := f.leader(0)
	before := l.control.Lead(0).Term
	for _, h := range f.hosts {
		h.counters[0].snapshotDelay.Store(int64(700 * time.Millisecond))
	}
	g := group.NewGroup(testContext(t))
	for range 200 {
		g.Go("proposer", func(ctx context.Context) error {
			_, err := l.client.Propose(ctx, 0, make([]byte, 100))
			return err
		})
	}
	is.NoErr(g.Wait())
	is.Equal(l.control.Lead(0).Term, before)
	is.True(l.control.Lead(0).Leading)
}

func TestReplacementThatWouldChangeTheVoterCountIsRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 1, "a", "b", "c")
	l := f.leader(0)
	old, err := l.control.Member(0, "c")
	is.NoErr(err)
	err = l.control.Replace(testContext(t), old, "b")
	is.Equal(refusal.Of(err).Code, "already-member")
	f.start("spare", t.TempDir(), 1)
	unknownMember := identity.Identity{Host: "c", Disk: "0"}
	f.await(func() bool {
		err = l.control.Replace(testContext(t), unknownMember, "spare")
		return refusal.Of(err).Code == "unknown-host"
	})
	is.Equal(len(l.control.Status(0).Members), 3)
}

func TestSingleHostServesAndStops(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 2, "a")
	f.propose(f.hosts["a"], 1, 3)
	f.wantApplied(f.hosts["a"], 1, 3)
	_, err := f.hosts["a"].client.Propose(testContext(t), 1, make([]byte, 9<<20))
	is.Equal(refusal.Of(err).Code, "too-large")
	_, err = f.hosts["a"].client.Propose(testContext(t), 1, make([]byte, 8<<20))
	is.NoErr(err)
	f.wantApplied(f.hosts["a"], 1, 4)
	is.NoErr(f.leader(1).control.Drain(testContext(t)))
}
