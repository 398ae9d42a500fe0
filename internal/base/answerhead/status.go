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
	_, rest, ok := bytes.Cut(line, []byte(" "))
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
	b, err := peekSection(in, lineLength)
	return bytes.Trim(b, "\r\n"), err
}

// lineLength returns the length of the first line that is not empty, with the empty ones before it, zero if it is not whole.
func lineLength(b []byte) int {
	n := len(b) - len(bytes.TrimLeft(b, "\r\n"))
	i := bytes.IndexByte(b[n:], '\n')
	if i < 0 {
		return 0
	}
	return n + i + 1
}
