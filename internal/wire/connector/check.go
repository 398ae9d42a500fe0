package connector

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// maxProbes bounds the connections that are tried at once.
	maxProbes = 16
	// firstProbes is the number of other upstreams that are tried when the first one is lost, and to see whether there are links.
	firstProbes = 2
	// proofAge is the age from which on a connection does not show that its upstream is still reached.
	proofAge = 300 * time.Millisecond
)

// Run tries lost paths and asks other hosts about them until ctx ends.
func (c *Connector) Run(ctx context.Context) error {
	cancel := c.Timer.Every(checkInterval, func(time.Time) {
		c.due.Store(true)
		c.wake.Set()
	})
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

// runCheck asks other hosts about lost paths, tries these, and tells what has changed.
func (c *Connector) runCheck(ctx context.Context) {
	c.mu.Lock()
	waiting := c.waiting
	c.waiting = nil
	c.mu.Unlock()
	n := c.Timer.Now()
	lost := c.Table.Lost()
	if c.due.Swap(false) {
		c.probe(lost, maxProbes)
	}
	doubted := c.Table.Doubted(n)
	c.probe(doubted, maxProbes)
	var mu sync.Mutex
	c.ask(ctx, func() {
		mu.Lock()
		defer mu.Unlock()
		waiting = c.answer(waiting, false)
	})
	c.answer(waiting, true)
	c.probe(c.Table.Uncertain(), maxProbes)
	if len(lost)+len(doubted) > 0 && c.Table.Fresh(c.Timer.Now()) {
		c.probeOthers(lost)
	}
	c.restore()
	c.interrupt(lost)
	c.logChanges(lost)
}

// probe tries a connection to up to n of some upstreams, without waiting for it.
func (c *Connector) probe(names []string, n int) {
	for _, i := range rand.Perm(len(names))[:min(len(names), n)] {
		c.probeOne(names[i])
	}
}

// probeOne tries a connection to an upstream unless one is being tried. If a lost one is reached again, others likely are.
func (c *Connector) probeOne(name string) {
	u, ok := c.Upstream(name)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok || c.probing[name] {
		return
	}
	c.probing[name] = true
	c.Group.Go("probe", func(ctx context.Context) error {
		lost := !c.Table.Direct(name)
		k, err := c.Dial(ctx, u)
		c.mu.Lock()
		delete(c.probing, name)
		c.mu.Unlock()
		if err != nil {
			return nil
		}
		_ = k.Close() // an error here would end the host
		if lost {
			c.probe(c.Table.Lost(), 1)
		}
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
	for _, name := range lost {
		if !c.Table.Alone(name) {
			continue
		}
		if u, ok := c.Upstream(name); ok {
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
