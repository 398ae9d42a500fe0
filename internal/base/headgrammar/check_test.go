package headgrammar_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"siskinrun/internal/base/headgrammar"
)

const statusLine = "HTTP/1.1 200 OK\r\n"

// TestCheckHead says which byte of a head breaks the grammar, if one does.
func TestCheckHead(t *testing.T) {
	for _, c := range []struct {
		head   string
		offset int // -1 for none
		line   int
	}{
		{statusLine + "\r\n", -1, 0},
		{"\r\n\n" + statusLine + "X-Odd: 1\r\n\r\n", -1, 0},
		{"HTTP/1.1 200\n\n", -1, 0},
		{"HTTP/1.1 200 \xff\tOK\r\nX-Odd:1\nX-Even:\r\nX-Last: \x80\xff\t\r\n\r\n", -1, 0},
		{statusLine + "\r\nX Odd\x00", -1, 0}, // the body
		{"HTTP/1.1 200 O\x01K\r\n\r\n", 14, 1},
		{"HTTP/1.1 200 OK\r\r\n\r\n", 15, 1},
		{statusLine + "X-Odd Name: 1\r\n\r\n", 22, 2},
		{statusLine + "X-Odd : 1\r\n\r\n", 22, 2},
		{statusLine + "X-Odd\t: 1\r\n\r\n", 22, 2},
		{statusLine + " X-Odd: 1\r\n\r\n", 17, 2},
		{statusLine + "X-Odd: 1\r\n\tb\r\n\r\n", 27, 3},
		{statusLine + "X-Odd\r\n\r\n", 22, 2},
		{statusLine + "X-Odd\n\r\n", 22, 2},
		{statusLine + ": 1\r\n\r\n", 17, 2},
		{statusLine + "X-Odd: 1\r\nX-O\xffdd: 1\r\n\r\n", 30, 3},
		{statusLine + "X-Odd: 1\x002\r\n\r\n", 25, 2},
		{statusLine + "X-Odd: 1\r2\r\n\r\n", 25, 2},
		{statusLine + "X-Odd: 1\x7f\r\n\r\n", 25, 2},
		{"\r\n" + statusLine + "X Odd: 1\r\n\r\n", 20, 3},
	} {
		t.Run(fmt.Sprintf("%q", c.head), func(t *testing.T) {
			is := is.New(t)
			err := headgrammar.CheckHead([]byte(c.head))
			is.Equal(err != nil, c.offset >= 0)
			if err != nil {
				var f *headgrammar.Fault
				is.True(errors.As(err, &f))
				is.Equal(f.Offset, c.offset)
				is.Equal(f.Line, c.line)
				is.Equal(f.Byte, c.head[c.offset])
			}
		})
	}
}

// TestNamesAreTokens says which characters the name of a field may hold: RFC 9110, 5.6.2.
func TestNamesAreTokens(t *testing.T) {
	const token = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
	for c := range 0x100 {
		b := byte(c)
		if b == '\n' || b == '\r' || b == ':' {
			continue // these end a line or the name
		}
		err := headgrammar.CheckFields([]byte{'a', b, 'a', ':', '\r', '\n', '\r', '\n'})
		is.New(t).Equal(err == nil, strings.IndexByte(token, b) >= 0)
		is.New(t).Equal(headgrammar.IsName([]byte{'a', b, 'a'}), strings.IndexByte(token, b) >= 0)
	}
	is.New(t).True(!headgrammar.IsName(nil))
}

// FuzzCheckHead guards against heads that end the process, and against faults outside the head.
func FuzzCheckHead(f *testing.F) {
	f.Add([]byte(statusLine + "X-Odd: 1\r\n b\r\n\r\n"))
	f.Add([]byte("\n\n\nX"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var f *headgrammar.Fault
		if errors.As(headgrammar.CheckHead(b), &f) && b[f.Offset] != f.Byte {
			t.Fatalf("%q: %v", b, f)
		}
	})
}
