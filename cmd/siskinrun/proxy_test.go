package main

import (
	"context"
	"net"
	"sync"
	"time"

	"siskinrun/internal/base/group"
)

// condition is what a proxy does to the bytes that pass it.
type condition int

const (
	// normal passes everything on.
	normal condition = iota
	// delayed passes everything on late.
	delayed
	// forwardHeld holds back what the side that dialled sends.
	forwardHeld
	// backHeld holds back what the side that was dialled sends.
	backHeld
	// bothHeld holds back both.
	bothHeld
	conditions
)

const (
	proxyBytes = 16 << 10
	proxyLook  = 10 * time.Millisecond
	proxyDelay = 60 * time.Millisecond
)

// proxy passes connections on to one address and can delay, hold back and reset them.
type proxy struct {
	listener net.Listener
	to       string

	mu        sync.Mutex
	condition condition
	open      map[net.Conn]bool
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return &proxy{listener: l, to: to, open: map[net.Conn]bool{}}, err
}

func (p *proxy) set(w condition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.condition = w
}

func (p *proxy) now() condition {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.condition
}

// reset ends all open connections without a goodbye.
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

// run serves until ctx ends.
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
				p.join(ctx, c)
				return nil
			})
		}
	})
	return g.Wait()
}

// join connects one side with the other until either ends.
func (p *proxy) join(ctx context.Context, c net.Conn) {
	d, err := net.DialTimeout("tcp", p.to, time.Second)
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
		p.pass(ctx, d, c, forwardHeld)
		return nil
	})
	g.Go("back", func(ctx context.Context) error {
		defer end()
		p.pass(ctx, c, d, backHeld)
		return nil
	})
	_ = g.Wait()
	p.mu.Lock()
	delete(p.open, c)
	delete(p.open, d)
	p.mu.Unlock()
}

// pass copies in one direction, which the given condition holds back.
func (p *proxy) pass(ctx context.Context, to, from net.Conn, held condition) {
	b := make([]byte, proxyBytes)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		for w := p.now(); w == held || w == bothHeld; w = p.now() {
			if !rest(ctx, proxyLook) {
				return
			}
		}
		if p.now() == delayed && !rest(ctx, proxyDelay) {
			return
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

// rest waits on the machine's clock and reports whether ctx goes on.
func rest(ctx context.Context, d time.Duration) bool {
	c, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-c.Done()
	return ctx.Err() == nil
}
