package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/sse"
	"siskinrun/pkg/refusal"
)

const (
	// maxDrainBytes bounds the bytes that are read after the end of a stream.
	maxDrainBytes = 1 << 20
	// maxHeldBytes bounds the comments before the first event that are kept; further ones are left out.
	maxHeldBytes = 4 << 10
)

// errEmpty is the failure of an upstream whose answer holds no event and is whole by its framing: it was not lost.
var errEmpty = refusal.NewMayHaveRun(502, "stream-empty", "the upstream's stream has no event")

// doneMarker is the data of the event that ends a stream.
var doneMarker = []byte("[DONE]")

// errNoMemory ends a stream of which the host can't hold the next event. The upstream was not lost.
var errNoMemory = refusal.NewMayHaveRun(502, "no-memory", "this host has no memory for the next event of the stream")

// errNoNumber is the failure of an upstream in whose numbered stream something comes that has no number, such as the text of an error.
var errNoNumber = refusal.NewMayHaveRun(502, refusal.CodeSpuriousAnswer, "the upstream's stream holds an event without a number")

// memory is the account of what the caller of a stream holds.
type memory interface {
	Reserve(n int64) bool
	Release(n int64)
}

// Reader reads whole events and resumes a broken stream after the last event read.
type Reader struct {
	// Context ends the stream when it is cancelled.
	Context context.Context
	// Answer is the open stream, at first the original one.
	Answer *answer.Answer
	// Resume reopens the stream at the given event after cause broke it; an error ends the stream.
	Resume func(ctx context.Context, offset int, cause error) (*answer.Answer, error)
	// Confirm reopens the stream at the given event, where an answer ended that does not say whether it was whole, and again
	// when cause broke that off or it does not say so either. It returns nil if that is not possible, which ends the stream
	// with the error if there is one.
	Confirm func(ctx context.Context, offset int, cause error) (*answer.Answer, error)
	// EndsWithBody says that the end of the body ends the stream, and that its first event may have any number.
	EndsWithBody bool
	// First is the number of the first event that the caller asked for, zero for a stream from its start.
	First int
	// Event, if set, is called for each event that is passed on.
	Event func(offset int)
	// Memory, if set, is the account that large events are on until the caller has read them.
	Memory memory
	// Done, if set, is called once when the stream has ended, with its error or nil.
	Done func(err error)

	in   *bufio.Reader
	next int
	// numbered says that the upstream numbers its events, so that a resumed stream can be checked.
	numbered bool
	started  bool
	// events is the number of events passed on from the open answer.
	events int
	// reached is the number after the last event that the open answer repeated, zero if it repeated none.
	reached int
	// confirming says that the open answer is to tell whether anything follows, and has brought no event.
	confirming bool
	// comments holds what came before the first event.
	comments []byte
	pending  []byte
	// reserved is the memory reserved for what is pending.
	reserved int
	err      error
	closed   bool
}

// Read implements io.Reader.Read.
func (r *Reader) Read(p []byte) (int, error) {
	for len(r.pending) == 0 {
		if r.err != nil {
			return 0, r.err
		}
		r.fetch()
	}
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	return n, nil
}

// Close implements io.Closer.Close.
func (r *Reader) Close() error {
	if r.err == nil {
		r.finish(context.Canceled)
	}
	return nil
}

// fetch reads the next event, and resumes the stream if it is broken.
func (r *Reader) fetch() {
	if r.in == nil {
		r.next, r.numbered = r.First, r.First > 0
		r.in = bufio.NewReader(r.Answer.Body)
	}
	r.release()
	e, err := sse.ReadReserved(r.in, r.reserve)
	if errors.Is(err, sse.ErrNoMemory) {
		r.finish(errNoMemory)
		return
	}
	if err != nil && r.confirming {
		r.confirmed(err)
		return
	}
	if err == io.EOF && r.EndsWithBody {
		r.end()
		return
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		r.resume(err)
		return
	}
	if e.Comment() {
		r.comment(e.Raw)
		return
	}
	n, ok := int(e.ID), e.Numbered
	if !ok && r.numbered && !r.endsWith(e) {
		r.reject(errNoNumber)
		return
	}
	if ok && !r.numbered && r.EndsWithBody {
		r.next = n
	}
	if ok && n < r.next {
		r.reached = n + 1
		return
	}
	if ok && n > r.next {
		r.resume(errors.Newf("event %d arrived where event %d was expected", n, r.next))
		return
	}
	r.numbered = r.numbered || ok
	r.started = true
	r.events++
	r.confirming = false
	r.next++
	r.pending = append(r.comments, e.Raw...)
	r.comments = nil
	if r.Event != nil {
		r.Event(r.next - 1)
	}
	if r.endsWith(e) {
		r.drain()
		r.finish(nil)
	}
}

// endsWith reports whether an event ends the stream.
func (r *Reader) endsWith(e sse.Event) bool {
	return !r.EndsWithBody && bytes.Equal(e.Data(), doneMarker)
}

// reserve reserves memory for the event that is read.
func (r *Reader) reserve(n int) bool {
	if r.Memory == nil {
		return true
	}
	if !r.Memory.Reserve(int64(n)) {
		return false
	}
	r.reserved += n
	return true
}

// release releases the memory of events that the caller has read.
func (r *Reader) release() {
	if r.reserved > 0 {
		r.Memory.Release(int64(r.reserved))
		r.reserved = 0
	}
}

// comment passes a comment on, once the stream has an event: until then the call may still be refused.
func (r *Reader) comment(raw []byte) {
	if r.started {
		r.pending = raw
		return
	}
	if len(r.comments)+len(raw) <= maxHeldBytes {
		r.comments = append(r.comments, raw...)
	}
}

// drain reads the rest of the body so that the connection can be reused.
func (r *Reader) drain() {
	_, _ = io.CopyN(io.Discard, r.in, maxDrainBytes)
}

func (r *Reader) resume(cause error) {
	_ = r.Answer.Body.Close()
	if r.Context.Err() != nil {
		r.finish(r.Context.Err())
		return
	}
	if r.started && !r.numbered {
		r.finish(cause)
		return
	}
	a, err := r.Resume(r.Context, r.next, cause)
	if err != nil {
		r.finish(errors.CombineErrors(err, cause))
		return
	}
	r.open(a)
}

// open goes on with another answer.
func (r *Reader) open(a *answer.Answer) {
	r.Answer = a
	r.events, r.reached = 0, 0
	r.in = bufio.NewReader(a.Body)
}

func (r *Reader) finish(err error) {
	if r.closed {
		return
	}
	r.closed = true
	r.err = io.EOF
	if err != nil {
		r.err = err
	}
	_ = r.Answer.Body.Close()
	if r.Done != nil {
		r.Done(err)
	}
}
