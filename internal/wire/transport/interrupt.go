package transport

import (
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/data/call"
	"siskinrun/pkg/refusal"
)

const (
	// silentTime is how long a connection has brought nothing when it counts as silent.
	silentTime = 500 * time.Millisecond
	// strandedTime is how long a connection on a lost path has brought nothing when its upstream has likely ended the run.
	strandedTime = time.Second
)

// started adds a connection with a call to the running ones.
func (e *Transport) started(k *conn, c *call.Call) {
	k.repeatable = c.RouteConfig.Repeatable || c.Batch
	k.stranded = c.Stranded
	k.touch()
	k.ended = func() { e.remove(k) }
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running == nil {
		e.running = map[string]map[*conn]bool{}
	}
	if e.running[k.address] == nil {
		e.running[k.address] = map[*conn]bool{}
	}
	e.running[k.address][k] = true
}

func (e *Transport) remove(k *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running[k.address], k)
	if len(e.running[k.address]) == 0 {
		delete(e.running, k.address)
	}
}

// Interrupt closes the idle connections to an address, and those that are silent under a call that may be repeated, so that
// the calls go on by another path. Other calls wait for the path to come back, and take up no slot meanwhile.
func (e *Transport) Interrupt(address string) {
	e.mu.Lock()
	idle := e.idle[address]
	delete(e.idle, address)
	var silent []*conn
	for k := range e.running[address] {
		if k.gateway == "" && k.silence() >= silentTime {
			silent = append(silent, k)
		}
	}
	e.mu.Unlock()
	for _, k := range idle {
		k.close()
	}
	for _, k := range silent {
		k.interrupt()
	}
}

// interrupt ends the call on the connection if it may be repeated, so that it goes on by another path.
func (k *conn) interrupt() {
	if k.repeatable {
		k.interrupted.Store(true)
		_ = k.Conn.Close()
		return
	}
	if k.silence() >= strandedTime && k.stranded != nil {
		k.stranded()
	}
}

// pathLost reports whether a connection failed since its path was lost, which says nothing of the upstream.
func (k *conn) pathLost(err error) bool {
	if k.interrupted.Load() {
		return true
	}
	var l interface{ PathLost() bool }
	return errors.As(err, &l) && l.PathLost()
}

// newPathLost refuses a call whose path was lost after it had been sent.
func newPathLost() error {
	return refusal.NewMayHaveRun(502, "path-lost", "the path to the upstream was lost")
}
