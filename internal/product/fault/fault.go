package fault

import (
	"fmt"
	"sort"
	"strings"
)

// List is every fault found so far, each with its file, line and field.
type List struct {
	faults []fault
}

type fault struct {
	file    string
	line    int
	field   string
	message string
}

// Add notes a fault.
func (l *List) Add(file string, line int, field, format string, args ...any) {
	l.faults = append(l.faults, fault{file, line, field, fmt.Sprintf(format, args...)})
}

// Len returns the number of faults.
func (l *List) Len() int {
	return len(l.faults)
}

// Fields returns the fields that have a fault so far.
func (l *List) Fields() map[string]bool {
	m := map[string]bool{}
	for _, f := range l.faults {
		m[f.field] = true
	}
	return m
}

// Err returns the list as an error, or nil if it is empty.
func (l *List) Err() error {
	if len(l.faults) == 0 {
		return nil
	}
	return l
}

// Error implements error.Error.
func (l *List) Error() string {
	f := append([]fault(nil), l.faults...)
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
