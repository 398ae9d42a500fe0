package connector

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/inquiry"
)

const (
	// lookTime bounds the search for the side on which connections broke.
	lookTime = 300 * time.Millisecond
	// joinTime is how long after its begin a look also serves connections that break later.
	joinTime = 5 * time.Millisecond
	// gatherTime is how long questions about broken connections are gathered.
	gatherTime = 2 * time.Millisecond
)

// lookKey names the connections that a look is about.
type lookKey struct {
	upstream, gateway string
}

// look finds out on which side connections to an upstream broke. The lock of the connector guards the inquiry.
type look struct {
	connector *Connector
	upstream  upstream.Upstream
	// gateway is the host whose connection broke, empty for this one.
	gateway string
	began   time.Time
	inquiry inquiry.Inquiry
	asked   bool
	// ended is closed once the inquiry is decided.
	ended  chan struct{}
	closed bool
}

// PathLost reports whether a connection to an upstream, which just broke, did so since this host or the gateway that carried it has
// lost the path: it can't connect again, and another host that is asked can.
func (c *Connector) PathLost(ctx context.Context, u upstream.Upstream, gateway string) bool {
	if u.Name == "" {
		return false
	}
	l := c.look(u, gateway)
	select {
	case <-l.ended:
	case <-ctx.Done():
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now, ok := c.Upstream(u.Name)
	return l.inquiry.PathLost() && ok && same(now, u) // others may have connected to what came in its place
}

// same reports whether two announcements are of one incarnation at one address.
func same(a, b upstream.Upstream) bool {
	return a.Address == b.Address && a.Incarnation == b.Incarnation
}

// look joins the search for an upstream that has just begun, or begins one.
func (c *Connector) look(u upstream.Upstream, gateway string) *look {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.Timer.Now()
	k := lookKey{u.Name, gateway}
	if l := c.looks[k]; l != nil && same(l.upstream, u) && n.Sub(l.began) < joinTime {
		return l
	}
	l := &look{connector: c, upstream: u, gateway: gateway, began: n, ended: make(chan struct{})}
	c.looks[k] = l
	c.Group.Go("look", l.run)
	return l
}

// run lets the host whose connection broke connect again, and ends once the inquiry is decided.
func (l *look) run(ctx context.Context) error {
	c := l.connector
	stopWaiting := c.Timer.After(lookTime, func(time.Time) { l.note((*inquiry.Inquiry).Expired) })
	defer stopWaiting()
	if l.gateway == "" {
		l.connect(ctx)
	} else {
		l.ask()
	}
	select {
	case <-l.ended:
	case <-ctx.Done():
		l.note((*inquiry.Inquiry).Expired)
	}
	c.endLook(l)
	return nil
}

// connect tries to connect directly, and asks other hosts if that fails or takes long.
func (l *look) connect(ctx context.Context) {
	c := l.connector
	stopAsking := c.Timer.After(l.patience(), func(time.Time) { l.ask() })
	k, err := c.dial(ctx, l.upstream.Address)
	stopAsking()
	if err != nil {
		l.ask()
		return
	}
	_ = k.Close()
	c.worked(l.upstream.Name)
	l.note((*inquiry.Inquiry).Connected)
}

// patience returns how long the new connection may take until other hosts are asked.
func (l *look) patience() time.Duration {
	if !l.connector.Direct(l.upstream.Name) {
		return 0
	}
	return l.connector.patience(l.upstream)
}

// ask asks other hosts about the upstream, once.
func (l *look) ask() {
	c := l.connector
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.asked || l.closed {
		return
	}
	l.asked = true
	if l.gateway == "" {
		l.inquiry.Failed()
	}
	c.unsure = append(c.unsure, l)
	if len(c.unsure) == 1 {
		c.Timer.After(gatherTime, func(time.Time) { c.Group.Go("ask-again", c.askAgain) })
	}
}

// note records what has become known.
func (l *look) note(f func(i *inquiry.Inquiry)) {
	c := l.connector
	c.mu.Lock()
	f(&l.inquiry)
	ended := l.inquiry.Decided() && !l.closed
	l.closed = l.closed || ended
	lost := l.inquiry.PathLost()
	c.mu.Unlock()
	if !ended {
		return
	}
	switch {
	case lost && l.gateway == "":
		c.failed(l.upstream, l.began, noPath)
	case lost:
		c.Table.Unreached(l.gateway, l.upstream.Name)
		c.wake.Set()
	}
	l.log(lost)
	close(l.ended)
}

func (l *look) log(lost bool) {
	c := l.connector
	level, side := zerolog.InfoLevel, "upstream"
	if lost {
		level, side = zerolog.WarnLevel, "path"
	}
	c.count("broken-with-" + side)
	c.Log.WithLevel(level).Str("upstream", l.upstream.Name).Str("gateway", l.gateway).Str("side", side).
		Dur("took-ms", c.Timer.Now().Sub(l.began)).Msg("connection to upstream broke")
}

// endLook forgets a search that has ended.
func (c *Connector) endLook(l *look) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := lookKey{l.upstream.Name, l.gateway}
	if c.looks[k] == l {
		delete(c.looks, k)
	}
}
