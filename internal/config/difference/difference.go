package difference

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"

	"siskinrun/internal/config/delta"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/key"
)

// Difference is one field with its value before and after.
type Difference struct {
	// Field is the path of the field.
	Field string `json:"field"`
	// Before is the former value as JSON, or empty.
	Before string `json:"before,omitempty"`
	// After is the later value as JSON, or empty.
	After string `json:"after,omitempty"`
}

// Between returns the fields in which b differs from a, in order.
func Between(a, b *configuration.Configuration) []Difference {
	return FromDelta(a, delta.Between(a, b))
}

// FromDelta returns the fields that a delta changes in a, in order.
func FromDelta(a *configuration.Configuration, d *delta.Delta) []Difference {
	var l []Difference
	l = entries(l, "teams", a.Teams, d.Teams.Set, d.Teams.Removed)
	l = entries(l, "models", a.Models, d.Models.Set, d.Models.Removed)
	l = entries(l, "routes", a.Routes, d.Routes.Set, d.Routes.Removed)
	l = entries(l, "services", a.Services, d.Services.Set, d.Services.Removed)
	for _, n := range slices.Sorted(maps.Keys(d.Evacuated.Set)) {
		l = append(l, Difference{Field: "evacuated." + n, After: "true"})
	}
	for _, n := range d.Evacuated.Removed {
		l = append(l, Difference{Field: "evacuated." + n, Before: "true"})
	}
	before := withoutHashes(a.Keys, d.Keys.Set, d.Keys.Removed)
	after := withoutHashes(d.Keys.Set, d.Keys.Set, nil)
	return entries(l, "keys", before, after, d.Keys.Removed)
}

// Fields returns the paths of the first differences, at most limit of them.
func Fields(l []Difference, limit int) []string {
	var f []string
	for _, d := range l {
		if len(f) == limit {
			break
		}
		f = append(f, d.Field)
	}
	return f
}

// withoutHashes returns those keys of m that are set or removed, without their hashes.
func withoutHashes(m, set map[string]key.Key, removed []string) map[string]key.Key {
	h := map[string]key.Key{}
	for _, n := range append(slices.Collect(maps.Keys(set)), removed...) {
		if k, ok := m[n]; ok {
			k.Hash = ""
			h[n] = k
		}
	}
	return h
}

func entries[T any](l []Difference, section string, old, set map[string]T, removed []string) []Difference {
	names := append(slices.Collect(maps.Keys(set)), removed...)
	slices.Sort(names)
	for _, n := range names {
		p := section + "." + n
		before, was := old[n]
		after, is := set[n]
		switch {
		case !is:
			l = append(l, Difference{Field: p, Before: encodeJSON(before)})
		case !was:
			l = append(l, Difference{Field: p, After: encodeJSON(after)})
		default:
			l = fields(l, p, reflect.ValueOf(before), reflect.ValueOf(after))
		}
	}
	return l
}

func fields(l []Difference, path string, a, b reflect.Value) []Difference {
	n := len(l)
	for i := range a.NumField() {
		x, y := a.Field(i).Interface(), b.Field(i).Interface()
		if reflect.DeepEqual(x, y) {
			continue
		}
		f := path + "." + fieldName(a.Type().Field(i))
		l = append(l, Difference{Field: f, Before: encodeJSON(x), After: encodeJSON(y)})
	}
	if len(l) == n {
		l = append(l, Difference{Field: path})
	}
	return l
}

func fieldName(f reflect.StructField) string {
	n := f.Tag.Get("json")
	for i := range n {
		if n[i] == ',' {
			return n[:i]
		}
	}
	return n
}

func encodeJSON(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(b)
}
