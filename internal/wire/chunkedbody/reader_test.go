package chunkedbody_test

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"siskinrun/internal/base/headgrammar"
	"siskinrun/internal/wire/chunkedbody"
)

func read(r io.Reader) (string, error) {
	h := &fasthttp.ResponseHeader{}
	b, err := io.ReadAll(&chunkedbody.Reader{In: bufio.NewReader(r), Trailer: h.ReadTrailer})
	return string(b), err
}

// TestReader says which bodies are whole, and which of the others break the grammar of a trailer.
func TestReader(t *testing.T) {
	for _, c := range []struct {
		body         string
		whole, fault bool
	}{
		{"1\r\na\r\n2;x=y\r\nbc\r\n0\r\n\r\n", true, false},
		{"3\r\nabc\r\n00\r\nX-Odd: 1\r\nx-even:\xff\r\n\r\n", true, false},
		{"3\r\nabc\r\n0\r\nX Odd: 1\r\n\r\n", false, true},
		{"3\r\nabc\r\n0\r\nX-Odd : 1\r\n\r\n", false, true},
		{"3\r\nabc\r\n0\r\nX-Odd: 1\r\n 2\r\n\r\n", false, true},
		{"3\r\nabc\r\n0\r\nX-Odd: \x01\r\n\r\n", false, true},
		{"3\r\nabc\r\n0\r\nX-Odd\r\n\r\n", false, true},
		{"3\r\nabc\r\n0\r\nContent-Length: 3\r\n\r\n", false, false},
		{"3\r\nabc\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n", false, false},
		{"3\r\nabc\r\n0\r\nX-Odd: 1\r\n", false, false},
		{"3\r\nabc\r\n0\r\n", false, false},
		{"3\r\nabc\r\n", false, false},
		{"4\r\nabc", false, false},
		{"3\r\nabcd\r\n0\r\n\r\n", false, false},
		{"3\r\nabc\r\n-1\r\n\r\n", false, false},
		{"3\r\nabc\r\n\r\n\r\n", false, false},
	} {
		t.Run(fmt.Sprintf("%q", c.body), func(t *testing.T) {
			is := is.New(t)
			for _, r := range []io.Reader{strings.NewReader(c.body), iotest.OneByteReader(strings.NewReader(c.body))} {
				b, err := read(r)
				is.True(strings.HasPrefix("abc", b))
				is.Equal(err == nil, c.whole)
				var f *headgrammar.Fault
				is.Equal(errors.As(err, &f), c.fault)
			}
		})
	}
}

// TestErrorStays guards against a broken body that ends as whole once it is read again.
func TestErrorStays(t *testing.T) {
	for _, body := range []string{"3\r\nabc\r\n0\r\nX Odd: 1\r\n\r\n", "1\r\na\r\n0\r\n\r\n"} {
		is := is.New(t)
		r := &chunkedbody.Reader{In: bufio.NewReader(strings.NewReader(body)), Trailer: (&fasthttp.ResponseHeader{}).ReadTrailer}
		_, first := io.Copy(io.Discard, r)
		for range 3 {
			_, again := r.Read(make([]byte, 1))
			is.Equal(again == io.EOF, first == nil)
		}
	}
}
