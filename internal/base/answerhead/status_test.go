package answerhead

import (
	"bufio"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// bufferSize is the size of the buffer in which a head must stand.
const bufferSize = 16 << 10

// TestPeekStatus says which status a head has, and that nothing of it is read.
func TestPeekStatus(t *testing.T) {
	for _, c := range []struct {
		head   string
		status int
		ok     bool
	}{
		{"HTTP/1.1 200 OK\r\n\r\n", 200, true},
		{"HTTP/1.1 200\r\n\r\n", 200, true},
		{"HTTP/1.1   204 No Content\r\n\r\n", 204, true},
		{"HTTP/1.0 502 Bad Gateway\n\n", 502, true},
		{"\r\n\r\nHTTP/1.1 404 Not Found\r\n\r\n", 404, true},
		{"HTTP/1.1 000 OK\r\n\r\n", 0, true},
		{"HTTP/1.1 2000 OK\r\n\r\n", 2000, true},
		{"HTTP/1.1 abc OK\r\n\r\n", 0, false},
		{"HTTP/1.1\r\n\r\n", 0, false},
		{"HTTP/1.1 200", 0, false},
		{strings.Repeat("x", bufferSize+1), 0, false},
		{"", 0, false},
	} {
		is := is.New(t)
		r := bufio.NewReaderSize(strings.NewReader(c.head), bufferSize)
		s, err := peekStatus(r)
		is.Equal(err == nil, c.ok)
		is.Equal(s, c.status)
		if c.ok {
			l, _ := r.ReadString('\n')
			is.True(strings.HasPrefix(c.head, l))
		}
	}
}
