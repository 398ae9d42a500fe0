package relay

import (
	"cmp"
	"io"

	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/framing"
	"siskinrun/internal/data/streamend"
)

// end ends the stream with its answer, unless an upstream that was lost leaves the same.
func (r *Reader) end() {
	if r.behind() {
		r.resume(io.ErrUnexpectedEOF)
		return
	}
	switch streamend.Of(r.Answer.Framing, r.events, r.started || r.First > 0) {
	case streamend.Empty:
		r.resume(errEmpty)
	case streamend.Cut:
		r.resume(io.ErrUnexpectedEOF)
	case streamend.Unsaid:
		r.confirm(nil)
	default:
		r.finish(nil)
	}
}

// behind reports whether the open answer began the stream anew and ended before the event that was asked for.
func (r *Reader) behind() bool {
	return r.events == 0 && r.reached > 0 && r.reached < r.next
}

// confirm asks for what follows the last event, and ends the stream if that cannot be asked; a call that was given up has no end.
func (r *Reader) confirm(cause error) {
	_ = r.Answer.Body.Close()
	var a *answer.Answer
	var err error
	if r.numbered {
		a, err = r.Confirm(r.Context, r.next, cause)
	}
	if a == nil {
		r.finish(cmp.Or(r.Context.Err(), err))
		return
	}
	r.confirming = true
	r.open(a)
}

// confirmed ends a stream of which nothing follows by the framing of the answer that was to tell, and asks again otherwise.
func (r *Reader) confirmed(err error) {
	switch {
	case err != io.EOF:
		r.confirm(err)
	case r.behind():
		r.confirm(io.ErrUnexpectedEOF)
	case r.Answer.Framing == framing.None:
		r.confirm(nil)
	default:
		r.finish(nil)
	}
}

// reject gives the open answer up, which is not the rest of the stream.
func (r *Reader) reject(cause error) {
	if r.confirming {
		r.confirmed(cause)
		return
	}
	r.resume(cause)
}
