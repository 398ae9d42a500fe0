package headgrammar

import "fmt"

// Fault is the first byte of a head or trailer that breaks the grammar.
type Fault struct {
	// Byte is the byte, Offset its index in the section, and Line its line, counted from one.
	Byte   byte
	Offset int
	Line   int
	// Rule is the rule that the byte breaks.
	Rule string
}

// Error implements error.Error. Its text holds the byte, which callers are not told.
func (f *Fault) Error() string {
	return fmt.Sprintf("%s: byte 0x%02x at offset %d in line %d", f.Rule, f.Byte, f.Offset, f.Line)
}
