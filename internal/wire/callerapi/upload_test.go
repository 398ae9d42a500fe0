package callerapi

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"siskinrun/internal/wire/ingress"
)

// TestUploadsAreReservedBeforeTheyAreRead guards against uploads that are not on the account of what clients hold, against those
// that take the account by an announced length, and against one that is read on without memory.
func TestUploadsAreReservedBeforeTheyAreRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		line := strings.Repeat("x", rapid.IntRange(minLineBytes, 10_000).Draw(t, "line")) + "\n"
		text := strings.Repeat(line, rapid.IntRange(0, 1000).Draw(t, "lines"))
		room := rapid.Int64Range(0, 6<<20).Draw(t, "room")
		held, complete := int64(0), 0
		r := &heldReader{
			reader: strings.NewReader(text),
			reserve: func(n int64) error {
				if held+n > room {
					return ingress.Overloaded()
				}
				held += n
				return nil
			},
			complete: func() { complete++ },
		}
		p := make([]byte, 4<<10)
		for {
			n, err := r.Read(p)
			is.True(n == 0 || held >= min(uploadCopies*r.received, maxUploadBytes)+idBytes*r.lines)
			is.True(held <= firstUploadBytes+uploadCopies*(r.received+int64(len(p)))+idBytes*(r.lines+int64(len(p)))+uploadStep)
			if err == io.EOF {
				is.Equal(complete, 1)
				return
			}
			if err != nil {
				is.Equal(r.refused, err)
				return
			}
		}
	})
}

// TestUploadsWithoutMemoryAreRefused guards against an upload that is stored though there is no memory for it.
func TestUploadsWithoutMemoryAreRefused(t *testing.T) {
	is := is.New(t)
	w := &wholeFiles{}
	a := startWithin(t, &echoPipeline{}, w, 64<<10) // a connection fits, and nothing beside it
	r := send(t, a, "POST "+pathFiles+" HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\nContent-Length: 3\r\n\r\nabc")
	is.Equal(r.StatusCode, 503)
	is.Equal(w.files, 0)
}
