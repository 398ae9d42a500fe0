package promptguard

import (
	"bytes"
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/rpc"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/crashevidence"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/fleet/fanout"
	"siskinrun/internal/routing/crashmessage"
	"siskinrun/internal/routing/quarantine"
	"siskinrun/pkg/refusal"
)

const (
	// compareInterval is the time between two comparisons with other hosts, which reach a host that missed the news.
	compareInterval = time.Second
	// firstCompareInterval is the same time on a host that has just started and knows nothing.
	firstCompareInterval = 100 * time.Millisecond
	// comparedHosts is the number of hosts of one comparison.
	comparedHosts = 2
	// callTimeout bounds a message to another host.
	callTimeout = 500 * time.Millisecond
	// maxBroadcasts is the number of losses and cleared parts that a host may tell in one compareInterval; comparisons
	// carry the rest.
	maxBroadcasts = 8

	methodTell    = "crashes/tell"
	methodCompare = "crashes/compare"
)

// transport calls other hosts.
type transport interface {
	Handle(method string, h rpc.Handler)
	Call(ctx context.Context, to, method string, body []byte) ([]byte, error)
}

// Guard tells which prompts no upstream may get; it is safe for concurrent use.
type Guard struct {
	// Link carries the messages between hosts.
	Link transport
	// Topology returns to which hosts news goes.
	Topology func() fanout.Topology
	// Timer is the clock.
	Timer *timer.Service
	// Log receives a line for each change of the quarantine.
	Log zerolog.Logger
	// Metrics counts lost calls and quarantined parts.
	Metrics metrics.Registry

	mu         sync.Mutex
	quarantine *quarantine.Quarantine
	broadcasts int
	logged     int
	// active says that any part is quarantined, for readers without the lock.
	active atomic.Bool
	// compared says that another host has answered a comparison.
	compared atomic.Bool
	group    *group.Group
}

// Register registers the handlers of peers' messages and must be called before the link runs.
func (g *Guard) Register() {
	g.quarantine = quarantine.NewQuarantine()
	g.Link.Handle(methodTell, g.handleTell)
	g.Link.Handle(methodCompare, g.handleCompare)
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

// pause returns the time until the next comparison, which is short until another host has answered one.
func (g *Guard) pause() time.Duration {
	if !g.compared.Load() {
		return firstCompareInterval
	}
	return compareInterval
}

// Blocks reports whether a prompt with these parts must not reach an upstream.
func (g *Guard) Blocks(parts []uint64) bool {
	if len(parts) == 0 || !g.active.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.Blocks(g.Timer.Now(), parts)
}

// Began records that an upstream began to answer on a prompt with these parts.
func (g *Guard) Began(parts []uint64) {
	if len(parts) == 0 {
		return
	}
	g.mu.Lock()
	cleared := g.quarantine.Began(g.Timer.Now(), parts)
	g.publish()
	g.mu.Unlock()
	e := crashevidence.Evidence{}
	for _, p := range cleared {
		e.Good = append(e.Good, crashevidence.Good{Part: p})
	}
	if len(cleared) > 0 {
		g.broadcast(e)
	}
}

// Lost records that an upstream was lost before it began to answer on a prompt with these parts; answering means that the
// headers of the answer had come.
func (g *Guard) Lost(u upstream.Upstream, parts []uint64, answering bool) {
	if len(parts) == 0 {
		return
	}
	g.mu.Lock()
	l, ok := g.quarantine.Lost(g.Timer.Now(), incarnation(u), parts, answering)
	g.publish()
	g.mu.Unlock()
	g.count("lost-unanswered", 1)
	if ok {
		g.broadcast(crashevidence.Evidence{Losses: []crashevidence.Loss{l}})
	}
}

// incarnation identifies one incarnation of an upstream.
func incarnation(u upstream.Upstream) uint64 {
	return xxhash.Sum64String(u.Name + "\x00" + strconv.FormatUint(u.Incarnation, 10))
}

// broadcast tells other hosts, unless this host has told too much of late.
func (g *Guard) broadcast(e crashevidence.Evidence) {
	b, err := encode(e)
	g.mu.Lock()
	g.broadcasts++
	late := g.broadcasts > maxBroadcasts
	g.mu.Unlock()
	if err == nil && !late {
		g.tell(b, g.Topology().Tell())
	}
}

// tell sends evidence to hosts and learns what they know better.
func (g *Guard) tell(evidence []byte, hosts []string) {
	g.mu.Lock()
	w := g.group
	g.mu.Unlock()
	if w == nil {
		return // this host has not started
	}
	for _, h := range hosts {
		w.Go("tell-crash", func(ctx context.Context) error {
			g.correct(g.ask(ctx, h, methodTell, evidence))
			return nil
		})
	}
}

// compareAll compares the losses with those of a few random hosts.
func (g *Guard) compareAll(ctx context.Context) {
	g.mu.Lock()
	g.broadcasts = 0
	f := g.quarantine.Fingerprint()
	g.mu.Unlock()
	b, err := proto.Marshal(&crashmessage.Query{Fingerprint: f})
	if err != nil {
		return
	}
	t := g.Topology()
	if !t.TakesPart() {
		return
	}
	l := t.Compare()
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	for _, h := range l[:min(len(l), comparedHosts)] {
		g.group.Go("compare", func(ctx context.Context) error {
			g.ask(ctx, h, methodCompare, b)
			return nil
		})
	}
}

// ask sends a message to a host, merges the answer and returns the parts that it clears.
func (g *Guard) ask(ctx context.Context, to, method string, body []byte) []crashevidence.Good {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b, err := g.Link.Call(ctx, to, method, body)
	if err != nil {
		return nil
	}
	g.compared.Store(g.compared.Load() || method == methodCompare)
	e, err := decode(b)
	if err != nil || len(e.Losses)+len(e.Good) == 0 {
		return nil
	}
	g.mu.Lock()
	cleared := g.quarantine.Learn(g.Timer.Now(), e.Good)
	g.mu.Unlock()
	g.merge(e)
	return cleared
}

// correct tells other hosts of parts that this host had blamed and that another one knows to be good.
func (g *Guard) correct(cleared []crashevidence.Good) {
	if len(cleared) > 0 {
		g.broadcast(crashevidence.Evidence{Good: cleared})
	}
}

// merge records what another host told and returns the parts that this host knows to be good.
func (g *Guard) merge(e crashevidence.Evidence) []crashevidence.Good {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.quarantine.Merge(g.Timer.Now(), e)
	g.publish()
	return l
}

func (g *Guard) handleTell(_ context.Context, from string, body []byte) ([]byte, error) {
	e, err := decode(body)
	if err != nil {
		return nil, refusal.NewNotRun(400, "malformed-evidence", err.Error())
	}
	g.tell(bytes.Clone(body), g.Topology().PassOn(from))
	return encode(crashevidence.Evidence{Good: g.merge(e)})
}

func (g *Guard) handleCompare(_ context.Context, _ string, body []byte) ([]byte, error) {
	q := &crashmessage.Query{}
	if err := proto.Unmarshal(body, q); err != nil {
		return nil, refusal.NewNotRun(400, "malformed-query", err.Error())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.quarantine.Fingerprint() == q.Fingerprint {
		return nil, nil
	}
	n := g.Timer.Now()
	l := g.quarantine.Losses(n)
	return encode(crashevidence.Evidence{Losses: l, Good: g.quarantine.KnownGood(n, l)})
}

// publish shows the state of the quarantine to readers without the lock and to operators.
func (g *Guard) publish() {
	n := g.quarantine.Size()
	g.active.Store(n > 0)
	if n == g.logged {
		return
	}
	g.logged = n
	g.Log.Warn().Int("parts", n).Msg("prompts in quarantine")
	metrics.GetOrRegisterGauge("quarantined", g.Metrics).Update(int64(n))
}

func (g *Guard) count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, g.Metrics).Inc(n)
}
