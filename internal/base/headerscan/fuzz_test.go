package headerscan_test

import (
	"bytes"
	"testing"

	"siskinrun/internal/base/headerscan"
)

// FuzzScan guards against inputs of which the pieces are counted unlike the whole, more lines than the bound, and indexes beyond
// the bytes.
func FuzzScan(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n\r\nbody\n"), 7, 3)
	f.Add([]byte("a\nb\nc\nd\n"), 3, 2)
	f.Add([]byte("\r\n\r\nGET / HTTP/1.1\na:\n b\n\n"), 1, 0)
	f.Add([]byte("content-length: 99999999999999999999999\r\r\n\r\n"), 20, 1)
	f.Fuzz(func(t *testing.T, p []byte, cut, lines int) {
		lines = max(0, min(lines, 100))
		whole, parts := headerscan.Scanner{MaxLines: lines}, headerscan.Scanner{MaxLines: lines}
		n, ok := whole.Scan(p)
		cut = max(0, min(cut, len(p)))
		m, same := parts.Scan(p[:cut])
		if same {
			m, same = parts.Scan(p[cut:])
			m += cut
		}
		if n != m || ok != same || whole.Lines() != parts.Lines() || whole.Ended() != parts.Ended() || whole.ContentLength() != parts.ContentLength() {
			t.Fatalf("%q cut at %d: %d %t %d lines as a whole, %d %t %d in pieces", p, cut, n, ok, whole.Lines(), m, same, parts.Lines())
		}
		if n > len(p) || whole.Lines() > bytes.Count(p, []byte("\n")) || ok && lines > 0 && whole.Lines() > lines || whole.ContentLength() < 0 {
			t.Fatalf("%q: index %d, %d lines of %d, length %d", p, n, whole.Lines(), lines, whole.ContentLength())
		}
	})
}
