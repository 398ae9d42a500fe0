package jsonc

import (
	"bytes"
	"sort"

	"github.com/tailscale/hujson"

	"siskinrun/internal/product/diagnostic"
)

// maxDepth bounds the nesting of values, since parsing is recursive.
const maxDepth = 64

// Node is a parsed value with its file and line.
type Node struct {
	// File is the name of the file as it was opened.
	File string
	// Line is the line on which the value starts, counted from 1.
	Line int

	kind     hujson.Kind
	literal  hujson.Literal
	members  map[string]*Node
	elements []*Node
}

// Parse parses the contents of a file and adds syntax errors to f. It returns nil if the contents cannot be parsed.
func Parse(file string, b []byte, f *diagnostic.List) *Node {
	if tooDeep(b) {
		f.Add(file, 1, "", "values are nested more than %d deep", maxDepth)
		return nil
	}
	v, err := hujson.Parse(b)
	if err != nil {
		f.Add(file, 1, "", "%v", err)
		return nil
	}
	p := &parser{file: file, lineStarts: findLineStarts(b), diagnostics: f}
	return p.value(&v, "")
}

// Merge applies overlay to base as a JSON merge patch (RFC 7396) and returns the result.
func Merge(base, overlay *Node) *Node {
	if overlay.kind != '{' {
		return overlay
	}
	m := *overlay
	m.members = map[string]*Node{}
	if base != nil && base.kind == '{' {
		m.File, m.Line = base.File, base.Line
		for k, v := range base.members {
			m.members[k] = v
		}
	}
	for k, v := range overlay.members {
		if v.kind == 'n' {
			delete(m.members, k)
			continue
		}
		m.members[k] = Merge(m.members[k], v)
	}
	return &m
}

// Names returns the sorted names of the members of an object.
func (d *Node) Names() []string {
	var n []string
	for k := range d.members {
		n = append(n, k)
	}
	sort.Strings(n)
	return n
}

type parser struct {
	file        string
	lineStarts  []int
	diagnostics *diagnostic.List
}

func (p *parser) value(v *hujson.Value, field string) *Node {
	d := &Node{File: p.file, Line: p.line(v.StartOffset), kind: v.Value.Kind()}
	switch t := v.Value.(type) {
	case hujson.Literal:
		d.literal = t
	case *hujson.Object:
		p.object(d, t, field)
	case *hujson.Array:
		for i := range t.Elements {
			d.elements = append(d.elements, p.value(&t.Elements[i], field))
		}
	}
	return d
}

func (p *parser) object(d *Node, o *hujson.Object, field string) {
	d.members = map[string]*Node{}
	for i := range o.Members {
		m := &o.Members[i]
		n := m.Name.Value.(hujson.Literal).String()
		path := JoinPath(field, n)
		if old, ok := d.members[n]; ok {
			l := p.line(m.Name.StartOffset)
			p.diagnostics.Add(p.file, l, path, "is given twice, first on line %d", old.Line)
			continue
		}
		d.members[n] = p.value(&m.Value, path)
	}
}

func (p *parser) line(offset int) int {
	return sort.SearchInts(p.lineStarts, offset+1)
}

// JoinPath returns the path of a member of the object at field.
func JoinPath(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

func findLineStarts(b []byte) []int {
	s := []int{0}
	for i, c := range b {
		if c == '\n' {
			s = append(s, i+1)
		}
	}
	return s
}

// tooDeep reports whether brackets outside strings and comments nest deeper than maxDepth.
// It runs before the recursive parser to bound its stack.
func tooDeep(b []byte) bool {
	n := 0
	for i := 0; i < len(b); i++ {
		switch b[i] {
		case '"':
			i += stringEnd(b[i:])
		case '/':
			i += commentEnd(b[i:])
		case '[', '{':
			n++
		case ']', '}':
			n--
		}
		if n > maxDepth {
			return true
		}
	}
	return false
}

// stringEnd returns the offset of the closing quote of the string at the start of b.
func stringEnd(b []byte) int {
	for i := 1; i < len(b); i++ {
		switch b[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(b)
}

// commentEnd returns the offset of the last byte of the comment at the start of b, or 0 if there is none.
func commentEnd(b []byte) int {
	switch {
	case bytes.HasPrefix(b, []byte("//")):
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			return len(b)
		}
		return end
	case bytes.HasPrefix(b, []byte("/*")):
		end := bytes.Index(b[2:], []byte("*/"))
		if end < 0 {
			return len(b)
		}
		return end + len("/**/") - 1
	}
	return 0
}
