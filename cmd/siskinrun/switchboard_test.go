package main

import (
	"context"
	"maps"
	"net"
	"os"
	"sync"
	"syscall"
)

// link is the state of a link between a host and an upstream.
type link string

const (
	// sound carries all bytes.
	sound link = "sound"
	// hang carries no bytes: new connections wait until their context ends, and open ones neither bring bytes nor end. What is
	// written meanwhile arrives once the link is sound again.
	hang link = "hang"
	// resets ends open connections, and new ones hang.
	resets link = "reset"
	// refuse lets open connections live on and refuses new ones.
	refuse link = "refuse"
	// deaf carries bytes to the upstream but none back: new connections hang.
	deaf link = "deaf"
)

// ends are the two ends of a link; an empty address stands for all upstreams.
type ends struct {
	host, address string
}

// switchboard holds the links between hosts and upstreams.
type switchboard struct {
	mu    sync.Mutex
	links map[ends]link
	conns map[*linkConn]bool
	// dials counts the connections that each host tried to open.
	dials map[string]int
}

func newSwitchboard() *switchboard {
	return &switchboard{links: map[ends]link{}, conns: map[*linkConn]bool{}, dials: map[string]int{}}
}

// set changes the link between a host and an address, or between the host and all that have no link of their own.
func (b *switchboard) set(host, address string, l link) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.links[ends{host, address}] = l
	b.changed(host)
}

// restore makes all links of a host sound.
func (b *switchboard) restore(host string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.links, func(e ends, _ link) bool { return e.host == host })
	b.changed(host)
}

// forget lets the link between a host and an address be as the one between the host and all upstreams.
func (b *switchboard) forget(host, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.links, ends{host, address})
	b.changed(host)
}

// changed tells the connections of a host of its links; the caller holds the lock.
func (b *switchboard) changed(host string) {
	for c := range b.conns {
		if c.ends.host == host {
			c.change(b.find(c.ends))
		}
	}
}

// find returns the state of a link; the caller holds the lock.
func (b *switchboard) find(e ends) link {
	for _, k := range []ends{e, {host: e.host}} {
		if l, ok := b.links[k]; ok {
			return l
		}
	}
	return sound
}

// dialer returns the dialer of a host.
func (b *switchboard) dialer(host string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		return b.dial(ctx, ends{host, address})
	}
}

func (b *switchboard) dial(ctx context.Context, e ends) (net.Conn, error) {
	b.mu.Lock()
	b.dials[e.host]++
	l := b.find(e)
	b.mu.Unlock()
	switch l {
	case refuse:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case hang, resets, deaf:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
	var d net.Dialer
	k, err := d.DialContext(ctx, "tcp", e.address)
	if err != nil {
		return nil, err
	}
	c := &linkConn{TCPConn: k.(*net.TCPConn), board: b, ends: e, link: sound}
	c.silent, c.other = net.Pipe()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns[c] = true
	c.change(b.find(e))
	return c, nil
}

// dialed returns how many connections a host has tried to open.
func (b *switchboard) dialed(host string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dials[host]
}

// end closes all connections.
func (b *switchboard) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		_ = c.TCPConn.Close()
		_ = c.silent.Close()
	}
}
