package link

import (
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// maxIdleStreams is the most streams of a session that wait for their next call.
const maxIdleStreams = 16

// session is one dialled session, or the time until which dialling waits.
type session struct {
	mu    sync.Mutex
	mux   *yamux.Session
	pause time.Time
	// idle are streams on which the last call came to its end, so that the next one need not open its own.
	idle []*yamux.Stream
}

// keep lets a stream carry another call.
func (e *session) keep(s *yamux.Stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.mux == nil || e.mux.IsClosed() || s.Session() != e.mux || len(e.idle) >= maxIdleStreams {
		_ = s.Close()
		return
	}
	e.idle = append(e.idle, s)
}

// idleStream returns a kept stream or nil; the caller holds the lock.
func (e *session) idleStream() *yamux.Stream {
	if e.mux == nil || e.mux.IsClosed() {
		e.idle = nil
		return nil
	}
	n := len(e.idle)
	if n == 0 {
		return nil
	}
	s := e.idle[n-1]
	e.idle = e.idle[:n-1]
	return s
}
