package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/span"
	"siskinrun/internal/data/news"
	"siskinrun/internal/data/report"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/fleet/membership"
)

// churn runs a fleet through leaves, restarts, deaths, two cut-offs and late announcements.
func churn(seed uint64, wrong bool) error {
	f := newFleet(seed, 9)
	f.loss = 0.05
	r := f.random
	var names []string
	for i := range 30 {
		names = append(names, fmt.Sprint("u", i))
		f.inc[names[i]] = 1
	}
	gone := map[string]bool{}
	beat := func() error {
		for k, u := range names {
			if !gone[u] {
				f.announce(k%9, u, 0)
			}
		}
		return f.run(time.Second)
	}
	for range 3 {
		if err := beat(); err != nil {
			return err
		}
	}
	for round := range 2 {
		for i := range f.views {
			f.side[i] = 0
			if i%3 == round {
				f.side[i] = 1
			}
		}
		for range 4 {
			u := names[r.IntN(len(names))]
			i := r.IntN(9)
			for f.side[i] != 0 {
				i = r.IntN(9)
			}
			old := f.inc[u]
			f.leave(i, u)
			gone[u] = true
			if r.IntN(2) == 0 {
				f.inc[u] = old + 1
				gone[u] = false
			}
			if err := beat(); err != nil {
				return err
			}
			// An announcement of the ended incarnation arrives late at some host.
			now := f.inc[u]
			f.inc[u] = old
			if wrong {
				// What a host that does not compare incarnations would make of it.
				f.inc[u] = now + 1
			}
			f.announce(r.IntN(9), u, time.Duration(r.Int64N(int64(5*time.Second))))
			f.inc[u] = now
		}
		if err := beat(); err != nil {
			return err
		}
		clear(f.side)
		f.healed = f.now
		if err := settle(f, beat); err != nil {
			return err
		}
		if err := f.agree(len(names) - len(gone) + stays(gone)); err != nil {
			return err
		}
	}
	return nil
}

// settle lets the views come together without losses.
func settle(f *fleet, beat func() error) error {
	l := f.loss
	f.loss = 0
	defer func() { f.loss = l }()
	for range 4 {
		if err := beat(); err != nil {
			return err
		}
	}
	return nil
}

func stays(gone map[string]bool) int {
	n := 0
	for _, g := range gone {
		if !g {
			n++
		}
	}
	return n
}

func TestViewsComeTogetherAndLeaversStayAway(t *testing.T) {
	for seed := range uint64(40) {
		if err := churn(seed, false); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

func TestRevivedUpstreamsAreNoticed(t *testing.T) {
	for seed := range uint64(5) {
		is.New(t).True(churn(seed, true) != nil)
	}
}

func TestLeaversAreKnownSoonInALargeFleet(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 320)
	f.loss = 0.02
	f.inc["u0"] = 1
	f.announce(0, "u0", 0)
	is.NoErr(f.run(4 * time.Second))
	f.leave(7, "u0")
	left := f.now
	for f.uses("u0") {
		is.NoErr(f.run(step))
	}
	t.Logf("320 hosts know of a leaver after %v", f.now.Sub(left))
	is.True(f.now.Sub(left) < period)
}

func up(incarnation uint64, address string, age time.Duration) upstream.Upstream {
	return upstream.Upstream{
		Name: "u", Address: address, Service: "s", Incarnation: incarnation, Age: span.Span(age),
	}
}

func newView() *membership.Membership {
	return membership.NewMembership("a", "d", 1, []string{"a", "b", "c"}, 1)
}

var start = time.Unix(1000, 0)

func TestPrecedence(t *testing.T) {
	leaving := up(2, "x", 0)
	leaving.Leaving = true
	for _, c := range []struct {
		name          string
		first, second upstream.Upstream
		want          upstream.Upstream
	}{
		{"older incarnation", up(2, "x", 0), up(1, "x", 0), up(2, "x", 0)},
		{"newer incarnation", up(2, "x", 0), up(3, "y", 0), up(3, "y", 0)},
		{"leaver stays", leaving, up(2, "x", 0), leaving},
		{"leaver restarts", leaving, up(3, "x", 0), up(3, "x", 0)},
		{"same incarnation, other address", up(2, "y", 0), up(2, "x", 0), up(2, "x", 0)},
		{"other address comes first", up(2, "x", 0), up(2, "y", 0), up(2, "x", 0)},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := newView()
			m.Announce(start, c.first)
			m.Announce(start.Add(time.Second), c.second)
			l := m.Upstreams(start.Add(time.Second))
			is.Equal(len(l), 1)
			l[0].Age = 0
			is.Equal(l[0], c.want)
		})
	}
}

func TestLeaverThatWasNeverSeenIsRemembered(t *testing.T) {
	is := is.New(t)
	m := newView()
	is.True(m.Leave(start, "u", 4))
	is.True(!m.Announce(start.Add(time.Minute), up(4, "x", 0)))
	is.Equal(len(m.Upstreams(start.Add(time.Minute))), 0)
	is.True(m.Announce(start.Add(time.Minute), up(5, "x", 0)))
}

func TestLeaveToldByAHostThatNeverSawTheUpstreamKeepsItsAddress(t *testing.T) {
	is := is.New(t)
	n := time.Unix(0, 0)
	a, b := newView(), membership.NewMembership("b", "d", 1, []string{"a"}, 1)
	is.True(a.Announce(n, up(1, "x", 0)))
	is.True(b.Leave(n, "u", 1))
	u, ok := b.Urgent(n)
	is.True(ok)
	a.Hear(n, u)
	l := a.Upstreams(n)
	is.Equal(len(l), 1)
	is.True(l[0].Leaving)
	is.Equal(l[0].Address, "x")
	// A bare leave of a later incarnation takes nothing over.
	is.True(b.Leave(n, "u", 2))
	u, _ = b.Urgent(n)
	a.Hear(n, u)
	is.Equal(len(a.Upstreams(n)), 0)
}

func TestOneAddressHasOneName(t *testing.T) {
	is := is.New(t)
	m := newView()
	u, v := up(1, "x", 0), up(2, "x", 0)
	v.Name = "v"
	m.Announce(start, u)
	m.Announce(start, v)
	l := m.Upstreams(start)
	is.Equal(len(l), 1)
	is.Equal(l[0].Name, "v")
}

// Ages add up over relays and count from the sending of each question.
func TestAgeCountsFromTheUpstream(t *testing.T) {
	is := is.New(t)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	a := newView()
	b := membership.NewMembership("b", "d", 1, []string{"a", "b", "c"}, 1)
	c := membership.NewMembership("c", "d", 1, []string{"a", "b", "c"}, 1)
	a.Announce(at(0), up(1, "x", time.Second))
	b.Learn(at(4), at(2), a.Answer(at(3), b.Question()))
	c.Learn(at(6), at(5), b.Answer(at(6), c.Question()))
	l := c.Upstreams(at(6))
	is.Equal(len(l), 1)
	is.Equal(l[0].Age.Duration(), 9*time.Second)
	is.Equal(len(c.Upstreams(at(7))), 1)
	is.Equal(len(c.Upstreams(at(8))), 0)
}

func TestSilentHostIsDeadWithinASecond(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		f := newFleet(seed, 9)
		is.NoErr(f.run(2 * time.Second))
		f.dead[4] = true
		is.NoErr(f.run(time.Second))
		is.NoErr(f.agree(0))
		f.dead[4] = false
		is.NoErr(f.run(3 * time.Second))
		is.NoErr(f.agree(0))
		f.dead[4] = true
		is.NoErr(f.run(time.Second))
		f.boots[4]++
		f.dead[4] = false
		f.start(4)
		is.NoErr(f.run(3 * time.Second))
		is.NoErr(f.agree(0))
	}
}

func TestHostThatHearsNobodyDoubtsItself(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 9)
	f.inc["u0"] = 1
	f.announce(1, "u0", 0)
	is.NoErr(f.run(2 * time.Second))
	f.side[0] = 1
	is.NoErr(f.run(membership.Expiry + time.Second))
	is.True(f.views[0].Doubtful())
	is.Equal(len(f.views[0].Upstreams(f.now)), 1)
	is.Equal(len(f.views[1].Upstreams(f.now)), 0)
	is.True(!f.views[1].Doubtful())
}

func TestCountsOfPeersAddUpAndAge(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 5)
	for i := range 5 {
		f.views[i].Busy(f.now, "u", i)
	}
	is.NoErr(f.run(2 * period))
	is.Equal(f.views[0].Peers("u"), 10)
	is.Equal(f.views[4].Peers("u"), 6)
	f.views[4].Busy(f.now, "u", 0)
	is.NoErr(f.run(2 * period))
	is.Equal(f.views[0].Peers("u"), 6)
	f.dead[3] = true
	is.NoErr(f.run(membership.CountExpiry + time.Second))
	is.Equal(f.views[0].Peers("u"), 3)
}

func TestReportsSpreadAndOldOnesDoNotReturn(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 5)
	f.views[0].Report(f.now, report.Report{Upstream: "u", Incarnation: 2, Running: 3})
	is.NoErr(f.run(time.Second))
	f.views[1].Report(f.now, report.Report{Upstream: "u", Incarnation: 1, Running: 9})
	f.views[2].Report(f.now, report.Report{Upstream: "u", Incarnation: 2, Running: 8, Age: span.Span(5 * time.Second)})
	is.NoErr(f.run(time.Second))
	for _, v := range f.views {
		r, at, ok := v.Load("u")
		is.True(ok)
		is.Equal(r.Running, 3)
		is.True(f.now.Sub(at) >= 2*time.Second)
	}
}

func TestLongAnswersAreContinued(t *testing.T) {
	is := is.New(t)
	a := newView()
	for i := range 5000 {
		u := up(1, fmt.Sprint("x", i), 0)
		u.Name = fmt.Sprint("u", i)
		a.Announce(start, u)
	}
	b := membership.NewMembership("b", "d", 1, []string{"a", "b", "c"}, 1)
	for range 3 {
		b.Learn(start, start, a.Answer(start, b.Question()))
	}
	is.Equal(len(b.Upstreams(start)), 5000)
	n := a.Answer(start, b.Question())
	is.Equal(len(n.Announcements), 0)
	is.True(slices.ContainsFunc(n.Hosts, func(h news.Host) bool { return h.Name == "a" && h.Sequence == 5000 }))
}

func TestOpenMembershipTakesHostsInAndForgetsTheDead(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a := membership.NewMembership("a", "d1", 1, []string{"s"}, 1)
	a.Open = true
	b := membership.NewMembership("b", "d2", 1, []string{"s"}, 2)
	b.Open = true
	b.Introduce(news.Host{Label: "host-b", Control: true})
	a.Answer(now, b.Question()) // b asks a, which did not know of b
	find := func(n string) (news.Host, bool) {
		for _, h := range a.Hosts() {
			if h.Name == n {
				return h, true
			}
		}
		return news.Host{}, false
	}
	h, ok := find("b")
	is.True(ok)
	is.Equal(h.Label, "host-b")
	is.True(h.Control)
	is.True(a.Alive("b"))
	a.Meet([]string{"c", "b"})
	_, ok = find("c")
	is.True(ok)
	a.Suspect("c")
	is.True(a.Condemn("c"))
	a.Prune(now)
	a.Prune(now.Add(time.Minute))
	_, ok = find("c")
	is.True(!ok)
	a.Hear(now, news.News{From: "b", Hosts: []news.Host{{Name: "c", Boot: 1, Dead: true}}})
	_, ok = find("c")
	is.True(!ok) // one that is known to be dead is not taken in again
}

// TestHostThatIsAskedFirstTellsWhatItKeeps has a host that restarted answer before it asks for the first time.
func TestHostThatIsAskedFirstTellsWhatItKeeps(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a := membership.NewMembership("a", "d1", 1, []string{"b"}, 1)
	a.Open = true
	old := membership.NewMembership("b", "d2", 1, []string{"a"}, 2)
	old.Introduce(news.Host{Ledgers: true})
	a.Answer(now, old.Question())
	b := membership.NewMembership("b", "d2", 2, []string{"a"}, 2)
	b.Introduce(news.Host{Ledgers: true})
	a.Learn(now, now, b.Answer(now, a.Question()))
	for _, h := range a.Hosts() {
		if h.Name == "b" {
			is.Equal(h.Boot, uint64(2))
			is.True(h.Ledgers)
		}
	}
}

// TestLargeFleetsAskMoreSeldom holds that a small fleet is not slowed.
func TestLargeFleetsAskMoreSeldom(t *testing.T) {
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
			is.Equal(m.Periods(), c.periods)
			is.Equal(m.Small(), c.small)
		})
	}
}
