package connector

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/base/group"
	"siskinrun/internal/data/pathanswer"
	"siskinrun/internal/wire/tunnelmessage"
	"siskinrun/pkg/refusal"
)

const (
	methodAsk = "reachability/ask"
	// askedHosts is the number of hosts that are asked at once, twice as many each time that none of them helps, and maxRounds
	// is how often.
	askedHosts = 6
	maxRounds  = 5
	// enoughWitnesses is the number of hosts that have links and do not reach an upstream either, after which no more are asked.
	enoughWitnesses = 2
	// askTimeout bounds the wait for answers.
	askTimeout = 200 * time.Millisecond
	// proofTimeout bounds the wait of a host that is asked for the connections that it tries first.
	proofTimeout = 80 * time.Millisecond
	// maxProbes bounds the connections that are tried at once.
	maxProbes = 16
	// firstProbes is the number of other upstreams that are tried when the first one is lost, and to see whether there are links.
	firstProbes = 2
	// proofAge is the age from which on a connection does not show that its upstream is still reached.
	proofAge = 300 * time.Millisecond
)

// Run tries lost paths and asks other hosts about them until ctx ends.
func (c *Connector) Run(ctx context.Context) error {
	cancel := c.Timer.Every(checkInterval, func(time.Time) { c.check() })
	defer cancel()
	for {
		select {
		case <-c.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		c.runCheck(ctx)
		if err := c.Timer.Sleep(ctx, checkSpacing); err != nil {
			return err
		}
	}
}

// check makes the next check begin at once.
func (c *Connector) check() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// question is a connection that waits for a gateway.
type question struct {
	upstream string
	// answered is closed once a gateway is known or all that are asked have answered.
	answered chan struct{}
}

// await waits until a gateway to an upstream is known or other hosts have been asked.
func (c *Connector) await(ctx context.Context, name string) {
	q := question{name, make(chan struct{})}
	c.mu.Lock()
	c.waiting = append(c.waiting, q)
	c.mu.Unlock()
	c.check()
	select {
	case <-q.answered:
	case <-ctx.Done():
	}
}

// answer ends the waiting for upstreams to which a gateway is known, or for all, and returns what still waits.
func (c *Connector) answer(l []question, all bool) []question {
	n := c.Timer.Now()
	return slices.DeleteFunc(l, func(q question) bool {
		if !all && len(c.Table.Gateways(q.upstream, n)) == 0 {
			return false
		}
		close(q.answered)
		return true
	})
}

// runCheck asks other hosts about lost paths, tries these, and tells what has changed.
func (c *Connector) runCheck(ctx context.Context) {
	c.mu.Lock()
	waiting := c.waiting
	c.waiting = nil
	c.mu.Unlock()
	n := c.Timer.Now()
	lost := c.Table.Lost()
	if n.Sub(c.probedAt) >= checkInterval {
		c.probedAt = n
		c.probe(lost)
	}
	c.probe(c.Table.Doubted(n))
	var mu sync.Mutex
	c.ask(ctx, func() {
		mu.Lock()
		defer mu.Unlock()
		waiting = c.answer(waiting, false)
	})
	c.answer(waiting, true)
	if c.Table.Fresh(c.Timer.Now()) {
		c.probeOthers(lost)
	}
	c.restore()
	c.interrupt(lost)
	c.logChanges(lost)
}

// probe tries a connection to some upstreams, without waiting for it.
func (c *Connector) probe(names []string) {
	for _, i := range rand.Perm(len(names))[:min(len(names), maxProbes)] {
		c.probeOne(names[i])
	}
}

// probeOne tries a connection to an upstream unless one is being tried.
func (c *Connector) probeOne(name string) {
	u, ok := c.Upstream(name)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok || c.probing[name] {
		return
	}
	c.probing[name] = true
	c.Group.Go("probe", func(ctx context.Context) error {
		if k, err := c.Dial(ctx, u); err == nil {
			_ = k.Close()
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.probing, name)
		return nil
	})
}

// probeOthers tries upstreams that are not held for lost while the loss of others is fresh: a few, or many if more than one
// is lost or other hosts reach what this one does not.
func (c *Connector) probeOthers(lost []string) {
	n := firstProbes
	if len(lost) > 1 || len(c.Table.Serving()) > 0 {
		n = maxProbes
	}
	for _, name := range c.Table.Unproven(c.Timer.Now().Add(-proofAge), n) {
		c.probeOne(name)
	}
}

// ask asks other hosts about the paths that are lost or in doubt, and calls useful after each answer that helps.
func (c *Connector) ask(ctx context.Context, useful func()) {
	names := c.Table.Questions(c.Timer.Now())
	if len(names) == 0 {
		return
	}
	open := slices.ContainsFunc(names, func(n string) bool { return len(c.Table.Gateways(n, c.Timer.Now())) == 0 })
	b, err := proto.Marshal(&tunnelmessage.Query{Upstreams: names, Prove: open})
	if err != nil {
		return // cannot happen: the names come from valid announcements
	}
	c.Table.SetHosts(c.Hosts())
	var asked []string
	witnesses := 0
	for i := range maxRounds {
		hosts := c.Table.Candidates(askedHosts<<i, c.takeReferred(), asked, c.Timer.Now())
		witnesses += c.askHosts(ctx, hosts, names, b, useful)
		asked = append(asked, hosts...)
		if len(hosts) == 0 || witnesses >= enoughWitnesses || !c.Table.Unanswered(names, c.Timer.Now()) {
			break
		}
	}
	c.Table.Asked(names, c.Timer.Now())
}

// takeReferred returns the hosts that others have named as gateways since the last call.
func (c *Connector) takeReferred() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.referred
	c.referred = nil
	return l
}

// askHosts asks some hosts at once and returns how many of them have links.
func (c *Connector) askHosts(ctx context.Context, hosts, names []string, query []byte, useful func()) (linked int) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	g := group.NewGroup(ctx)
	var n atomic.Int64
	for _, h := range hosts {
		g.Go("ask", func(ctx context.Context) error {
			a, ok := c.askHost(ctx, h, names, query)
			if ok && a.Linked {
				n.Add(1)
			}
			if len(a.Reached) > 0 {
				useful()
			}
			return nil
		})
	}
	_ = g.Wait() // the questions return no error
	return int(n.Load())
}

// askHost asks one host and returns its answer, if it gives one.
func (c *Connector) askHost(ctx context.Context, h string, names []string, query []byte) (pathanswer.Answer, bool) {
	b, err := c.Link.Call(ctx, h, methodAsk, query)
	m := &tunnelmessage.Result{}
	if err != nil || proto.Unmarshal(b, m) != nil {
		c.Table.Avoid(h, c.Timer.Now())
		return pathanswer.Answer{}, false
	}
	a := pathanswer.Answer{Asked: names, Lost: m.Lost, Linked: m.Linked, Busy: int(m.Busy), Full: m.Full}
	for _, i := range m.Reached {
		if int(i) < len(names) {
			a.Reached = append(a.Reached, names[i])
		}
	}
	c.Table.Answered(h, a, c.Timer.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.referred = append(c.referred, m.Gateways...)
	return a, true
}

// handleAsk tells another host which upstreams this one reaches, after it has tried those of which it does not know.
func (c *Connector) handleAsk(ctx context.Context, _ string, body []byte) ([]byte, error) {
	q := &tunnelmessage.Query{}
	if err := proto.Unmarshal(body, q); err != nil {
		return nil, refusal.NewNotRun(400, "malformed-query", err.Error())
	}
	if q.Prove {
		c.prove(ctx, q.Upstreams)
	} else if !c.Table.Linked(c.Timer.Now()) {
		c.prove(ctx, q.Upstreams[:min(len(q.Upstreams), firstProbes)])
	}
	m := &tunnelmessage.Result{
		Busy:     uint32(c.Busy()),
		Full:     c.Tunnels.Full(),
		Gateways: c.Table.Serving(),
		Lost:     c.Table.Lost(),
		Linked:   c.Table.Linked(c.Timer.Now()),
	}
	n := c.Timer.Now()
	for i, name := range q.Upstreams {
		reached, known := c.Table.Evidence(name, n)
		if reached || !known && !q.Prove && m.Linked && !c.Table.Denied(name) {
			m.Reached = append(m.Reached, uint32(i))
		}
	}
	return proto.Marshal(m)
}

// prove tries connections to upstreams of which it is not known whether this host reaches them, and waits for a short time. If
// it is not known whether this host has any links, it tries some other upstreams as well.
func (c *Connector) prove(ctx context.Context, names []string) {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	if n := c.Timer.Now(); !c.Table.Linked(n) {
		names = append(slices.Clone(names), c.Table.Unproven(n, firstProbes)...)
	}
	tried := 0
	ended := make(chan struct{}, maxProbes)
	for _, name := range names {
		u, ok := c.Upstream(name)
		if _, known := c.Table.Evidence(name, c.Timer.Now()); known || !ok || tried == maxProbes {
			continue
		}
		tried++
		c.Group.Go("prove", func(ctx context.Context) error {
			if k, err := c.DialForPeer(ctx, u); err == nil {
				_ = k.Close()
			}
			ended <- struct{}{}
			return nil
		})
	}
	for range tried {
		select {
		case <-ended:
		case <-ctx.Done():
			return
		}
	}
}

// restore tells the picker which upstreams are reached again, by this host or through a gateway.
func (c *Connector) restore() {
	n := c.Timer.Now()
	for _, u := range c.Picker.Unreachable() {
		if c.Table.Direct(u.Name) || len(c.Table.Gateways(u.Name, n)) > 0 {
			c.Picker.MarkReachable(u.Name)
		}
	}
}

// interrupt ends the silent connections to upstreams whose path is lost and that other hosts reach.
func (c *Connector) interrupt(lost []string) {
	n := c.Timer.Now()
	for _, name := range lost {
		if u, ok := c.Upstream(name); ok && len(c.Table.Gateways(name, n)) > 0 {
			c.Connections.Interrupt(u.Address)
		}
	}
}

// logChanges logs the services that this host has lost or regained, and counts the lost paths.
func (c *Connector) logChanges(lost []string) {
	metrics.GetOrRegisterGauge("lost", c.Metrics).Update(int64(len(lost)))
	gone, regained := c.Table.CutOff(c.Timer.Now())
	for _, s := range gone {
		c.Log.Warn().Str("service", s).Int("lost-paths", len(lost)).Strs("gateways", c.Table.Serving()).
			Msg("links to a service lost, other hosts reach it")
	}
	for _, s := range regained {
		c.Log.Info().Str("service", s).Int("lost-paths", len(lost)).Msg("links to a service regained")
	}
}
