package tunnel_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// longAnswer is more than the buffers of connections and tunnels hold.
	longAnswer = 64 << 20
	// heldLimit bounds the bytes that a writer is rid of while nobody reads.
	heldLimit = 16 << 20
	// stillTime is how long a writer waits until it counts as held back.
	stillTime = 500 * time.Millisecond
)

// writeUntilHeld writes until nothing more is taken, and returns how much was.
func (f *fixture) writeUntilHeld(w net.Conn) int {
	b := make([]byte, 64<<10)
	n := 0
	for n < longAnswer {
		_ = w.SetWriteDeadline(f.timer.DeadlineIn(stillTime))
		i, err := w.Write(b)
		n += i
		if err != nil {
			break
		}
	}
	_ = w.SetWriteDeadline(time.Time{})
	return n
}

// TestSlowCallerHoldsBackItsUpstreamOnly checks that a tunnel whose caller reads nothing does not fill the gateway's memory,
// keeps no other tunnel waiting, and then brings all that was written.
func TestSlowCallerHoldsBackItsUpstreamOnly(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	slow, up := f.open(t)
	n := f.writeUntilHeld(up)
	t.Logf("%d kB taken from the upstream", n>>10)
	is.True(n < heldLimit)
	other, otherUp := f.open(t)
	_, err := io.WriteString(otherUp, "answer")
	is.NoErr(err)
	is.NoErr(otherUp.Close())
	got, err := io.ReadAll(other)
	is.NoErr(err)
	is.Equal(string(got), "answer")
	is.NoErr(up.Close())
	all, err := io.Copy(io.Discard, slow)
	is.NoErr(err)
	is.Equal(int(all), n)
}

// TestSlowUpstreamHoldsBackItsCallerOnly is the same for the request.
func TestSlowUpstreamHoldsBackItsCallerOnly(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	slow, up := f.open(t)
	n := f.writeUntilHeld(slow)
	t.Logf("%d kB taken from the caller", n>>10)
	is.True(n < heldLimit)
	other, otherUp := f.open(t)
	_, err := io.WriteString(other, "question")
	is.NoErr(err)
	b := make([]byte, len("question"))
	_, err = io.ReadFull(otherUp, b)
	is.NoErr(err)
	is.Equal(string(b), "question")
	all := make([]byte, n)
	_, err = io.ReadFull(up, all)
	is.NoErr(err)
	is.NoErr(up.Close())
}
