package relay_test

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"siskinrun/pkg/refusal"
)

// bounded is an account with room for a number of bytes.
type bounded struct{ room, held int64 }

func (b *bounded) Reserve(n int64) bool {
	if b.held+n > b.room {
		return false
	}
	b.held += n
	return true
}

func (b *bounded) Release(n int64) { b.held -= n }

// TestLargeEventsAreReservedWhileTheyAreHeld guards against events of up to 1 MB that are held outside the account for callers
// that do not read them.
func TestLargeEventsAreReservedWhileTheyAreHeld(t *testing.T) {
	is := is.New(t)
	large := "id: 1\ndata: " + strings.Repeat("a", 100_000) + "\n\n"
	last := "id: 2\ndata: b\n\n"
	m := &bounded{room: 1 << 20}
	r := newReader(large + last)
	r.EndsWithBody, r.Memory = true, m
	b := make([]byte, len(large))
	_, err := io.ReadFull(r, b)
	is.NoErr(err)
	is.Equal(string(b), large)
	is.True(m.held >= 100_000-4<<10) // reserved until the next event is read
	rest, err := io.ReadAll(r)
	is.NoErr(err)
	is.Equal(string(rest), last)
	is.Equal(m.held, int64(0))

	r = newReader(large + last)
	r.EndsWithBody, r.Memory = true, &bounded{room: 50_000}
	_, err = io.ReadAll(r)
	is.Equal(refusal.Of(err).Code, "no-memory")
}
