package rpc

import (
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// maxIdleStreams is the maximum number of idle streams of a session.
const maxIdleStreams = 16

// session holds the yamux session dialed to a peer on one lane, and when to dial again after a failure.
type session struct {
	mu      sync.Mutex
	mux     *link
	retryAt time.Time
	// failure is why the last dial failed.
	failure error
	// dialed is closed once the dial under way has ended, nil if there is none.
	dialed chan struct{}
	// idle holds the streams that the next calls can reuse.
	idle []*yamux.Stream
	// held pings the session while streams of Open are open, nil if none is.
	held *pinger
}

// release keeps a stream for reuse, or closes it if the session has ended or has enough idle streams.
func (e *session) release(s *yamux.Stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.mux == nil || e.mux.IsClosed() || s.Session() != e.mux.Session || len(e.idle) >= maxIdleStreams {
		_ = s.Close()
		return
	}
	e.idle = append(e.idle, s)
}

// idleStream returns an idle stream, or nil. The caller holds the lock.
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

// end ends a session of the peer unless another one has taken its place.
func (e *session) end(m *yamux.Session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.mux != nil && e.mux.Session == m {
		e.mux.end()
	}
}
