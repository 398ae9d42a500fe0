package heldread_test

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"siskinrun/internal/base/heldread"
)

// bounded is an account with room for a number of bytes.
type bounded struct{ room, held int64 }

func (b *bounded) ReserveSpare(n int64) bool {
	if b.held+n > b.room {
		return false
	}
	b.held += n
	return true
}

func (b *bounded) Release(n int64) { b.held -= n }

// counting counts the bytes that are read.
type counting struct {
	io.Reader
	read int64
}

func (c *counting) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.read += int64(n)
	return n, err
}

// TestNothingIsReadWithoutMemory guards against bytes that are read before their memory is reserved, bytes that are lost where
// the memory ends, and memory that stays reserved.
func TestNothingIsReadWithoutMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		text := strings.Repeat("x", rapid.IntRange(0, 100_000).Draw(t, "length"))
		m := &bounded{room: rapid.Int64Range(0, 200_000).Draw(t, "room")}
		most := rapid.IntRange(1, 100_000).Draw(t, "most")
		length := -1
		if rapid.Bool().Draw(t, "with a length") {
			length = len(text)
		}
		c := &counting{Reader: strings.NewReader(text)}
		r := heldread.Reader{Memory: m, Most: most}
		b, whole, err := r.Read(c, length)
		is.NoErr(err)
		is.True(c.read <= m.held+4<<10)
		is.True(len(b) <= most)
		is.True(m.held <= int64(max(2*len(b), 4<<10)))
		if whole {
			is.Equal(string(b), text)
		} else {
			is.True(len(b) == most || 3*int64(len(b)) > m.room)
		}
		rest, err := io.ReadAll(c)
		is.NoErr(err)
		is.Equal(len(b)+len(rest), len(text))
		r.Release()
		is.Equal(m.held, int64(0))
	})
}
