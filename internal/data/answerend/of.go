package answerend

import (
	"context"
	"io"
	"syscall"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/data/framing"
)

// Of returns how a body ended whose reader returned err, nil or io.EOF for its end.
func Of(ctx context.Context, f framing.Framing, err error) End {
	var t interface{ Timeout() bool }
	switch {
	case (err == nil || err == io.EOF) && f == framing.None:
		return Closed
	case err == nil || err == io.EOF:
		return Complete
	case ctx.Err() != nil:
		return Cancelled
	case errors.As(err, &t) && t.Timeout():
		return TimedOut
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return Reset
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return Closed
	default:
		return Malformed
	}
}
