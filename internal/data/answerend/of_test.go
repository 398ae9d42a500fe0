package answerend_test

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"siskinrun/internal/data/answerend"
	"siskinrun/internal/data/framing"
)

func TestOf(t *testing.T) {
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	for _, c := range []struct {
		name    string
		ctx     context.Context
		framing framing.Framing
		err     error
		want    string
	}{
		{"a length reached", t.Context(), framing.Length, io.EOF, "complete"},
		{"last chunk", t.Context(), framing.Chunks, nil, "complete"},
		{"no framing", t.Context(), framing.None, io.EOF, "closed"},
		{"no framing, reset", t.Context(), framing.None, errors.Wrap(syscall.ECONNRESET, "read"), "reset"},
		{"short of its length", t.Context(), framing.Length, io.ErrUnexpectedEOF, "closed"},
		{"silent", t.Context(), framing.Chunks, os.ErrDeadlineExceeded, "timed-out"},
		{"given up", gone, framing.Chunks, net.ErrClosed, "cancelled"},
		{"no chunk", t.Context(), framing.Chunks, errors.New("bad chunk"), "malformed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(answerend.Of(c.ctx, c.framing, c.err).String(), c.want)
		})
	}
}
