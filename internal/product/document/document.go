package document

import (
	"bytes"
	"sort"

	"github.com/tailscale/hujson"

	"siskinrun/internal/product/fault"
)

// maxDepth bounds the nesting of values.
const maxDepth = 64

// Document is one value with the file and the line where it was written.
type Document struct {
	// File is the name of the file as it was opened.
	File string
	// Line is the line on which the value begins, from 1.
	Line int

	kind     hujson.Kind
	literal  hujson.Literal
	members  map[string]*Document
	elements []*Document
}

// Parse reads a file's bytes and adds what is wrong with its syntax to f.
func Parse(file string, b []byte, f *fault.List) *Document {
	if deep(b) {
		f.Add(file, 1, "", "values are nested more than %d deep", maxDepth)
		return nil
	}
	v, err := hujson.Parse(b)
	if err != nil {
		f.Add(file, 1, "", "%v", err)
		return nil
	}
	p := &parser{file: file, lines: lineStarts(b), faults: f}
	return p.value(&v, "")
}

// Merge returns base changed by overlay as a JSON merge patch.
func Merge(base, overlay *Document) *Document {
	if overlay.kind != '{' {
		return overlay
	}
	m := *overlay
	m.members = map[string]*Document{}
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
func (d *Document) Names() []string {
	var n []string
	for k := range d.members {
		n = append(n, k)
	}
	sort.Strings(n)
	return n
}

type parser struct {
	file   string
	lines  []int
	faults *fault.List
}

func (p *parser) value(v *hujson.Value, field string) *Document {
	d := &Document{File: p.file, Line: p.line(v.StartOffset), kind: v.Value.Kind()}
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

func (p *parser) object(d *Document, o *hujson.Object, field string) {
	d.members = map[string]*Document{}
	for i := range o.Members {
		m := &o.Members[i]
		n := m.Name.Value.(hujson.Literal).String()
		path := Join(field, n)
		if old, ok := d.members[n]; ok {
			l := p.line(m.Name.StartOffset)
			p.faults.Add(p.file, l, path, "is given twice, first on line %d", old.Line)
			continue
		}
		d.members[n] = p.value(&m.Value, path)
	}
}

func (p *parser) line(offset int) int {
	return sort.SearchInts(p.lines, offset+1)
}

// Join returns the path of a member.
func Join(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

func lineStarts(b []byte) []int {
	s := []int{0}
	for i, c := range b {
		if c == '\n' {
			s = append(s, i+1)
		}
	}
	return s
}

// deep reports whether brackets outside strings and comments nest too deep for a recursive reader.
func deep(b []byte) bool {
	n := 0
	for i := 0; i < len(b); i++ {
		switch b[i] {
		case '"':
			i += quoted(b[i:])
		case '/':
			i += comment(b[i:])
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

// quoted returns the offset of the quote that ends the string at the start of b.
func quoted(b []byte) int {
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

// comment returns the offset of the last byte of the comment at the start of b.
func comment(b []byte) int {
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
