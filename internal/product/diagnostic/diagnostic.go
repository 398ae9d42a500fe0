package diagnostic

import (
	"fmt"
	"sort"
	"strings"
)

// List holds the errors found so far, each with its file, line and field.
type List struct {
	diagnostics []diagnostic
}

type diagnostic struct {
	file    string
	line    int
	field   string
	message string
}

// Add adds an error.
func (l *List) Add(file string, line int, field, format string, args ...any) {
	l.diagnostics = append(l.diagnostics, diagnostic{file, line, field, fmt.Sprintf(format, args...)})
}

// Len returns the number of errors.
func (l *List) Len() int {
	return len(l.diagnostics)
}

// Fields returns the fields that have an error so far.
func (l *List) Fields() map[string]bool {
	m := map[string]bool{}
	for _, f := range l.diagnostics {
		m[f.field] = true
	}
	return m
}

// Err returns the list as an error, or nil if it is empty.
func (l *List) Err() error {
	if len(l.diagnostics) == 0 {
		return nil
	}
	return l
}

// Error implements error. It lists the errors by file and line, one on each line.
func (l *List) Error() string {
	f := append([]diagnostic(nil), l.diagnostics...)
	sort.SliceStable(f, func(i, j int) bool {
		if f[i].file != f[j].file {
			return f[i].file < f[j].file
		}
		return f[i].line < f[j].line
	})
	var b strings.Builder
	for i, e := range f {
		if i > 0 {
			b.WriteByte('\n')
		}
		fmt.Fprintf(&b, "%s:%d: ", e.file, e.line)
		if e.field != "" {
			b.WriteString(e.field + ": ")
		}
		b.WriteString(e.message)
	}
	return b.String()
}
