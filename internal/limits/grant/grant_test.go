package grant

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/lead"
	"siskinrun/internal/base/link"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/team"
	"siskinrun/internal/limits/allowance"
	"siskinrun/internal/limits/ask"
	"siskinrun/internal/limits/award"
	"siskinrun/internal/limits/refill"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// hall joins the grants of several hosts in one process; the first one leads every group.
type hall struct {
	grants []*Grant
	config *configuration.Configuration
	cut    atomic.Bool
}

type seat struct {
	hall     *hall
	index    int
	timer    *timer.Service
	handlers map[string]link.Handler
}

func (s *seat) Handle(method string, h link.Handler) { s.handlers[method] = h }
func (s *seat) View() *configuration.Configuration   { return s.hall.config }

func (s *seat) Names() []string {
	var l []string
	for i := range s.hall.grants {
		l = append(l, fmt.Sprint("h", i))
	}
	return l
}

func (s *seat) Lead(uint64) lead.Lead {
	n := s.timer.Now()
	return lead.Lead{Leading: s.index == 0, Term: 1, Since: n, Until: n.Add(time.Second)}
}

func (s *seat) Call(ctx context.Context, to, method string, body []byte) ([]byte, error) {
	for i, n := range s.Names() {
		if n == to {
			return s.hall.grants[i].Link.(*seat).handlers[method](ctx, fmt.Sprint("h", s.index), body)
		}
	}
	return nil, refusal.NewNotRun(503, "peer-unreachable", to)
}

func (s *seat) CallLeader(ctx context.Context, _ uint64, method string, body []byte) ([]byte, error) {
	if s.hall.cut.Load() {
		return nil, refusal.NewNotRun(503, "peer-unreachable", "cut off")
	}
	return s.Call(ctx, "h0", method, body)
}

func newHall(t testing.TB, hosts int, teams map[string]team.Team) *hall {
	h := &hall{config: &configuration.Configuration{Teams: teams}, grants: make([]*Grant, hosts)}
	m := timer.NewService()
	ctx, cancel := context.WithCancel(context.Background())
	g := group.NewGroup(ctx)
	g.Go("timer", m.Run)
	for i := range hosts {
		s := &seat{hall: h, index: i, timer: m, handlers: map[string]link.Handler{}}
		h.grants[i] = &Grant{
			Link: s, Client: s, Leads: s, Configuration: s, Name: fmt.Sprint("h", i), Boot: 1, Groups: 3, Timer: m,
		}
	}
	for _, n := range h.grants {
		n.Register()
	}
	for _, n := range h.grants {
		g.Go(n.Name, n.Run)
	}
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	return h
}

// settle waits until a host gets its first units.
func settle(t testing.TB, g *Grant, name string) {
	for range 200 {
		if g.Take(context.Background(), name, 1, time.Second) == nil {
			return
		}
	}
	t.Fatal("no grant in time")
}

func TestTeamsSpendTheirBurstOverAllHosts(t *testing.T) {
	is := is.New(t)
	h := newHall(t, 3, map[string]team.Team{"kea": {Rate: 100, Burst: 60}})
	settle(t, h.grants[1], "kea")
	var admitted atomic.Int64
	g := group.NewGroup(context.Background())
	start := h.grants[0].Timer.Now()
	for i := range 9 {
		g.Go("caller", func(ctx context.Context) error {
			for range 40 {
				if h.grants[i%3].Take(ctx, "kea", 1, time.Millisecond) == nil {
					admitted.Add(1)
				}
			}
			return nil
		})
	}
	is.NoErr(g.Wait())
	is.True(float64(admitted.Load()) <= 60+100*h.grants[0].Timer.Now().Sub(start).Seconds())
	err := h.grants[2].Take(context.Background(), "kea", 60, time.Millisecond)
	is.Equal(refusal.Of(err).Verdict, verdict.NotRun)
	is.Equal(refusal.Of(err).Code, "rate-exceeded")
	is.True(refusal.Of(err).RetryAfter > 0)
}

func TestCostOverBurstIsRefusedForGood(t *testing.T) {
	is := is.New(t)
	h := newHall(t, 1, map[string]team.Team{"kea": {Rate: 100, Burst: 10}})
	settle(t, h.grants[0], "kea")
	err := h.grants[0].Take(context.Background(), "kea", 11, time.Second)
	is.Equal(refusal.Of(err).Code, "cost-exceeds-burst")
}

func TestUnreachableOwnerIsNamed(t *testing.T) {
	is := is.New(t)
	h := newHall(t, 2, map[string]team.Team{"kea": {Rate: 100, Burst: 100}})
	settle(t, h.grants[1], "kea")
	h.cut.Store(true)
	var err error
	for err == nil {
		err = h.grants[1].Take(context.Background(), "kea", 20, 100*time.Millisecond)
	}
	is.Equal(refusal.Of(err).Code, "rate-owner-unreachable")
	is.Equal(refusal.Of(err).Verdict, verdict.NotRun)
}

func TestHandedBackUnitsServeOtherHosts(t *testing.T) {
	is := is.New(t)
	h := newHall(t, 2, map[string]team.Team{"kea": {Rate: 1000, Burst: 100}})
	settle(t, h.grants[1], "kea")
	w := h.grants[1].wallet("kea")
	for range 20 {
		is.NoErr(h.grants[1].Take(context.Background(), "kea", 1, time.Second))
	}
	m := h.grants[0].Timer
	for i := 0; i < 100 && w.stock(m.Now()) == 0; i++ {
		is.NoErr(m.Sleep(context.Background(), 10*time.Millisecond))
	}
	is.True(w.stock(m.Now()) > 0)
	h.grants[1].HandBack(context.Background())
	is.Equal(w.stock(m.Now()), int64(0))
	o := h.grants[0].owners[w.group-1]
	o.mu.Lock()
	defer o.mu.Unlock()
	is.True(!o.buckets["kea"].Prune(m.Now()))
}

func TestNewOwnerWaitsForHostsThatDoNotAnswer(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers []string
		wait    time.Duration
		units   int64
	}{
		{"all answer", []string{"h0", "h1", "h2"}, 0, 400},
		{"one is silent", []string{"h0", "h1"}, NeedLife, 400},
		{"two are silent", []string{"h0"}, NeedLife, 400},
		{"nobody answers", nil, NeedLife, 250},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			o := newOwner(1, []string{"h0", "h1", "h2"}, "h0")
			now := time.Unix(1000, 0)
			o.elect(now, 1)
			for _, h := range c.answers {
				o.adopt(now, 1, h, &refill.Fenced{})
			}
			o.open(now, 1)
			o.configure(now, &configuration.Configuration{Teams: map[string]team.Team{"kea": {Rate: 1000, Burst: 1000}}}, &Grant{Groups: 1})
			q := ask.Ask{Team: "kea", Host: "h3", Sequence: 1, Need: 1}
			if c.wait > 0 {
				is.Equal(o.take(now.Add(c.wait), q).Units, int64(0))
			}
			q.Sequence++
			q.Need = 400
			now = now.Add(c.wait + 402*time.Millisecond)
			is.Equal(o.take(now, q).Units, c.units)
		})
	}
}

func TestHostsAuditTheirOwnAdmissions(t *testing.T) {
	for _, c := range []struct {
		name         string
		first, later award.Award
		ok           bool
	}{
		{"within", award.Award{Rate: 10, Burst: 20}, award.Award{Rate: 10, Burst: 20, Units: 20}, true},
		{"over", award.Award{Rate: 10, Burst: 20}, award.Award{Rate: 10, Burst: 20, Units: 21}, false},
		{"raised before", award.Award{Rate: 10, Burst: 20}, award.Award{Rate: 10, Burst: 90, Units: 90}, true},
		{"over the raised", award.Award{Rate: 10, Burst: 20}, award.Award{Rate: 10, Burst: 90, Units: 91}, false},
		{"lowered", award.Award{Rate: 10, Burst: 90}, award.Award{Rate: 10, Burst: 20, Units: 90}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			w := newWallet(allowance.Allowance{Team: "kea"}, 1)
			for _, a := range []award.Award{c.first, c.later} {
				w.need = 100
				q, ok := w.ask(now)
				is.True(ok)
				a.Sequence, a.Grant, a.Life = q.Sequence, q.Sequence, Life
				w.award(now, a)
			}
			for range c.later.Units {
				is.True(w.take(now, 1))
			}
			is.Equal(w.check() == nil, c.ok)
		})
	}
}

func (w *wallet) stock(now time.Time) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.allowance.Stock(now)
}

func FuzzAnswer(f *testing.F) {
	b, _ := proto.Marshal(&refill.Request{Group: 1, Host: "h0", Boot: 1, Asks: []*refill.Ask{
		{Team: "kea", Sequence: 1, Term: 1, Need: 5, Want: 9, Demand: 3},
		{Team: "kea", Sequence: 2, Term: 1, Holdings: []*refill.Holding{{Grant: 1, Left: 2, Returned: 1}}},
	}})
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		m := timer.NewManual(time.Unix(1000, 0))
		s := &seat{timer: m, handlers: map[string]link.Handler{}}
		s.hall = &hall{
			grants: make([]*Grant, 1),
			config: &configuration.Configuration{Teams: map[string]team.Team{"kea": {Rate: 100, Burst: 100}}},
		}
		g := &Grant{Link: s, Leads: s, Configuration: s, Name: "h0", Boot: 1, Groups: 1, Timer: m}
		g.Register()
		g.own(1)
		g.owners[0].open(m.Now(), 1)
		m.Advance(time.Second)
		for range 2 {
			_, _ = g.answer(context.Background(), "h0", b)
			_, _ = g.fence(context.Background(), "h0", b)
		}
		if k := g.owners[0].buckets["kea"]; k != nil {
			if err := k.Check(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func BenchmarkSpend(b *testing.B) {
	const teams = 2000
	m := timer.NewService()
	s := &seat{hall: &hall{}, timer: m, handlers: map[string]link.Handler{}}
	g := &Grant{Link: s, Name: "h0", Boot: 1, Groups: 3, Timer: m}
	g.Register()
	n := m.Now()
	var names []string
	for i := range teams {
		t := fmt.Sprint("team-", i)
		names = append(names, t)
		w := g.wallet(t)
		w.allowance.Ask(n, 1, 1)
		w.allowance.Award(n, awardOf(w.allowance.Sequence))
	}
	for i := 0; b.Loop(); i++ {
		if !g.Spend(names[i%teams], 1) {
			b.Fatal("refused")
		}
	}
}

// awardOf returns a grant that a benchmark cannot use up.
func awardOf(sequence uint64) award.Award {
	return award.Award{Sequence: sequence, Term: 1, Grant: 1, Units: 1 << 40, Life: time.Hour, Rate: 1e9, Burst: 4e9}
}
