package server

import (
	"net"
	"runtime/debug"

	"github.com/rcrowley/go-metrics"

	"siskinrun/internal/base/clientguard"
	"siskinrun/internal/base/clientmemory"
)

// limitMemory bounds the memory of the process and that of its clients.
func (s *Server) limitMemory() {
	l := s.Settings.Limits
	if m := l.RuntimeBytes(); m > 0 {
		debug.SetMemoryLimit(m)
	}
	s.clients = &clientguard.Guard{
		Account: clientmemory.Account{Bytes: l.ClientBytes(), Connections: l.ClientConnections(), Large: l.LargeBytes()},
		Timer:   s.timer,
		Metrics: s.metrics,
		Log:     s.Log,
	}
	_ = s.metrics.Register("clients-held-bytes", metrics.NewFunctionalGauge(s.clients.Held))
}

// itemMemory is what batch items hold on the account of the host's clients, which leaves half of it to them.
type itemMemory struct {
	clients *clientguard.Guard
	id      uint64
}

// newItemMemory returns the part of batch items in the account.
func (s *Server) newItemMemory() *itemMemory {
	id, _ := s.clients.Open("batch items", true, 0, nil) // the account is still empty
	s.clients.Run(id)
	return &itemMemory{clients: s.clients, id: id}
}

// ReserveSpare holds n bytes more and reports whether there is room.
func (m *itemMemory) ReserveSpare(n int64) bool {
	return m.clients.GrowSpare(m.id, n)
}

// Release gives n bytes back.
func (m *itemMemory) Release(n int64) {
	m.clients.Shrink(m.id, n)
}

// guarded returns a listener whose connections are on the account of the host's clients, or nil for none.
func (s *Server) guarded(l net.Listener) net.Listener {
	if l == nil {
		return nil
	}
	return s.clients.Listener(l, false)
}
