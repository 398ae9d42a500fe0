package connector

import (
	"context"
	"slices"

	"google.golang.org/protobuf/proto"

	"siskinrun/internal/routing/inquiry"
	"siskinrun/internal/wire/tunnelmessage"
	"siskinrun/pkg/refusal"
)

const (
	// methodAgain asks a host to connect to upstreams, whatever it knows of them.
	methodAgain = "reachability/again"
	// codeUnknownMethod is the code with which a host refuses a method that its software does not have.
	codeUnknownMethod = "unknown-method"
)

// askAgain asks other hosts to connect to the upstreams to which connections of this one or of its gateways broke.
func (c *Connector) askAgain(context.Context) error {
	c.mu.Lock()
	unsure := c.unsure
	c.unsure = nil
	c.mu.Unlock()
	c.Table.SetHosts(c.Hosts())
	by := map[string][]*look{}
	for _, l := range unsure {
		by[l.gateway] = append(by[l.gateway], l)
	}
	for gateway, l := range by {
		for part := range slices.Chunk(l, maxProbes) {
			c.askAgainOf(part, gateway)
		}
	}
	return nil
}

// askAgainOf asks some hosts about some upstreams at once, and the gateway whose connections broke.
func (c *Connector) askAgainOf(looks []*look, gateway string) {
	q := &tunnelmessage.Query{}
	for _, l := range looks {
		q.Upstreams = append(q.Upstreams, l.upstream.Name)
	}
	b, _ := proto.Marshal(q) // cannot fail: the names come from valid announcements
	hosts := c.Table.Candidates(askedHosts, nil, []string{gateway}, c.Timer.Now())
	for _, l := range looks {
		l.note(func(i *inquiry.Inquiry) { i.Asked(len(hosts)) })
	}
	for _, h := range hosts {
		c.askHostAgain(h, b, looks, func(i *inquiry.Inquiry, reached, _ bool) { i.Answered(reached) })
	}
	if gateway != "" {
		c.askHostAgain(gateway, b, looks, noteGateway)
	}
}

// noteGateway records what the gateway whose connection broke says. One that says nothing is not to blame.
func noteGateway(i *inquiry.Inquiry, reached, answered bool) {
	switch {
	case !answered:
		i.Expired()
	case reached:
		i.Connected()
	default:
		i.Failed()
	}
}

// askHostAgain asks a host about some upstreams, and notes for each whether it has connected and whether it has answered at all.
func (c *Connector) askHostAgain(host string, query []byte, looks []*look, note func(i *inquiry.Inquiry, reached, answered bool)) {
	c.Group.Go("ask-again", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		b, err := c.Link.Call(ctx, host, methodAgain, query)
		m := &tunnelmessage.Result{}
		answered := err == nil && proto.Unmarshal(b, m) == nil
		if !answered && refusal.Of(err).Code != codeUnknownMethod {
			c.Table.Avoid(host, c.Timer.Now())
		}
		for n, l := range looks {
			reached := slices.Contains(m.Reached, uint32(n))
			l.note(func(i *inquiry.Inquiry) { note(i, reached, answered) })
		}
		return nil
	})
}

// handleAgain connects to upstreams for another host and tells which connections came about in a short time.
func (c *Connector) handleAgain(ctx context.Context, _ string, body []byte) ([]byte, error) {
	q := &tunnelmessage.Query{}
	if err := proto.Unmarshal(body, q); err != nil {
		return nil, refusal.NewNotRun(400, "malformed-query", err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	names := q.Upstreams[:min(len(q.Upstreams), maxProbes)]
	reached := make(chan uint32, len(names))
	failed := make(chan struct{}, len(names))
	for i, name := range names {
		c.Group.Go("connect-again", func(ctx context.Context) error {
			if c.connectsForPeer(ctx, name) {
				reached <- uint32(i)
			} else {
				failed <- struct{}{}
			}
			return nil
		})
	}
	m := &tunnelmessage.Result{}
	for range names {
		select {
		case i := <-reached:
			m.Reached = append(m.Reached, i)
		case <-failed:
		case <-ctx.Done():
			return proto.Marshal(m)
		}
	}
	return proto.Marshal(m)
}

// connectsForPeer reports whether a connection to an upstream comes about.
func (c *Connector) connectsForPeer(ctx context.Context, name string) bool {
	u, ok := c.Upstream(name)
	if !ok {
		return false
	}
	k, err := c.DialForPeer(ctx, u)
	if err != nil {
		return false
	}
	_ = k.Close()
	return true
}
