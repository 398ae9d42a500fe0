package answerhead

import (
	"bufio"
	"bytes"
	"strconv"
)

// peekStatus returns the status of the head that follows and reads nothing of it. The HTTP library takes the status 000 for none
// and reports 200.
func peekStatus(in *bufio.Reader) (int, error) {
	line, err := peekLine(in)
	if err != nil {
		return 0, err
	}
	_, rest, ok := bytes.Cut(bytes.TrimRight(line, "\r"), []byte(" "))
	if !ok {
		return 0, ErrNoStatusLine
	}
	text, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	s, err := strconv.Atoi(string(text))
	if err != nil {
		return 0, ErrMalformedStatus
	}
	return s, nil
}

// peekLine returns the first line that follows and is not empty, and reads nothing of it.
func peekLine(in *bufio.Reader) ([]byte, error) {
	for n := 1; ; n = in.Buffered() + 1 {
		if _, err := in.Peek(n); err != nil {
			return nil, err
		}
		b, err := in.Peek(in.Buffered())
		if err != nil {
			return nil, err
		}
		b = bytes.TrimLeft(b, "\r\n")
		if i := bytes.IndexByte(b, '\n'); i >= 0 {
			return b[:i], nil
		}
	}
}
