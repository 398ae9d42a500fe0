package ratelimit_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/data/ratelimit"
)

func TestParse(t *testing.T) {
	malformed := ratelimit.Value{Malformed: true}
	named := func(n float64) ratelimit.Value { return ratelimit.Value{Named: true, PerSecond: n} }
	for _, c := range []struct {
		name   string
		values []string
		want   ratelimit.Value
	}{
		{"no header", nil, ratelimit.Value{}},
		{"whole", []string{"3"}, named(3)},
		{"fraction", []string{"2.75"}, named(2.75)},
		{"zero", []string{"0"}, named(0)},
		{"zero with fraction", []string{"0.0"}, named(0)},
		{"leading zeros", []string{"007.50"}, named(7.5)},
		{"spaces around", []string{" 2.5\t"}, named(2.5)},
		{"empty", []string{""}, malformed},
		{"only spaces", []string{"  "}, malformed},
		{"spaces inside", []string{"2 5"}, malformed},
		{"negative", []string{"-1"}, malformed},
		{"plus sign", []string{"+1"}, malformed},
		{"not a number", []string{"NaN"}, malformed},
		{"infinite", []string{"Inf"}, malformed},
		{"exponent", []string{"1e400"}, malformed},
		{"hexadecimal", []string{"0x10"}, malformed},
		{"underscore", []string{"1_0"}, malformed},
		{"no whole part", []string{".5"}, malformed},
		{"no fraction", []string{"5."}, malformed},
		{"two points", []string{"1.2.3"}, malformed},
		{"words", []string{"fast"}, malformed},
		{"a thousand digits", []string{strings.Repeat("9", 1000)}, named(1e6)},
		{"a thousand decimals", []string{"0." + strings.Repeat("3", 1000)}, named(1.0 / 3)},
		{"two headers", []string{"4", "2"}, named(2)},
		{"a list", []string{"4, 2"}, named(2)},
		{"two headers, one malformed", []string{"x", "2"}, ratelimit.Value{Named: true, Malformed: true, PerSecond: 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(ratelimit.Parse(c.values...), c.want)
		})
	}
}
