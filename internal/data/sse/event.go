package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// maxEventBytes is the maximum length of an event.
	maxEventBytes = 1 << 20
	// smallEvent is the length up to which the memory of an event is not reserved.
	smallEvent = 4 << 10
)

var (
	// ErrNoMemory is the error of reading an event for which there is no memory.
	ErrNoMemory = errors.New("there is no memory for the event")

	idField   = []byte("id:")
	dataField = []byte("data:")
)

// Event is one server-sent event.
type Event struct {
	// Raw is the event as received, including the empty line that ends it.
	Raw []byte
	// ID is the numeric ID of the event, if Numbered is set.
	ID uint64
	// Numbered means that the event has a numeric ID.
	Numbered bool
}

// Read returns the next complete event, or a comment. It returns io.EOF only at the end of an event, and
// io.ErrUnexpectedEOF within one.
func Read(r *bufio.Reader) (Event, error) {
	return ReadReserved(r, func(int) bool { return true })
}

// ReadReserved is Read with the memory of a large event reserved before the event is held. It returns ErrNoMemory if there is none.
func ReadReserved(r *bufio.Reader, reserve func(n int) bool) (Event, error) {
	var b []byte
	reserved := smallEvent
	line := 0 // where the line under way begins in b
	for {
		l, err := r.ReadSlice('\n')
		for len(b)+len(l) > reserved {
			if !reserve(reserved) {
				return Event{}, ErrNoMemory
			}
			reserved *= 2
		}
		b = append(b, l...)
		if len(b) > maxEventBytes {
			return Event{}, errors.New("the event exceeds 1 MiB")
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err == io.EOF && len(b) > 0 {
			return Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		if len(bytes.TrimRight(b[line:], "\r\n")) == 0 && len(bytes.TrimSpace(b)) > 0 {
			return parse(b), nil
		}
		line = len(b)
	}
}

// Data returns the data lines of the event, separated by line feeds.
func (e Event) Data() []byte {
	var d []byte
	first := true
	for l := range bytes.Lines(e.Raw) {
		v, ok := bytes.CutPrefix(bytes.TrimRight(l, "\r\n"), dataField)
		if !ok {
			continue
		}
		if !first {
			d = append(d, '\n')
		}
		first = false
		d = append(d, bytes.TrimPrefix(v, []byte(" "))...)
	}
	return d
}

// Comment reports whether the event holds nothing but comments, by which an upstream keeps its stream open.
func (e Event) Comment() bool {
	for l := range bytes.Lines(e.Raw) {
		if l = bytes.TrimRight(l, "\r\n"); len(l) > 0 && l[0] != ':' {
			return false
		}
	}
	return true
}

func parse(b []byte) Event {
	e := Event{Raw: b}
	for l := range bytes.Lines(b) {
		v, ok := bytes.CutPrefix(l, idField)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(string(bytes.TrimSpace(v)), 10, 63)
		e.ID, e.Numbered = n, err == nil
		break
	}
	return e
}
