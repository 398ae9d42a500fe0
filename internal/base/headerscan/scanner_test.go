package headerscan_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"siskinrun/internal/base/headerscan"
)

// TestLinesAreCountedUpToTheBody guards against lines of a body that count as header lines.
func TestLinesAreCountedUpToTheBody(t *testing.T) {
	is := is.New(t)
	s := headerscan.Scanner{MaxLines: 3}
	_, ok := s.Scan([]byte("\r\nPOST / HTTP/1.1\r\nHost: a\r\ncontent-LENGTH: 12\r\n\r\n" + strings.Repeat("a\n", 6)))
	is.True(ok)
	is.True(s.Ended())
	is.Equal(s.Lines(), 3)
	is.Equal(s.ContentLength(), int64(12))
}

// TestALineTooManyIsFound guards against a bound that one more line passes, and against bytes handed on behind it.
func TestALineTooManyIsFound(t *testing.T) {
	is := is.New(t)
	s := headerscan.Scanner{MaxLines: 2}
	p := []byte("GET / HTTP/1.1\na:\n b\nc:")
	n, ok := s.Scan(p)
	is.True(!ok)
	is.Equal(string(p[n:]), "c:")
}

// TestPiecesCountAsTheWhole guards against lines that are miscounted where a read ends.
func TestPiecesCountAsTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOf(rapid.SampledFrom([]string{"\r\n", "\n", "a:b", "content-length: 7", "\r", " "})).Draw(t, "text"), "")
		whole, parts := headerscan.Scanner{}, headerscan.Scanner{}
		whole.Scan([]byte(text))
		for rest := text; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "n")
			parts.Scan([]byte(rest[:n]))
			rest = rest[n:]
		}
		if whole.Lines() != parts.Lines() || whole.Ended() != parts.Ended() || whole.ContentLength() != parts.ContentLength() {
			t.Fatalf("%q: %d lines as a whole, %d in pieces", text, whole.Lines(), parts.Lines())
		}
	})
}
