package steadylistener

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/timer"
)

const (
	// pause is the time before it is tried again.
	pause = 50 * time.Millisecond
	// logInterval is the least time between two log lines.
	logInterval = 10 * time.Second
)

// shortages are the failures to accept a connection that pass.
var shortages = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR, syscall.EPROTO,
}

// Listener accepts connections, and waits while the system lacks what a further one takes: the HTTP library ends its server at the
// first failure.
type Listener struct {
	net.Listener
	// Timer is the clock.
	Timer *timer.Service
	// Log receives a line at intervals while connections cannot be accepted.
	Log zerolog.Logger

	logged time.Time
}

// Accept implements net.Listener.Accept.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || !errors.IsAny(err, shortages...) {
			return c, err
		}
		l.log(err)
		if l.Timer.Sleep(context.Background(), pause) != nil {
			return nil, err
		}
	}
}

// log logs a shortage. Accept is called by one goroutine.
func (l *Listener) log(err error) {
	if n := l.Timer.Now(); n.Sub(l.logged) >= logInterval {
		l.logged = n
		l.Log.Warn().Err(err).Str("address", l.Addr().String()).Msg("connections cannot be accepted for now")
	}
}
