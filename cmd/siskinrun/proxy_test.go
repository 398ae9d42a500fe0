package main

import (
	"context"
	"net"
	"sync"
	"time"

	"siskinrun/internal/base/group"
)

// condition is the network condition that a proxy simulates.
type condition int

const (
	// normal forwards both directions.
	normal condition = iota
	// delayed forwards both directions after a delay.
	delayed
	// forwardBlocked holds back the bytes of the dialing side.
	forwardBlocked
	// backwardBlocked holds back the bytes of the dialed side.
	backwardBlocked
	// bothBlocked holds back both directions.
	bothBlocked
	conditionCount
)

const (
	proxyBufferBytes  = 16 << 10
	proxyPollInterval = 10 * time.Millisecond
	proxyDelay        = 60 * time.Millisecond
)

// proxy forwards connections to one address and can delay, block and reset them.
type proxy struct {
	listener net.Listener
	target   string

	mu        sync.Mutex
	condition condition
	open      map[net.Conn]bool
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return &proxy{listener: l, target: to, open: map[net.Conn]bool{}}, err
}

func (p *proxy) set(w condition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.condition = w
}

func (p *proxy) current() condition {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.condition
}

// reset closes all open connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// run accepts connections until ctx ends.
func (p *proxy) run(ctx context.Context) error {
	g := group.NewGroup(ctx)
	g.Go("stop", func(ctx context.Context) error {
		<-ctx.Done()
		_ = p.listener.Close()
		p.reset()
		return nil
	})
	g.Go("accept", func(ctx context.Context) error {
		for {
			c, err := p.listener.Accept()
			if err != nil {
				return ctx.Err()
			}
			g.Go("connection", func(ctx context.Context) error {
				p.connect(ctx, c)
				return nil
			})
		}
	})
	return g.Wait()
}

// connect dials the target and copies in both directions until either side closes.
func (p *proxy) connect(ctx context.Context, c net.Conn) {
	d, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.open[c], p.open[d] = true, true
	p.mu.Unlock()
	g := group.NewGroup(ctx)
	end := func() {
		_ = c.Close()
		_ = d.Close()
	}
	g.Go("forth", func(ctx context.Context) error {
		defer end()
		p.copy(ctx, d, c, forwardBlocked)
		return nil
	})
	g.Go("back", func(ctx context.Context) error {
		defer end()
		p.copy(ctx, c, d, backwardBlocked)
		return nil
	})
	_ = g.Wait()
	p.mu.Lock()
	delete(p.open, c)
	delete(p.open, d)
	p.mu.Unlock()
}

// copy copies in one direction and waits while the condition is held or bothBlocked.
func (p *proxy) copy(ctx context.Context, to, from net.Conn, held condition) {
	b := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		for w := p.current(); w == held || w == bothBlocked; w = p.current() {
			if !sleep(ctx, proxyPollInterval) {
				return
			}
		}
		if p.current() == delayed && !sleep(ctx, proxyDelay) {
			return
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

// sleep waits in real time and returns false if ctx has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	c, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-c.Done()
	return ctx.Err() == nil
}
