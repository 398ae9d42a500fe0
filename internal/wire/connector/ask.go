package connector

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"siskinrun/internal/base/group"
	"siskinrun/internal/data/pathanswer"
	"siskinrun/internal/wire/tunnelmessage"
)

const (
	// askedHosts is the number of hosts that are asked at once, twice as many each time that none of them helps, and maxRounds
	// is how often.
	askedHosts = 6
	maxRounds  = 5
	// enoughWitnesses is the number of hosts that have links and do not reach an upstream either, after which no more are asked.
	enoughWitnesses = 2
	// askTimeout bounds the wait for answers.
	askTimeout = 200 * time.Millisecond
)

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
	c.wake.Set()
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

// ask asks other hosts about the paths that are lost or in doubt, and calls useful after each answer that helps.
func (c *Connector) ask(ctx context.Context, useful func()) {
	names := c.Table.Questions(c.Timer.Now())
	if len(names) == 0 {
		return
	}
	q := &tunnelmessage.Query{Upstreams: names}
	q.Prove = slices.ContainsFunc(names, func(n string) bool { return !c.Table.Alone(n) })
	b, err := proto.Marshal(q)
	if err != nil {
		return // cannot happen: the names come from valid announcements
	}
	c.Table.SetHosts(c.Hosts())
	var asked []string
	witnesses := 0
	rounds := 1
	if c.Table.Search(c.Timer.Now()) {
		rounds = maxRounds
	}
	for i := range rounds {
		hosts := c.Table.Candidates(askedHosts<<i, c.takeReferred(), asked, c.Timer.Now())
		witnesses += c.askHosts(ctx, hosts, q, b, useful)
		asked = append(asked, hosts...)
		if len(hosts) == 0 || witnesses >= enoughWitnesses || !c.Table.Unanswered(names, c.Timer.Now()) {
			break
		}
	}
	if d, ok := c.Table.Asked(names, c.Timer.Now()); ok {
		c.Timer.After(d, func(time.Time) { c.wake.Set() })
	}
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
func (c *Connector) askHosts(ctx context.Context, hosts []string, q *tunnelmessage.Query, query []byte, useful func()) (linked int) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	g := group.NewGroup(ctx)
	var n atomic.Int64
	for _, h := range hosts {
		g.Go("ask", func(ctx context.Context) error {
			a, ok := c.askHost(ctx, h, q, query)
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
func (c *Connector) askHost(ctx context.Context, h string, q *tunnelmessage.Query, query []byte) (pathanswer.Answer, bool) {
	b, err := c.Link.Call(ctx, h, methodAsk, query)
	m := &tunnelmessage.Result{}
	if err != nil || proto.Unmarshal(b, m) != nil {
		c.Table.Avoid(h, c.Timer.Now())
		return pathanswer.Answer{}, false
	}
	a := pathanswer.Answer{Asked: q.Upstreams, Proof: q.Prove, Lost: m.Lost, Linked: m.Linked, Busy: int(m.Busy), Full: m.Full}
	for _, i := range m.Reached {
		if int(i) < len(q.Upstreams) {
			a.Reached = append(a.Reached, q.Upstreams[i])
		}
	}
	c.Table.Answered(h, a, c.Timer.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.referred = append(c.referred, m.Gateways...)
	return a, true
}
