package rpc

import (
	"net"
	"slices"
)

// beginHandshake adds a connection to those whose handshake is under way and closes the oldest if there are too many. done
// removes it.
func (l *Endpoint) beginHandshake(c net.Conn) (done func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handshakes = append(l.handshakes, c)
	if len(l.handshakes) > maxHandshakes {
		_ = l.handshakes[0].Close()
		l.handshakes = slices.Delete(l.handshakes, 0, 1)
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if i := slices.Index(l.handshakes, c); i >= 0 {
			l.handshakes = slices.Delete(l.handshakes, i, i+1)
		}
	}
}

// logRejected logs that connections were rejected, at intervals, since a port scanner opens many.
func (l *Endpoint) logRejected(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rejected++
	t := l.Timer.Now()
	if !l.rejectedLogged.IsZero() && t.Sub(l.rejectedLogged) < rejectedLogInterval {
		return
	}
	l.Log.Warn().Err(err).Int("connections", l.rejected).Msg("peer rejected, its handshake failed")
	l.rejectedLogged, l.rejected = t, 0
}
