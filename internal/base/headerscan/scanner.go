package headerscan

import (
	"bytes"
)

// prefixLength is how much of the begin of a line is kept, enough for a Content-Length of any permitted size.
const prefixLength = 40

var lengthName = []byte("content-length:")

// Scanner counts the lines of one header section.
type Scanner struct {
	// MaxLines bounds the lines, zero for no bound.
	MaxLines int

	lines int
	// prefix holds the begin of the current line, and kept its length.
	prefix [prefixLength]byte
	kept   int
	// ended says that the empty line at the end came.
	ended  bool
	length int64
}

// Scan takes bytes of a request. It returns false if they begin a line beyond MaxLines, which stands at the index.
func (s *Scanner) Scan(p []byte) (index int, ok bool) {
	for i := 0; i < len(p) && !s.ended; {
		n := bytes.IndexByte(p[i:], '\n')
		line := p[i:]
		if n >= 0 {
			line = p[i : i+n]
		}
		s.kept += copy(s.prefix[s.kept:], line)
		if n < 0 {
			break
		}
		i += n + 1
		s.endLine()
		if s.MaxLines > 0 && s.lines > s.MaxLines && !s.ended {
			return i, false
		}
	}
	return len(p), true
}

// Lines returns the number of lines that came, without empty ones.
func (s *Scanner) Lines() int { return s.lines }

// Ended reports whether the header section is complete.
func (s *Scanner) Ended() bool { return s.ended }

// ContentLength returns the announced length of the body, zero if there is none.
func (s *Scanner) ContentLength() int64 { return s.length }

func (s *Scanner) endLine() {
	l := bytes.TrimRight(s.prefix[:s.kept], "\r")
	s.kept = 0
	switch {
	case len(l) > 0:
		s.lines++
		s.readLength(l)
	case s.lines > 0:
		s.ended = true
	}
}

func (s *Scanner) readLength(line []byte) {
	if len(line) <= len(lengthName) || !bytes.EqualFold(line[:len(lengthName)], lengthName) {
		return
	}
	n := int64(0)
	for _, c := range bytes.TrimSpace(line[len(lengthName):]) {
		if c < '0' || c > '9' || n > 1<<50 {
			return
		}
		n = n*10 + int64(c-'0')
	}
	s.length = n
}
