package promptguard

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/rpc"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/crashevidence"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/fleet/fanout"
	"siskinrun/internal/fleet/rendezvous"
	"siskinrun/internal/routing/quarantine"
	"siskinrun/internal/routing/trials"
)

const (
	// callTimeout bounds a message to another host.
	callTimeout = 500 * time.Millisecond

	methodTell    = "crashes/tell"
	methodCompare = "crashes/compare"
	methodTry     = "crashes/try"
)

// transport calls other hosts.
type transport interface {
	Handle(method string, h rpc.Handler)
	Call(ctx context.Context, to, method string, body []byte) ([]byte, error)
}

// Guard tells which calls no upstream may get; it is safe for concurrent use.
type Guard struct {
	// Link carries the messages between hosts.
	Link transport
	// Topology returns to which hosts news goes.
	Topology func() fanout.Topology
	// Timer is the clock.
	Timer *timer.Service
	// Log receives a line for each change of the quarantine.
	Log zerolog.Logger
	// Metrics counts lost calls, trials and quarantined traits.
	Metrics metrics.Registry

	mu         sync.Mutex
	quarantine *quarantine.Quarantine
	// trials are those that this host grants to others, local those of its own calls.
	trials *trials.Trials
	local  *trials.Trials
	number uint64
	// news is what other hosts are to be told soon, if telling is set; its ages are as of gathered.
	news       crashevidence.Evidence
	telling    bool
	gathered   time.Time
	broadcasts int
	group      *group.Group
	// name is the name of this host, ranked the ranking of all hosts, as of rankedAt.
	name     string
	ranked   *rendezvous.Ranking
	rankedAt time.Time
	// reported are the quarantined traits that the log names, seen are calls under which upstreams were lost here.
	reported map[crashevidence.Trait]bool
	seen     map[crashevidence.Trait]sighting
	// evidence says that any loss is not explained, and active that any trait is quarantined, for readers without the lock.
	evidence atomic.Bool
	active   atomic.Bool
	freshness
}

// Register registers the handlers of peers' messages and must be called before the link runs.
func (g *Guard) Register() {
	g.quarantine = quarantine.NewQuarantine()
	g.trials = trials.NewTrials()
	g.local = trials.NewTrials()
	g.reported = map[crashevidence.Trait]bool{}
	g.seen = map[crashevidence.Trait]sighting{}
	g.Link.Handle(methodTell, g.handleTell)
	g.Link.Handle(methodCompare, g.handleCompare)
	g.Link.Handle(methodTry, g.handleTrial)
}

// Run compares evidence with other hosts until ctx ends.
func (g *Guard) Run(ctx context.Context) error {
	w := group.NewGroup(ctx)
	g.mu.Lock()
	g.group = w
	g.mu.Unlock()
	w.Go("compare-crashes", func(ctx context.Context) error {
		for {
			g.compareAll(ctx)
			if err := g.Timer.Sleep(ctx, g.pause()); err != nil {
				return err
			}
		}
	})
	return w.Wait()
}

// Blocks reports whether a call must not reach an upstream.
func (g *Guard) Blocks(c *call.Call) bool {
	if !g.active.Load() {
		return false
	}
	t := c.Traits()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.Blocks(g.Timer.Now(), t)
}

// Began records that an upstream began to answer a call.
func (g *Guard) Began(c *call.Call) {
	g.answered(c.Traits())
}

func (g *Guard) answered(traits []crashevidence.Trait) {
	if len(traits) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	cleared := g.quarantine.Began(g.Timer.Now(), traits)
	if len(cleared) == 0 {
		return
	}
	g.publish()
	e := crashevidence.Evidence{}
	for _, t := range cleared {
		e.Good = append(e.Good, crashevidence.Good{Trait: t})
	}
	g.broadcast(e)
}

// Lost records that an upstream was lost before it began to answer a call that was sent at a time; answering means that the
// headers of the answer had come.
func (g *Guard) Lost(u upstream.Upstream, c *call.Call, sent time.Time, answering bool) {
	t := c.Traits()
	if len(t) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count("lost-unanswered", 1)
	l, ok := g.quarantine.Lost(g.Timer.Now(), sent, incarnation(u), t, answering)
	if !ok {
		return
	}
	g.remember(c, l.Traits)
	g.publish()
	g.broadcast(crashevidence.Evidence{Losses: []crashevidence.Loss{l}})
}

// incarnation identifies one incarnation of an upstream.
func incarnation(u upstream.Upstream) uint64 {
	return xxhash.Sum64String(u.Name + "\x00" + strconv.FormatUint(u.Incarnation, 10))
}

func (g *Guard) count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, g.Metrics).Inc(n)
}
