package grant

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/host"
	leadership1 "siskinrun/internal/base/leadership"
	"siskinrun/internal/base/rpc"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/team"
	"siskinrun/internal/limits/allowance"
)

const (
	// TTL is how long a host may spend a grant, counted from the sending of the request.
	TTL = 2 * time.Second

	// ShortTTL is how long a host may spend a grant that takes it over its share of the burst (rate.HostShare).
	ShortTTL = 250 * time.Millisecond

	requestInterval = 50 * time.Millisecond
	callTimeout     = 300 * time.Millisecond
	maxWaiters      = 256
	// overrunShare is the fraction of the allowed overrun that is added to the burst of a bucket.
	overrunShare = 0.7
	// idleGroupTicks is the number of ticks between checks of a group of which this host limits no team.
	idleGroupTicks = 2
	// reportBits is the number of bits for the reports of one team limiter.
	reportBits    = 40
	methodRequest = "grant/ask"
	methodFence   = "grant/fence"
)

// Limiter spends the units that this host holds and, for the groups that this host leads, grants units to all hosts.
type Limiter struct {
	// Link carries calls between hosts.
	Link peers
	// Client calls the leaders of groups.
	Client leaderClient
	// Leadership tells which groups this host leads.
	Leadership leadership
	// Name is the name of this host.
	Name string
	// Boot identifies the run of this host; later runs have greater values.
	Boot uint64
	// Hosts, if set, returns the hosts known at present and replaces the names of the link.
	Hosts func() []string
	// Overrun is the fraction by which a team may exceed its rate and burst in a window.
	Overrun float64
	// Window is the window to which Overrun and Slack apply.
	Window time.Duration
	// Slack is the number of units by which a team may exceed them in addition.
	Slack int64
	// Domains are the failure domains whose deputies stand in for owners that are lost; with fewer than two, none does. All hosts
	// must have the same.
	Domains []string
	// FailureDomain is that of this host.
	FailureDomain string
	// Candidates, if set, returns the hosts that may be deputies of a group, dead ones included. The owner must know all of them; one
	// whose failure domain is not known counts for each domain.
	Candidates func(group uint64) []host.Host
	// Alive reports whether a host is believed to be alive. It is needed with Candidates, as is MayPromise.
	Alive func(name string) bool
	// MayPromise reports whether all hosts that may own a group know of deputies.
	MayPromise func() bool
	// Groups is the number of replica groups among which the teams are divided.
	Groups int
	// Timer tells the time.
	Timer *timer.Service
	// Configuration returns the rates of the teams.
	Configuration configurationSource
	// Log receives changes of ownership and violations of limits.
	Log zerolog.Logger
	// Metrics counts requests, lost requests and violations of limits.
	Metrics metrics.Registry

	once    sync.Once
	started time.Time
	mu      sync.RWMutex
	teams   map[string]*teamLimiter
	// byGroup holds the team limiters of each group.
	byGroup []map[*teamLimiter]struct{}
	// terms holds the highest known term of each group.
	terms []uint64
	// lastSequence is the highest sequence number of a request of a forgotten team limiter.
	lastSequence uint64
	// created counts the team limiters, so that none takes a call of a forgotten one for its own.
	created  uint64
	ticks    int
	owners   []*owner
	wakes    []chan struct{}
	deputies []*groupDeputy
}

// peers calls other hosts.
type peers interface {
	Handle(method string, h rpc.Handler)
	Call(ctx context.Context, to, method string, body []byte) ([]byte, error)
	Names() []string
}

// leaderClient calls the leader of a group.
type leaderClient interface {
	CallLeader(ctx context.Context, group uint64, method string, body []byte) ([]byte, error)
}

// leadership reports whether this host leads a group.
type leadership interface {
	Lead(group uint64) leadership1.Status
}

// configurationSource returns the configuration in force.
type configurationSource interface {
	View() *configuration.Configuration
}

// OwnerGroup returns the group whose leader owns the bucket of a team.
func OwnerGroup(team string, groups int) uint64 {
	return 1 + xxhash.Sum64String(team)%uint64(max(groups, 1))
}

// Register registers the handlers of requests and fences and must be called before the link runs.
func (g *Limiter) Register() {
	g.init()
	g.Link.Handle(methodRequest, g.handleRequests)
	g.Link.Handle(methodFence, g.handleFence)
	g.Link.Handle(methodDeputy, g.handleDeputy)
}

// Run prefetches units from the owners, and acts as owner of the groups that this host leads, until ctx ends.
func (g *Limiter) Run(ctx context.Context) error {
	g.init()
	r := group.NewGroup(ctx)
	stop := g.Timer.Every(requestInterval, func(time.Time) { g.tick() })
	defer stop()
	for i := range g.wakes {
		r.Go("ask", func(ctx context.Context) error { return g.runGroup(ctx, i) })
		r.Go("adopt", func(ctx context.Context) error { return g.runTakeovers(ctx, g.owners[i]) })
		r.Go("deputy", func(ctx context.Context) error { return g.runDeputy(ctx, i) })
	}
	return r.Wait()
}

// Spend takes the cost from the units that this host holds for the team and reports whether they covered it.
func (g *Limiter) Spend(team string, cost int64) bool {
	return g.limiterFor(team).spend(g.Timer, cost)
}

// Take spends the cost and waits up to the given time for units from the owner; the error is a not-run refusal.
func (g *Limiter) Take(ctx context.Context, team string, cost int64, wait time.Duration) error {
	t := g.limiterFor(team)
	p, err := t.enqueue(g.Timer.Now(), cost, wait)
	for errors.Is(err, errForgotten) {
		t = g.limiterFor(team)
		p, err = t.enqueue(g.Timer.Now(), cost, wait)
	}
	if err != nil {
		return err
	}
	g.wake(t.group)
	stop := g.Timer.After(wait, func(now time.Time) { t.timeOut(now, p) })
	defer stop()
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		t.timeOut(g.Timer.Now(), p)
		return <-p.done
	}
}

// Reports returns the number of requests for units of a team so far, for GiveBack.
func (g *Limiter) Reports(team string) uint64 {
	return g.limiterFor(team).reports()
}

// GiveBack takes back what a call that has not run spent, given the value of Reports from before. Units that the owner has heard
// of stay spent, since it may have granted them again.
func (g *Limiter) GiveBack(team string, cost int64, reports uint64) {
	g.limiterFor(team).giveBack(g.Timer.Now(), cost, reports)
}

// ReturnAll returns all units of this host to the owners. A host that stops calls it once it admits no more requests.
func (g *Limiter) ReturnAll(ctx context.Context) {
	g.init()
	g.resign()
	for i := range g.wakes {
		for _, t := range g.groupTeams(uint64(i) + 1) {
			t.drain()
		}
		g.sendRequests(ctx, uint64(i)+1)
	}
}

func (g *Limiter) init() {
	g.once.Do(func() {
		if g.Boot == 0 {
			g.Boot = uint64(g.Timer.Now().UnixNano())
		}
		if g.Metrics == nil {
			g.Metrics = metrics.NewRegistry()
		}
		g.started = g.Timer.Now()
		g.teams = map[string]*teamLimiter{}
		for i := range max(g.Groups, 1) {
			g.owners = append(g.owners, newOwner(uint64(i)+1, g.hosts(), g.Name))
			g.terms = append(g.terms, 0)
			g.byGroup = append(g.byGroup, map[*teamLimiter]struct{}{})
			g.wakes = append(g.wakes, make(chan struct{}, 1))
			g.deputies = append(g.deputies, &groupDeputy{wake: make(chan struct{}, 1)})
		}
	})
}

// bucketLimits returns the rate and burst of a team's bucket.
//
// The allowed overrun raises the burst, from which hosts prefetch units that outlast a change of owner. A part
// of the overrun is left out to cover the time between admission and upstream.
func (g *Limiter) bucketLimits(t team.Team) (rate, burst int64) {
	overrun := g.overrun(t)
	return t.Rate, t.Burst + int64(overrun) - int64(len(g.Domains))*g.deputyBurst(overrun)
}

// overrun returns by how much the bursts of a team's buckets together exceed its own.
func (g *Limiter) overrun(t team.Team) float64 {
	return overrunShare * (g.Overrun*(float64(t.Rate)*g.Window.Seconds()+float64(t.Burst)) + float64(g.Slack))
}

// hosts returns the names of all hosts, this one first.
func (g *Limiter) hosts() []string {
	names := g.Link.Names
	if g.Hosts != nil {
		names = g.Hosts
	}
	l := []string{g.Name}
	for _, n := range names() {
		if n != g.Name {
			l = append(l, n)
		}
	}
	return l
}

// wake wakes the goroutine of a group.
func (g *Limiter) wake(group uint64) {
	select {
	case g.wakes[group-1] <- struct{}{}:
	default:
	}
	if g.sharesRates() {
		g.deputies[group-1].signal()
	}
}

// tick wakes the groups of which this host limits teams, and every idleGroupTicks ticks all groups.
func (g *Limiter) tick() {
	g.ticks++
	for i := range g.wakes {
		if g.ticks%idleGroupTicks == 0 || g.hasTeams(i) || g.holdsPromise(i) {
			g.wake(uint64(i) + 1)
		}
	}
}

// hasTeams reports whether this host limits teams of a group.
func (g *Limiter) hasTeams(i int) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return len(g.byGroup[i]) > 0
}

// runGroup refreshes a group and sends the requests that are due to its owner each time it is woken.
func (g *Limiter) runGroup(ctx context.Context, i int) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.wakes[i]:
		}
		g.refreshGroup(uint64(i) + 1)
		g.sendRequests(ctx, uint64(i)+1)
	}
}

// limiterFor returns the limiter of a team and creates it if there is none.
func (g *Limiter) limiterFor(team string) *teamLimiter {
	g.mu.RLock()
	t := g.teams[team]
	g.mu.RUnlock()
	if t != nil {
		return t
	}
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.teams[team]; t != nil {
		return t
	}
	o := OwnerGroup(team, g.Groups)
	t = newTeamLimiter(allowance.Allowance{Team: team, Host: g.Name, Boot: g.Boot, Sequence: g.lastSequence}, o)
	if c := g.Configuration.View(); c != nil {
		t.deputyBurst = g.deputyBurst(g.overrun(c.Teams[team]))
	}
	g.created++
	t.allowance.StartReports(g.created << reportBits)
	t.allowance.Fence(g.Timer.Now(), g.terms[o-1])
	g.teams[team] = t
	g.byGroup[o-1][t] = struct{}{}
	return t
}

// forgetIdle removes an idle team limiter, unless it has come into use again.
func (g *Limiter) forgetIdle(t *teamLimiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n, ok := t.forget(g.Timer.Now()); ok {
		g.lastSequence = max(g.lastSequence, n)
		delete(g.teams, t.team)
		delete(g.byGroup[t.group-1], t)
	}
}
