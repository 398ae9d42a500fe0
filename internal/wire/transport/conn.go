package transport

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/pkg/refusal"
)

// maxKnownCalls is the number of calls on a connection whose IDs are kept.
const maxKnownCalls = 16

// conn is a connection to an upstream that counts the bytes written to it.
type conn struct {
	net.Conn
	address string
	in      *bufio.Reader
	out     *bufio.Writer
	sent    atomic.Int64
	// calls are the IDs of the last calls on the connection, up to maxKnownCalls. What the upstream sends once more for one of them
	// could not be told from the answer to a further call with the same ID.
	calls []string
	// anonymous says that the last call had no ID.
	anonymous bool
	// unnamed says that the last answer did not name its call, though the upstream names the call in its answers.
	unnamed bool
	// named says that an answer on the connection named its call, as all later ones must.
	named bool
	// idleTTL is how long the upstream keeps the idle connection, zero if it does not say.
	idleTTL   time.Duration
	idleSince time.Time
	stopAbort func() bool
	// reused says that the connection was idle before its call.
	reused bool
	// gateway is the host that carries the connection, empty for none.
	gateway string
	// repeatable says that the call may run again.
	repeatable bool
	// stranded tells the call that it is silent on a lost path.
	stranded func()
	// lastByte is when the connection last brought something, as the time since processStart.
	lastByte    atomic.Int64
	interrupted atomic.Bool
	// ended takes the connection out of the running ones.
	ended func()
}

// processStart is the origin of the times of connections, by a clock that stands still while the host is suspended: it has not
// listened then.
var processStart = time.Now()

func newConn(c net.Conn, address string) *conn {
	k := &conn{Conn: c, address: address}
	k.in = bufio.NewReaderSize(k, readBufferSize)
	k.out = bufio.NewWriter(k)
	return k
}

// Read implements io.Reader.Read.
func (k *conn) Read(b []byte) (int, error) {
	n, err := k.Conn.Read(b)
	if n > 0 {
		k.touch()
	}
	if k.pathLost(err) {
		k.interrupted.Store(true) // the HTTP library does not pass each error on
	}
	return n, err
}

// touch notes that the connection has brought something.
func (k *conn) touch() {
	k.lastByte.Store(int64(time.Since(processStart)))
}

// silence returns for how long the connection has brought nothing.
func (k *conn) silence() time.Duration {
	return time.Since(processStart) - time.Duration(k.lastByte.Load())
}

// Write implements io.Writer.Write.
func (k *conn) Write(b []byte) (int, error) {
	n, err := k.Conn.Write(b)
	k.sent.Add(int64(n))
	if err != nil && k.gateway != "" {
		k.sent.Add(1) // a session between hosts may still send what it gave up
	}
	return n, err
}

// begin notes that a call with an ID is sent on the connection.
func (k *conn) begin(id string) {
	if len(k.calls) == maxKnownCalls {
		k.calls = slices.Delete(k.calls, 0, 1)
	}
	k.calls = append(k.calls, id)
}

// served reports whether one of the last calls on the connection had an ID.
func (k *conn) served(id string) bool {
	return slices.Contains(k.calls, id)
}

func (k *conn) abort() {
	_ = k.Conn.Close()
}

func (k *conn) close() {
	if k.stopAbort != nil {
		k.stopAbort()
	}
	if k.ended != nil {
		k.ended()
	}
	_ = k.Conn.Close()
}

// toRefusal returns err as a refusal; the call did not run if no byte of it was written.
func (k *conn) toRefusal(ctx context.Context, err error) error {
	if k.sent.Load() == 0 {
		return unreachable(err)
	}
	var s spuriousError
	var m malformedError
	switch {
	case errors.As(err, &s):
		return refusal.NewMayHaveRun(502, refusal.CodeSpuriousAnswer, s.Error())
	case errors.As(err, &m):
		return m.toRefusal()
	case ctx.Err() != nil:
		return refusal.NewMayHaveRun(504, "cancelled", "the call was cancelled while it ran")
	case k.pathLost(err):
		return newPathLost()
	case isTimeout(err):
		return refusal.NewMayHaveRun(504, "upstream-timeout", "the upstream did not answer in time")
	default:
		return refusal.NewMayHaveRun(502, "upstream-lost", "the upstream's answer was lost: "+kind(err))
	}
}

// isTimeout reports whether an error is a deadline that has passed.
func isTimeout(err error) bool {
	var n interface{ Timeout() bool }
	return errors.As(err, &n) && n.Timeout()
}

// unreachable refuses a call of which no byte was written.
func unreachable(err error) error {
	return refusal.NewNotRun(503, "upstream-unreachable", kind(err))
}
