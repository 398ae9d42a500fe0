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
	"siskinrun/internal/base/lead"
	"siskinrun/internal/base/link"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/team"
	"siskinrun/internal/limits/allowance"
)

const (
	// Life is how long a host may spend a grant, counted from the sending of its ask.
	Life = 2 * time.Second

	// NeedLife is how long a host may spend a grant that takes it over its part of the burst.
	NeedLife = 250 * time.Millisecond

	interval    = 20 * time.Millisecond
	callTimeout = 300 * time.Millisecond
	maxWaiters  = 256
	// overrunUsed is the part of what teams may pass their limits by that is used.
	overrunUsed = 0.7
	// restTicks is the number of ticks after which a group without wallets is looked at.
	restTicks   = 5
	methodAsk   = "grant/ask"
	methodFence = "grant/fence"
)

// Grant holds what this host may spend and, where it leads a group, what the fleet may spend.
type Grant struct {
	// Link carries calls between hosts.
	Link peers
	// Client calls the leaders of groups.
	Client client
	// Leads tells which groups this host leads.
	Leads leads
	// Name is the name of this host.
	Name string
	// Boot distinguishes the runs of this host and grows with each.
	Boot uint64
	// Hosts, if set, returns the hosts that are known now, in place of the names of the link.
	Hosts func() []string
	// Overrun is the share by which teams may pass their rate and burst in a window.
	Overrun float64
	// Window is that window.
	Window time.Duration
	// Slack is the number of units that teams may pass them by besides.
	Slack int64
	// Groups is the number of groups that own teams.
	Groups int
	// Timer tells the time.
	Timer *timer.Service
	// Configuration holds the rates of the teams.
	Configuration source
	// Log takes changes of ownership.
	Log zerolog.Logger
	// Metrics counts asks and grants.
	Metrics metrics.Registry

	once    sync.Once
	started time.Time
	mu      sync.RWMutex
	wallets map[string]*wallet
	// members are the wallets of each group.
	members []map[*wallet]struct{}
	// terms are the highest known of the groups.
	terms []uint64
	// sequence is the highest that a forgotten wallet used.
	sequence uint64
	ticks    int
	owners   []*owner
	kicks    []chan struct{}
}

// peers calls other hosts.
type peers interface {
	Handle(method string, h link.Handler)
	Call(ctx context.Context, to, method string, body []byte) ([]byte, error)
	Names() []string
}

// client calls the leader of a group.
type client interface {
	CallLeader(ctx context.Context, group uint64, method string, body []byte) ([]byte, error)
}

// leads tells of the leadership of this host.
type leads interface {
	Lead(group uint64) lead.Lead
}

// source returns the configuration in force.
type source interface {
	View() *configuration.Configuration
}

// Owner returns the group whose leader owns the bucket of a team.
func Owner(team string, groups int) uint64 {
	return 1 + xxhash.Sum64String(team)%uint64(max(groups, 1))
}

// Register registers the handlers of asks and must be called before the link runs.
func (g *Grant) Register() {
	g.init()
	g.Link.Handle(methodAsk, g.answer)
	g.Link.Handle(methodFence, g.fence)
}

// Run asks owners ahead of need until ctx ends.
func (g *Grant) Run(ctx context.Context) error {
	g.init()
	r := group.NewGroup(ctx)
	stop := g.Timer.Every(interval, func(time.Time) { g.tick() })
	defer stop()
	for i := range g.kicks {
		r.Go("ask", func(ctx context.Context) error { return g.serve(ctx, i) })
		r.Go("adopt", func(ctx context.Context) error { return g.succeed(ctx, g.owners[i]) })
	}
	return r.Wait()
}

// Spend takes the cost from what this host holds for the team and reports whether it sufficed.
func (g *Grant) Spend(team string, cost int64) bool {
	return g.wallet(team).spend(g.Timer, cost)
}

// Take spends the cost, waiting up to the given time for the owner; the error is a not-run refusal.
func (g *Grant) Take(ctx context.Context, team string, cost int64, wait time.Duration) error {
	w := g.wallet(team)
	p, err := w.enter(g.Timer.Now(), cost, wait)
	for errors.Is(err, errDropped) {
		w = g.wallet(team)
		p, err = w.enter(g.Timer.Now(), cost, wait)
	}
	if err != nil {
		return err
	}
	g.kick(w.group)
	stop := g.Timer.After(wait, func(now time.Time) { w.expire(now, p) })
	defer stop()
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		w.expire(g.Timer.Now(), p)
		return <-p.done
	}
}

// HandBack returns what this host holds to the owners; a host that stops calls it once nothing is admitted.
func (g *Grant) HandBack(ctx context.Context) {
	g.init()
	for i := range g.kicks {
		for _, w := range g.active(uint64(i) + 1) {
			w.drain()
		}
		g.ask(ctx, uint64(i)+1)
	}
}

func (g *Grant) init() {
	g.once.Do(func() {
		if g.Boot == 0 {
			g.Boot = uint64(g.Timer.Now().UnixNano())
		}
		if g.Metrics == nil {
			g.Metrics = metrics.NewRegistry()
		}
		g.started = g.Timer.Now()
		g.wallets = map[string]*wallet{}
		for i := range max(g.Groups, 1) {
			g.owners = append(g.owners, newOwner(uint64(i)+1, g.hosts(), g.Name))
			g.terms = append(g.terms, 0)
			g.members = append(g.members, map[*wallet]struct{}{})
			g.kicks = append(g.kicks, make(chan struct{}, 1))
		}
	})
}

// limits returns the rate and burst by which a team's bucket grants.
//
// All that teams may pass their limits by goes into the burst, from which hosts hold stocks that outlast
// the change of an owner, but for a part that covers the time between admission and upstream.
func (g *Grant) limits(t team.Team) (units, burst int64) {
	over := g.Overrun*(float64(t.Rate)*g.Window.Seconds()+float64(t.Burst)) + float64(g.Slack)
	return t.Rate, t.Burst + int64(overrunUsed*over)
}

// hosts returns the names of all hosts, this one among them.
func (g *Grant) hosts() []string {
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

// kick wakes the goroutine that asks the owner of a group.
func (g *Grant) kick(group uint64) {
	select {
	case g.kicks[group-1] <- struct{}{}:
	default:
	}
}

// tick wakes the groups in which this host may hold or grant something, and all of them now and then.
func (g *Grant) tick() {
	g.ticks++
	for i := range g.kicks {
		if g.ticks%restTicks == 0 || g.holds(i) {
			g.kick(uint64(i) + 1)
		}
	}
}

// holds reports whether this host has wallets of a group.
func (g *Grant) holds(i int) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return len(g.members[i]) > 0
}

func (g *Grant) serve(ctx context.Context, i int) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.kicks[i]:
		}
		g.own(uint64(i) + 1)
		g.ask(ctx, uint64(i)+1)
	}
}

func (g *Grant) wallet(team string) *wallet {
	g.mu.RLock()
	w := g.wallets[team]
	g.mu.RUnlock()
	if w != nil {
		return w
	}
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	if w := g.wallets[team]; w != nil {
		return w
	}
	o := Owner(team, g.Groups)
	w = newWallet(allowance.Allowance{Team: team, Host: g.Name, Boot: g.Boot, Sequence: g.sequence}, o)
	w.allowance.Fence(g.Timer.Now(), g.terms[o-1])
	g.wallets[team] = w
	g.members[o-1][w] = struct{}{}
	return w
}

// forget drops the wallet of a team that has nothing, unless it came into use again.
func (g *Grant) forget(w *wallet) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n, ok := w.drop(g.Timer.Now()); ok {
		g.sequence = max(g.sequence, n)
		delete(g.wallets, w.team)
		delete(g.members[w.group-1], w)
	}
}
