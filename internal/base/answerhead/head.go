package answerhead

import (
	"bufio"
	"bytes"
	"net/http"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/base/headgrammar"
)

const (
	// minStatus and maxStatus are the least and the greatest status of HTTP, and minFinalStatus the least of an answer that none
	// follows.
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
)

var (
	// ErrNoStatusLine is the error of what does not begin with a status line.
	ErrNoStatusLine = errors.New("the answer has no status line")
	// ErrMalformedStatus is the error of a status that is no number.
	ErrMalformedStatus = errors.New("the status of the answer is malformed")
	// ErrInvalidStatus is the error of a status that HTTP does not have.
	ErrInvalidStatus = errors.New("the answer has no valid status")
)

// Head is the head of an answer that is not read yet.
type Head struct {
	// Status is the status of the answer.
	Status int
	// Length is the length in bytes, with the empty lines before the head and the one at its end.
	Length int
}

// Interim reports whether another answer follows.
func (h Head) Interim() bool {
	return h.Status < minFinalStatus && h.Status != http.StatusSwitchingProtocols
}

// Peek waits for the whole head of the answer that follows and reads nothing of it. The error is a *headgrammar.Fault if the head
// breaks the grammar of HTTP, one of those of this package if its status line does, or that of the connection.
func Peek(in *bufio.Reader) (Head, error) {
	s, err := peekStatus(in)
	if err != nil {
		return Head{}, err
	}
	if s < minStatus || s > maxStatus {
		return Head{}, ErrInvalidStatus
	}
	b, err := peekSection(in, headLength)
	if err != nil {
		return Head{}, err
	}
	if err := headgrammar.CheckHead(b); err != nil {
		return Head{}, err
	}
	return Head{Status: s, Length: len(b)}, nil
}

// Rejects reports whether an error of Peek or PeekTrailer is that of a message that breaks the grammar of HTTP.
func Rejects(err error) bool {
	var f *headgrammar.Fault
	return errors.As(err, &f) || errors.IsAny(err, ErrNoStatusLine, ErrMalformedStatus, ErrInvalidStatus)
}

// PeekTrailer waits for the whole trailer that follows the last chunk of a body and reads nothing of it. The error is a
// *headgrammar.Fault if the trailer breaks the grammar of HTTP, or that of the connection.
func PeekTrailer(in *bufio.Reader) error {
	b, err := peekSection(in, linesLength)
	if err != nil {
		return err
	}
	return headgrammar.CheckFields(b)
}

// peekSection returns the lines that follow up to the first empty one, whose length the given function finds once they have come.
func peekSection(in *bufio.Reader, length func(b []byte) int) ([]byte, error) {
	for n := 1; ; n = in.Buffered() + 1 {
		if _, err := in.Peek(n); err != nil {
			return nil, err
		}
		b, err := in.Peek(in.Buffered())
		if err != nil {
			return nil, err
		}
		if l := length(b); l > 0 {
			return b[:l], nil
		}
	}
}

// headLength returns the length of a head with the empty lines before it, zero if it is not whole.
func headLength(b []byte) int {
	n := len(b) - len(bytes.TrimLeft(b, "\r\n"))
	if l := linesLength(b[n:]); l > 0 {
		return n + l
	}
	return 0
}

// linesLength returns the length of the lines up to the first empty one, zero if that has not come.
func linesLength(b []byte) int {
	for i := 0; ; {
		n := bytes.IndexByte(b[i:], '\n')
		if n < 0 {
			return 0
		}
		l := b[i : i+n]
		i += n + 1
		if len(bytes.TrimSuffix(l, []byte("\r"))) == 0 {
			return i
		}
	}
}
