package connector

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"siskinrun/internal/wire/tunnelmessage"
	"siskinrun/pkg/refusal"
)

const (
	methodAsk      = "reachability/ask"
	methodRegained = "reachability/regained"
	// askerTTL is how long a host that has asked is told when this one has links again.
	askerTTL = 5 * time.Second
	// proofTimeout bounds the wait of a host that is asked for the connections that it tries first.
	proofTimeout = 80 * time.Millisecond
)

// handleAsk tells another host which upstreams this one reaches, after it has tried those of which it does not know.
func (c *Connector) handleAsk(ctx context.Context, from string, body []byte) ([]byte, error) {
	q := &tunnelmessage.Query{}
	if err := proto.Unmarshal(body, q); err != nil {
		return nil, refusal.NewNotRun(400, "malformed-query", err.Error())
	}
	c.noteAsker(from)
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
		reached, known := c.Table.Proof(name, n)
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
		names = slices.Concat(names, c.Table.Unproven(n, firstProbes))
	}
	names = slices.Clone(names)
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	tried := 0
	ended := make(chan struct{}, maxProbes)
	for _, name := range names {
		u, ok := c.Upstream(name)
		if _, known := c.Table.Proof(name, c.Timer.Now()); known || !ok || tried == maxProbes {
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

// noteAsker remembers that a host has asked, and forgets those that have not for long.
func (c *Connector) noteAsker(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.Timer.Now()
	c.askers[name] = n
	maps.DeleteFunc(c.askers, func(_ string, at time.Time) bool { return n.Sub(at) > askerTTL })
}

// tellAskers tells the hosts that have asked that this one has links again.
func (c *Connector) tellAskers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for h, at := range c.askers {
		if c.Timer.Now().Sub(at) > askerTTL {
			continue
		}
		c.Group.Go("tell", func(ctx context.Context) error {
			c.Link.Send(ctx, h, methodRegained, nil)
			return nil
		})
	}
}

// handleRegained makes this host ask another one that has links again.
func (c *Connector) handleRegained(_ context.Context, from string, _ []byte) ([]byte, error) {
	c.Table.Regained(from, c.Timer.Now())
	c.mu.Lock()
	c.referred = append(c.referred, from)
	c.mu.Unlock()
	c.wake.Set()
	return nil, nil
}
