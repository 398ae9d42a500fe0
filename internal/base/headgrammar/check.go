package headgrammar

import "bytes"

// The rules that a section can break.
const (
	ruleStatusLine = "a status line holds no control byte"
	ruleFold       = "no line continues the one before"
	ruleNoName     = "a field has a name"
	ruleName       = "the name of a field is a token"
	ruleColon      = "a colon follows the name of a field"
	ruleValue      = "the value of a field holds no control byte"
)

// section is a head or trailer that is being checked.
type section struct {
	text   []byte
	offset int
	line   int
}

// CheckHead returns the first fault of the head of an answer, which may have empty lines before it, as a *Fault, or nil.
func CheckHead(head []byte) error {
	s := &section{text: head}
	for {
		l, ok := s.next()
		if !ok {
			return nil
		}
		if len(l) == 0 {
			continue
		}
		if i := controlByte(l); i >= 0 {
			return s.fault(i, ruleStatusLine)
		}
		return s.checkFields()
	}
}

// CheckFields returns the first fault of lines with one field each, up to the empty line behind them, as a *Fault, or nil.
func CheckFields(lines []byte) error {
	return (&section{text: lines}).checkFields()
}

func (s *section) checkFields() error {
	for {
		l, ok := s.next()
		if !ok || len(l) == 0 {
			return nil
		}
		if err := s.checkField(l); err != nil {
			return err
		}
	}
}

// checkField returns the first fault of a line with a field, or nil. RFC 9112, 5.2 lets a recipient reject a line that continues the
// one before.
func (s *section) checkField(l []byte) error {
	if l[0] == ' ' || l[0] == '\t' {
		return s.fault(0, ruleFold)
	}
	n := bytes.IndexFunc(l, func(r rune) bool { return !isToken(r) })
	switch {
	case n < 0:
		return s.fault(len(l), ruleColon)
	case l[n] != ':':
		return s.fault(n, ruleName)
	case n == 0:
		return s.fault(n, ruleNoName)
	}
	if i := controlByte(l[n+1:]); i >= 0 {
		return s.fault(n+1+i, ruleValue)
	}
	return nil
}

// next moves to the next line and returns it without its end.
func (s *section) next() ([]byte, bool) {
	if s.line > 0 {
		n := bytes.IndexByte(s.text[s.offset:], '\n')
		if n < 0 {
			return nil, false
		}
		s.offset += n + 1
	}
	s.line++
	l, _, ok := bytes.Cut(s.text[s.offset:], []byte("\n"))
	return bytes.TrimSuffix(l, []byte("\r")), ok
}

// fault returns the fault at an index of the current line.
func (s *section) fault(i int, rule string) error {
	return &Fault{Byte: s.text[s.offset+i], Offset: s.offset + i, Line: s.line, Rule: rule}
}

// controlByte returns the index of the first byte that neither a value nor a status line may hold, or -1. Bytes above 0x7f may stand
// there.
func controlByte(b []byte) int {
	for i, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return i
		}
	}
	return -1
}

// IsName reports whether b may be the name of a field.
func IsName(b []byte) bool {
	return len(b) > 0 && bytes.IndexFunc(b, func(r rune) bool { return !isToken(r) }) < 0
}

// isToken reports whether the name of a field may hold a character.
func isToken(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return r < 0x80 && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), byte(r)) >= 0
}
