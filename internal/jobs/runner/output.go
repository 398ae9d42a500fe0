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
}

func newOutput(i item.Item) *output {
	o := &output{text: append([]byte(nil), i.Text...), next: i.NextEvent, received: i.Received}
	o.tell()
	return o
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
		e, err := sse.Read(b)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if e.Comment() {
			continue
		}
		if err := o.add(e); err != nil {
			return err
		}
		event(false)
	}
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
		return errors.New("output is longer than 4 MiB")
	}
	if o.next > 0 {
		o.text = append(o.text, '\n')
	}
	o.text = append(o.text, e.Data()...)
	o.next = e.ID + 1
	o.tell()
	o.events++
	return nil
}
