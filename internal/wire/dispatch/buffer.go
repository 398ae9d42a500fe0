package dispatch

import (
	"bytes"
	"context"
	"io"

	"siskinrun/internal/base/heldread"
	"siskinrun/internal/data/answer"
	"siskinrun/pkg/refusal"
)

// maxBufferedBytes is the length below which a body is read whole before it is passed on.
const maxBufferedBytes = 1 << 20

// buffer reads a short body whole before it is passed on, so that the call can be retried if the body is truncated. A body for
// which the host has no memory is passed on as its caller reads it.
func (t *attempt) buffer(ctx context.Context, a *answer.Answer) error {
	h := heldread.Reader{Memory: t.call.Memory, Most: maxBufferedBytes}
	b, whole, err := h.Read(a.Body, a.Length)
	if len(b) > 0 || err == nil {
		t.begin()
	}
	if err != nil {
		h.Release()
		t.end(ctx, err)
		_ = a.Body.Close()
		return refusal.NewMayHaveRun(statusBadGateway, "answer-cut", "the upstream's answer ended early: "+err.Error())
	}
	if whole {
		t.end(ctx, nil)
		_ = a.Body.Close()
		a.Length = len(b)
		a.Body = io.NopCloser(bytes.NewReader(b))
		return nil
	}
	r := io.MultiReader(bytes.NewReader(b), a.Body)
	a.Body = &attemptBody{Reader: r, Closer: a.Body, attempt: t}
	return nil
}
