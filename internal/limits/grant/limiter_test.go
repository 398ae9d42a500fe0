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
	leadership1 "siskinrun/internal/base/leadership"
	"siskinrun/internal/base/rpc"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/ratestate"
	"siskinrun/internal/data/team"
	"siskinrun/internal/limits/allowance"
	"siskinrun/internal/limits/grantreply"
	"siskinrun/internal/limits/grantrequest"
	"siskinrun/internal/limits/refill"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// cluster connects the limiters of several hosts in one process. The first host leads every group.
type cluster struct {
	limiters []*Limiter
	config   *configuration.Configuration
	isolated atomic.Bool
}

type clusterHost struct {
	cluster  *cluster
	index    int
	timer    *timer.Service
	handlers map[string]rpc.Handler
}

func (s *clusterHost) Handle(method string, h rpc.Handler) { s.handlers[method] = h }
func (s *clusterHost) View() *configuration.Configuration  { return s.cluster.config }

func (s *clusterHost) Names() []string {
	var l []string
	for i := range s.cluster.limiters {
		l = append(l, fmt.Sprint("h", i))
	}
	return l
}

func (s *clusterHost) Lead(uint64) leadership1.Status {
	n := s.timer.Now()
	return leadership1.Status{Leading: s.index == 0, Term: 1, Since: n, Until: n.Add(time.Second)}
}

func (s *clusterHost) Call(ctx context.Context, to, method string, body []byte) ([]byte, error) {
	for i, n := range s.Names() {
		if n == to {
			return s.cluster.limiters[i].Link.(*clusterHost).handlers[method](ctx, fmt.Sprint("h", s.index), body)
		}
	}
	return nil, refusal.NewNotRun(503, "peer-unreachable", to)
}

func (s *clusterHost) CallLeader(ctx context.Context, _ uint64, method string, body []byte) ([]byte, error) {
	if s.cluster.isolated.Load() {
		return nil, refusal.NewNotRun(503, "peer-unreachable", "cut off")
	}
	return s.Call(ctx, "h0", method, body)
}

func newCluster(t testing.TB, hosts int, teams map[string]team.Team) *cluster {
	h := &cluster{config: &configuration.Configuration{Teams: teams}, limiters: make([]*Limiter, hosts)}
	m := timer.NewService()
	ctx, cancel := context.WithCancel(context.Background())
	g := group.NewGroup(ctx)
	g.Go("timer", m.Run)
	for i := range hosts {
		s := &clusterHost{cluster: h, index: i, timer: m, handlers: map[string]rpc.Handler{}}
		h.limiters[i] = &Limiter{
			Link: s, Client: s, Leadership: s, Configuration: s, Name: fmt.Sprint("h", i), Boot: 1, Groups: 3, Timer: m,
		}
	}
	for _, n := range h.limiters {
		n.Register()
	}
	for _, n := range h.limiters {
		g.Go(n.Name, n.Run)
	}
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	return h
}

// waitForUnits waits until a host gets its first unit for a team.
func waitForUnits(t testing.TB, g *Limiter, name string) {
	for range 200 {
		if g.Take(context.Background(), name, 1, time.Second) == nil {
			return
		}
	}
	t.Fatal("no unit granted within 200 tries")
}

func TestTeamsSpendTheirBurstOverAllHosts(t *testing.T) {
	is := is.New(t)
	h := newCluster(t, 3, map[string]team.Team{"kea": {Rate: 100, Burst: 60}})
	waitForUnits(t, h.limiters[1], "kea")
	var admitted atomic.Int64
	g := group.NewGroup(context.Background())
	start := h.limiters[0].Timer.Now()
	for i := range 9 {
		g.Go("caller", func(ctx context.Context) error {
			for range 40 {
				if h.limiters[i%3].Take(ctx, "kea", 1, time.Millisecond) == nil {
					admitted.Add(1)
				}
			}
			return nil
		})
	}
	is.NoErr(g.Wait())
	is.True(float64(admitted.Load()) <= 60+100*h.limiters[0].Timer.Now().Sub(start).Seconds())
	err := h.limiters[2].Take(context.Background(), "kea", 60, time.Millisecond)
	is.Equal(refusal.Of(err).Verdict, verdict.NotRun)
	is.Equal(refusal.Of(err).Code, "rate-exceeded")
	is.True(refusal.Of(err).RetryAfter > 0)
}

func TestCostOverBurstIsRefusedForGood(t *testing.T) {
	is := is.New(t)
	h := newCluster(t, 1, map[string]team.Team{"kea": {Rate: 100, Burst: 10}})
	waitForUnits(t, h.limiters[0], "kea")
	err := h.limiters[0].Take(context.Background(), "kea", 11, time.Second)
	is.Equal(refusal.Of(err).Code, "cost-exceeds-burst")
}

func TestRefusalNamesAnUnreachableOwner(t *testing.T) {
	is := is.New(t)
	h := newCluster(t, 2, map[string]team.Team{"kea": {Rate: 100, Burst: 100}})
	waitForUnits(t, h.limiters[1], "kea")
	h.isolated.Store(true)
	var err error
	for err == nil {
		err = h.limiters[1].Take(context.Background(), "kea", 20, 100*time.Millisecond)
	}
	is.Equal(refusal.Of(err).Code, "rate-owner-unreachable")
	is.Equal(refusal.Of(err).Verdict, verdict.NotRun)
}

func TestReturnedUnitsAreNoLongerOutstanding(t *testing.T) {
	is := is.New(t)
	h := newCluster(t, 2, map[string]team.Team{"kea": {Rate: 1000, Burst: 100}})
	waitForUnits(t, h.limiters[1], "kea")
	w := h.limiters[1].limiterFor("kea")
	for range 20 {
		is.NoErr(h.limiters[1].Take(context.Background(), "kea", 1, time.Second))
	}
	m := h.limiters[0].Timer
	for i := 0; i < 100 && w.balance(m.Now()) == 0; i++ {
		is.NoErr(m.Sleep(context.Background(), 10*time.Millisecond))
	}
	is.True(w.balance(m.Now()) > 0)
	h.limiters[1].ReturnAll(context.Background())
	is.Equal(w.balance(m.Now()), int64(0))
	o := h.limiters[0].owners[w.group-1]
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
		{"one does not answer", []string{"h0", "h1"}, ShortTTL, 400},
		{"two do not answer", []string{"h0"}, ShortTTL, 400},
		{"none answer", nil, ShortTTL, 250},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			o := newOwner(1, []string{"h0", "h1", "h2"}, "h0")
			now := time.Unix(1000, 0)
			o.startTerm(now, 1, nil)
			for _, h := range c.answers {
				o.recordRemainders(now, 1, h, &refill.Fenced{})
			}
			o.open(now, 1)
			o.configure(now, &configuration.Configuration{Teams: map[string]team.Team{"kea": {Rate: 1000, Burst: 1000}}}, &Limiter{Groups: 1})
			q := grantrequest.Request{Team: "kea", Host: "h3", Sequence: 1, Need: 1}
			if c.wait > 0 {
				is.Equal(o.handleRequest(now.Add(c.wait), q).Units, int64(0))
			}
			q.Sequence++
			q.Need = 400
			now = now.Add(c.wait + 402*time.Millisecond)
			is.Equal(o.handleRequest(now, q).Units, c.units)
		})
	}
}

func TestHostsAuditTheirOwnAdmissions(t *testing.T) {
	for _, c := range []struct {
		name         string
		first, later grantreply.Reply
		ok           bool
	}{
		{"within limits", grantreply.Reply{Rate: 10, Burst: 20}, grantreply.Reply{Rate: 10, Burst: 20, Units: 20}, true},
		{"over limits", grantreply.Reply{Rate: 10, Burst: 20}, grantreply.Reply{Rate: 10, Burst: 20, Units: 21}, false},
		{"within raised limits", grantreply.Reply{Rate: 10, Burst: 20}, grantreply.Reply{Rate: 10, Burst: 90, Units: 90}, true},
		{"over raised limits", grantreply.Reply{Rate: 10, Burst: 20}, grantreply.Reply{Rate: 10, Burst: 90, Units: 91}, false},
		{"within limits before they were lowered", grantreply.Reply{Rate: 10, Burst: 90}, grantreply.Reply{Rate: 10, Burst: 20, Units: 90}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			w := newTeamLimiter(allowance.Allowance{Team: "kea"}, 1)
			for _, a := range []grantreply.Reply{c.first, c.later} {
				w.waitingCost = 100
				q, ok := w.nextRequest(now)
				is.True(ok)
				a.Sequence, a.Grant, a.TTL = q.Sequence, q.Sequence, TTL
				w.applyReply(now, a)
			}
			for range c.later.Units {
				is.True(w.spendAudited(now, 1))
			}
			is.Equal(w.takeViolation() == nil, c.ok)
		})
	}
}

func (t *teamLimiter) balance(now time.Time) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.allowance.Balance(now)
}

func FuzzAnswer(f *testing.F) {
	b, _ := proto.Marshal(&refill.Request{Group: 1, Host: "h0", Boot: 1, Requests: []*refill.GrantRequest{
		{Team: "kea", Sequence: 1, Term: 1, Need: 5, Want: 9, Demand: 3},
		{Team: "kea", Sequence: 2, Term: 1, Balances: []*refill.GrantBalance{{Grant: 1, Left: 2, Returned: 1}}},
	}})
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		m := timer.NewManual(time.Unix(1000, 0))
		s := &clusterHost{timer: m, handlers: map[string]rpc.Handler{}}
		s.cluster = &cluster{
			limiters: make([]*Limiter, 1),
			config:   &configuration.Configuration{Teams: map[string]team.Team{"kea": {Rate: 100, Burst: 100}}},
		}
		g := &Limiter{Link: s, Leadership: s, Configuration: s, Name: "h0", Boot: 1, Groups: 1, Timer: m}
		g.Register()
		g.refreshGroup(1)
		g.owners[0].open(m.Now(), 1)
		m.Advance(time.Second)
		for range 2 {
			_, _ = g.handleRequests(context.Background(), "h0", b)
			_, _ = g.handleFence(context.Background(), "h0", b)
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
	s := &clusterHost{cluster: &cluster{}, timer: m, handlers: map[string]rpc.Handler{}}
	g := &Limiter{Link: s, Name: "h0", Boot: 1, Groups: 3, Timer: m}
	g.Register()
	n := m.Now()
	var names []string
	for i := range teams {
		t := fmt.Sprint("team-", i)
		names = append(names, t)
		w := g.limiterFor(t)
		w.allowance.NextRequest(n, 1, 1)
		w.allowance.ApplyReply(n, newReply(w.allowance.Sequence))
	}
	for i := 0; b.Loop(); i++ {
		if !g.Spend(names[i%teams], 1) {
			b.Fatal("refused")
		}
	}
}

// newReply returns a reply that a benchmark cannot use up.
func newReply(sequence uint64) grantreply.Reply {
	return grantreply.Reply{Sequence: sequence, Term: 1, Grant: 1, Units: 1 << 40, TTL: time.Hour, Rate: 1e9, Burst: 4e9}
}

// TestRefusalBeforeTheFirstReplyNamesTheOwner guards against telling a caller that its team has spent its rate when the
// owner of the rate has not answered this host yet.
func TestRefusalBeforeTheFirstReplyNamesTheOwner(t *testing.T) {
	is := is.New(t)
	l := newTeamLimiter(allowance.Allowance{Team: "t", Host: "h", Boot: 1}, 1)
	now := time.Unix(1_800_000_000, 0)
	is.Equal(refusal.Of(l.refusal(now)).Code, "rate-owner-unreachable")
	w := newReply(1)
	w.Burst = 5
	l.applyReply(now, w)
	is.Equal(refusal.Of(l.refusal(now)).Code, "rate-exceeded")
}

// TestExplainSpendsAndAsksNothing guards against an explanation that takes units, counts as demand, or makes a host ask for a
// team that no caller has used.
func TestExplainSpendsAndAsksNothing(t *testing.T) {
	is := is.New(t)
	s := &clusterHost{timer: timer.NewService(), handlers: map[string]rpc.Handler{}}
	s.cluster = &cluster{config: &configuration.Configuration{Teams: map[string]team.Team{"a": {Rate: 7, Burst: 9}}}}
	g := &Limiter{Link: s, Client: s, Leadership: s, Configuration: s, Name: "h0", Boot: 1, Groups: 3, Timer: s.timer}
	g.init()
	is.Equal(g.Explain("b", 1, time.Second).Outcome, ratestate.AsksOwner)
	is.Equal(len(g.teams), 0)
	l, now := g.limiterFor("a"), s.timer.Now()
	q, ok := l.allowance.NextRequest(now, 5, 5)
	is.True(ok)
	l.applyReply(now, grantreply.Reply{Sequence: q.Sequence, Term: 1, Grant: 1, Units: 5, TTL: time.Hour, Rate: 7, Burst: 9, RetryAfter: time.Minute})
	l.allowance.RecordDemand(now, 1)
	for _, c := range []struct {
		cost int64
		want string
	}{{5, ratestate.Admitted}, {6, "rate-exceeded"}, {10, "cost-exceeds-burst"}} {
		before := l.allowance
		e := g.Explain("a", c.cost, time.Second)
		is.Equal(e.Outcome, c.want)
		is.Equal(e.Held, int64(5))
		is.Equal(l.allowance, before)
		is.Equal(l.waitingCost, int64(0))
	}
	is.True(!g.Spend("a", 6)) // the refusals were true
	is.True(g.Spend("a", 5))  // and nothing was spent
}
