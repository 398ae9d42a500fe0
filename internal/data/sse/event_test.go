package sse_test

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/data/sse"
)

func TestRead(t *testing.T) {
	for _, c := range []struct {
		name, in string
		data     []string
		ids      []uint64
		end      error
	}{
		{"numbered", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"a", "b"}, []uint64{1, 2}, io.EOF},
		{"multiple data lines", "data: a\ndata:b\r\n\r\n", []string{"a\nb"}, []uint64{0}, io.EOF},
		{"unknown first field", "x-version:3\nid: 7\ndata: a\n\n", []string{"a"}, []uint64{7}, io.EOF},
		{"truncated within an event", "id: 1\ndata: a\n\nid: 2\nda", []string{"a"}, []uint64{1}, io.ErrUnexpectedEOF},
		{"truncated before the empty line", "id: 1\ndata: a\n", nil, nil, io.ErrUnexpectedEOF},
		{"empty", "", nil, nil, io.EOF},
		{"comments", ":\n\nid: 1\ndata: a\n\n: c\n: d\r\n\r\n:\n\nid: 2\n: e\ndata: b\n\n:\n\n", []string{"a", "b"}, []uint64{1, 2}, io.EOF},
		{"comments only", ":\n\n: c\n\n", nil, nil, io.EOF},
		{"truncated within a comment", "id: 1\ndata: a\n\n: c\n", []string{"a"}, []uint64{1}, io.ErrUnexpectedEOF},
		{"truncated after a comment", ":\n\nid: 1\n", nil, nil, io.ErrUnexpectedEOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := bufio.NewReader(strings.NewReader(c.in))
			var data []string
			var ids []uint64
			for {
				e, err := sse.Read(r)
				if err != nil {
					is.Equal(err, c.end)
					break
				}
				if e.Comment() {
					continue
				}
				data = append(data, string(e.Data()))
				ids = append(ids, e.ID)
			}
			is.Equal(data, c.data)
			is.Equal(ids, c.ids)
		})
	}
}

func FuzzRead(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Fuzz(func(t *testing.T, s string) {
		r := bufio.NewReader(strings.NewReader(s))
		n := 0
		for {
			e, err := sse.Read(r)
			if err != nil {
				break
			}
			n += len(e.Raw)
		}
		if n > len(s) {
			t.Fatalf("%d bytes of events from %d", n, len(s))
		}
	})
}

// TestLongLineEndsNoEvent guards against an event that ends at the end of a line that fills the reader's buffer.
func TestLongLineEndsNoEvent(t *testing.T) {
	const buffer = 64
	for n := 2*buffer - 10; n < 2*buffer+10; n++ {
		is := is.New(t)
		long := strings.Repeat("x", n)
		r := bufio.NewReaderSize(strings.NewReader("id: 1\ndata:"+long+"\ndata:y\n\nid: 2\r\ndata:"+long+"\r\n\r\n"), buffer)
		e, err := sse.Read(r)
		is.NoErr(err)
		is.Equal(string(e.Data()), long+"\ny")
		e, err = sse.Read(r)
		is.NoErr(err)
		is.Equal(string(e.Data()), long)
		_, err = sse.Read(r)
		is.Equal(err, io.EOF)
	}
}
