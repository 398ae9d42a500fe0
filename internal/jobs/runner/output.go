package runner

import (
	"bufio"
	"io"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/data/event"
	"siskinrun/internal/data/item"
)

// output is the text that the events of an item make, over all of its runs.
type output struct {
	text []byte
	// next is the number of the first event that is missing, zero if there is none yet.
	next uint64
}

func newOutput(i item.Item) *output {
	return &output{text: append([]byte(nil), i.Text...), next: i.Next}
}

// read adds whole events until the stream ends; without an error the text is whole.
func (o *output) read(r io.Reader) error {
	b := bufio.NewReader(r)
	for {
		e, err := event.Read(b)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err := o.add(e); err != nil {
			return err
		}
	}
}

func (o *output) add(e event.Event) error {
	if !e.Numbered {
		return errors.New("an event without a number came")
	}
	if o.next > 0 && e.ID != o.next {
		return errors.Newf("event %d came in place of %d", e.ID, o.next)
	}
	if len(o.text)+len(e.Raw) > maxAnswerBytes {
		return errors.New("the output is too long")
	}
	if o.next > 0 {
		o.text = append(o.text, '\n')
	}
	o.text = append(o.text, e.Data()...)
	o.next = e.ID + 1
	return nil
}
