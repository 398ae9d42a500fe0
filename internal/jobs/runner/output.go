package runner

import (
	"bufio"
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/item"
	"siskinrun/internal/data/sse"
	"siskinrun/internal/data/streamend"
)

var (
	errEmpty    = errors.New("the stream has no event")
	errCut      = errors.New("the stream ended as that of an upstream that is lost")
	errNoStream = errors.New("the upstream did not go on with the stream")
	errTooLong  = errors.New("output is longer than 4 MiB")
	errNoMemory = errors.New("this host has no memory for the answer")
)

const (
	// firstText is the length for which there is room at first.
	firstText = 512
	// smallText is the length up to which the memory of a text is not reserved.
	smallText = 64 << 10
)

// output collects the text of the events of an item over all of its runs.
type output struct {
	text []byte
	// next is the number of the next event, zero before the first event.
	next uint64
	// events is the number of events of the last answer.
	events int
	// received, if set, is told next.
	received *atomic.Uint64
	// hold is what the run holds on the account of the host.
	hold *hold
}

// newOutput returns the output of an item so far, and reports whether there is memory for it.
func newOutput(i item.Item, h *hold) (*output, bool) {
	o := &output{next: i.NextEvent, received: i.Received, hold: h}
	if !o.grow(len(i.Text)) {
		return nil, false
	}
	o.text = append(o.text, i.Text...)
	o.tell()
	return o, true
}

// grow makes room for a text of n bytes and reports whether there is memory for it.
func (o *output) grow(n int) bool {
	have := cap(o.text)
	if n <= have {
		return true
	}
	n = max(n, 2*have, firstText)
	if more := n - max(have, smallText); more > 0 && !o.hold.Reserve(int64(more)) {
		return false
	}
	o.text = append(make([]byte, 0, n), o.text...)
	return true
}

// tell passes on the number of the next event.
func (o *output) tell() {
	if o.received != nil {
		o.received.Store(o.next)
	}
}

// readEvents adds complete events until the stream ends, and calls event for each of them and at the end.
func (o *output) readEvents(r io.Reader, event func(end bool)) error {
	defer event(true)
	b := bufio.NewReader(r)
	for {
		more, err := o.readEvent(b)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if more {
			event(false)
		}
	}
}

// readEvent adds the next event, and reports whether it was one and no comment. What the event itself holds is given back.
func (o *output) readEvent(b *bufio.Reader) (bool, error) {
	held := int64(0)
	defer func() { o.hold.Release(held) }()
	e, err := sse.ReadReserved(b, func(n int) bool {
		ok := o.hold.Reserve(int64(n))
		if ok {
			held += int64(n)
		}
		return ok
	})
	if err != nil || e.Comment() {
		return false, err
	}
	return true, o.add(e)
}

// read adds the events of an answer and reports whether the answer says that the output is whole. Its error is that of an
// answer that broke off.
func (o *output) read(a *answer.Answer, event func(end bool)) (whole bool, err error) {
	o.events = 0
	if err := o.readEvents(a.Body, event); err != nil {
		return false, err
	}
	switch streamend.Of(a.Framing, o.events, o.next > 0) {
	case streamend.Empty:
		return false, errEmpty
	case streamend.Cut:
		if o.next > 0 {
			return false, nil // nothing may be left
		}
		return false, errCut
	case streamend.Unsaid:
		return false, nil
	default:
		return true, nil
	}
}

func (o *output) add(e sse.Event) error {
	if !e.Numbered {
		return errors.New("stream event has no number")
	}
	if o.next > 0 && e.ID != o.next {
		return errors.Newf("received stream event %d, want %d", e.ID, o.next)
	}
	if len(o.text)+len(e.Raw) > maxAnswerBytes {
		return errTooLong
	}
	d := e.Data()
	if !o.grow(len(o.text) + 1 + len(d)) {
		return errNoMemory
	}
	if o.next > 0 {
		o.text = append(o.text, '\n')
	}
	o.text = append(o.text, d...)
	o.next = e.ID + 1
	o.tell()
	o.events++
	return nil
}
