package jsonc

import (
	"bytes"
	"encoding"
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"siskinrun/internal/product/diagnostic"
)

// Decode stores d in the value that to points at and adds every type mismatch and unknown field to f.
func (d *Node) Decode(to any, f *diagnostic.List) {
	c := &decoder{diagnostics: f}
	c.decode(d, reflect.ValueOf(to).Elem(), "")
}

// Find returns the value at a path, or the innermost existing value on the way to it.
func (d *Node) Find(path string) *Node {
	for n, m := range d.members {
		if path == n {
			return m
		}
		if rest, ok := strings.CutPrefix(path, n+"."); ok {
			return m.Find(rest)
		}
	}
	return d
}

type decoder struct {
	diagnostics *diagnostic.List
}

func (c *decoder) decode(d *Node, v reflect.Value, path string) {
	if t, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		c.decodeText(d, t, path)
		return
	}
	if t, ok := v.Addr().Interface().(json.Unmarshaler); ok {
		if err := t.UnmarshalJSON(d.json()); err != nil {
			c.diagnostics.Add(d.File, d.Line, path, "%v", err)
		}
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		c.decodeObject(d, v, path)
	case reflect.Map:
		c.decodeMap(d, v, path)
	case reflect.Slice:
		c.decodeList(d, v, path)
	default:
		c.decodeScalar(d, v, path)
	}
}

func (c *decoder) decodeText(d *Node, t encoding.TextUnmarshaler, path string) {
	if d.kind != '"' {
		c.addMismatch(d, path, "text")
		return
	}
	if err := t.UnmarshalText([]byte(d.literal.String())); err != nil {
		c.diagnostics.Add(d.File, d.Line, path, "%v", err)
	}
}

// json returns a list or a scalar as JSON. Types that decode themselves have no objects.
func (d *Node) json() []byte {
	switch d.kind {
	case '{':
		return []byte("{}")
	case '[':
		l := make([][]byte, 0, len(d.elements))
		for _, e := range d.elements {
			l = append(l, e.json())
		}
		return slices.Concat([]byte("["), bytes.Join(l, []byte(",")), []byte("]"))
	}
	return d.literal
}

func (c *decoder) decodeObject(d *Node, v reflect.Value, path string) {
	if d.kind != '{' {
		c.addMismatch(d, path, "an object")
		return
	}
	fields := map[string]reflect.Value{}
	for i := range v.NumField() {
		n, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		if n != "" && n != "-" {
			fields[n] = v.Field(i)
		}
	}
	for _, n := range d.Names() {
		m := d.members[n]
		p := JoinPath(path, n)
		f, ok := fields[n]
		if !ok {
			c.diagnostics.Add(m.File, m.Line, p, "is not a known field")
			continue
		}
		c.decode(m, f, p)
	}
}

func (c *decoder) decodeMap(d *Node, v reflect.Value, path string) {
	if d.kind != '{' {
		c.addMismatch(d, path, "an object")
		return
	}
	v.Set(reflect.MakeMap(v.Type()))
	for _, n := range d.Names() {
		e := reflect.New(v.Type().Elem()).Elem()
		c.decode(d.members[n], e, JoinPath(path, n))
		v.SetMapIndex(reflect.ValueOf(n), e)
	}
}

func (c *decoder) decodeList(d *Node, v reflect.Value, path string) {
	if d.kind != '[' {
		c.addMismatch(d, path, "a list")
		return
	}
	s := reflect.MakeSlice(v.Type(), len(d.elements), len(d.elements))
	for i, e := range d.elements {
		if e.kind == 'n' && s.Index(i).Kind() == reflect.Map {
			continue // a template that has no such table may write null
		}
		c.decode(e, s.Index(i), path)
	}
	v.Set(s)
}

func (c *decoder) decodeScalar(d *Node, v reflect.Value, path string) {
	want := map[reflect.Kind]string{
		reflect.String:  "text",
		reflect.Bool:    "true or false",
		reflect.Int:     "a whole number in range",
		reflect.Int64:   "a whole number in range",
		reflect.Float64: "a number",
	}[v.Kind()]
	if d.kind == '{' || d.kind == '[' || d.kind == 'n' {
		c.addMismatch(d, path, want)
		return
	}
	if json.Unmarshal(d.literal, v.Addr().Interface()) != nil {
		c.addMismatch(d, path, want)
	}
}

func (c *decoder) addMismatch(d *Node, path, want string) {
	c.diagnostics.Add(d.File, d.Line, path, "must be %s", want)
}
