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

// guarded returns a listener whose connections are on the account of the host's clients, or nil for none.
func (s *Server) guarded(l net.Listener) net.Listener {
	if l == nil {
		return nil
	}
	return s.clients.Listener(l, false)
}
