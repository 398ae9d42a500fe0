package document

import (
	"encoding"
	"encoding/json"
	"reflect"
	"strings"

	"siskinrun/internal/product/fault"
)

// Decode stores d in the value that to points at and adds every mismatch to f.
func (d *Document) Decode(to any, f *fault.List) {
	c := &decoder{faults: f}
	c.decode(d, reflect.ValueOf(to).Elem(), "")
}

// Find returns the value at a path, or the innermost one that holds it.
func (d *Document) Find(path string) *Document {
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
	faults *fault.List
}

func (c *decoder) decode(d *Document, v reflect.Value, path string) {
	if t, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		c.text(d, t, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		c.object(d, v, path)
	case reflect.Map:
		c.table(d, v, path)
	case reflect.Slice:
		c.list(d, v, path)
	default:
		c.scalar(d, v, path)
	}
}

func (c *decoder) text(d *Document, t encoding.TextUnmarshaler, path string) {
	if d.kind != '"' {
		c.mismatch(d, path, "text")
		return
	}
	if err := t.UnmarshalText([]byte(d.literal.String())); err != nil {
		c.faults.Add(d.File, d.Line, path, "%v", err)
	}
}

func (c *decoder) object(d *Document, v reflect.Value, path string) {
	if d.kind != '{' {
		c.mismatch(d, path, "an object")
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
		p := Join(path, n)
		f, ok := fields[n]
		if !ok {
			c.faults.Add(m.File, m.Line, p, "is not a known field")
			continue
		}
		c.decode(m, f, p)
	}
}

func (c *decoder) table(d *Document, v reflect.Value, path string) {
	if d.kind != '{' {
		c.mismatch(d, path, "an object")
		return
	}
	v.Set(reflect.MakeMap(v.Type()))
	for _, n := range d.Names() {
		e := reflect.New(v.Type().Elem()).Elem()
		c.decode(d.members[n], e, Join(path, n))
		v.SetMapIndex(reflect.ValueOf(n), e)
	}
}

func (c *decoder) list(d *Document, v reflect.Value, path string) {
	if d.kind != '[' {
		c.mismatch(d, path, "a list")
		return
	}
	s := reflect.MakeSlice(v.Type(), len(d.elements), len(d.elements))
	for i, e := range d.elements {
		c.decode(e, s.Index(i), path)
	}
	v.Set(s)
}

func (c *decoder) scalar(d *Document, v reflect.Value, path string) {
	want := map[reflect.Kind]string{
		reflect.String:  "text",
		reflect.Bool:    "true or false",
		reflect.Int:     "a whole number in range",
		reflect.Int64:   "a whole number in range",
		reflect.Float64: "a number",
	}[v.Kind()]
	if d.kind == '{' || d.kind == '[' || d.kind == 'n' {
		c.mismatch(d, path, want)
		return
	}
	if json.Unmarshal(d.literal, v.Addr().Interface()) != nil {
		c.mismatch(d, path, want)
	}
}

func (c *decoder) mismatch(d *Document, path, want string) {
	c.faults.Add(d.File, d.Line, path, "must be %s", want)
}
