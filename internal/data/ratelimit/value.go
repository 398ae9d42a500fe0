package ratelimit

import (
	"strconv"
	"strings"
)

// maxPerSecond bounds the rate; a higher one limits nothing.
const maxPerSecond = 1e6

// Value is what one answer says of the rate limit of its upstream.
type Value struct {
	// Named means that the answer names a limit.
	Named bool
	// Malformed means that the answer holds a limit that cannot be read. If no other one is named, it says nothing: no limit
	// begins or ends with it.
	Malformed bool
	// PerSecond is the limit in requests a second from all hosts together.
	PerSecond float64
}

// Parse returns the least of the limits in the values of a header, each a decimal number or several separated by commas.
func Parse(values ...string) Value {
	var v Value
	for _, s := range values {
		for p := range strings.SplitSeq(s, ",") {
			v.add(strings.Trim(p, " \t"))
		}
	}
	return v
}

func (v *Value) add(s string) {
	n, ok := parseDecimal(s)
	if !ok {
		v.Malformed = true
		return
	}
	if !v.Named || n < v.PerSecond {
		v.PerSecond = n
	}
	v.Named = true
}

// parseDecimal parses digits, which a point and further digits may follow. It knows no sign and no exponent.
func parseDecimal(s string) (float64, bool) {
	whole, fraction, point := strings.Cut(s, ".")
	if !digits(whole) || point && !digits(fraction) {
		return 0, false
	}
	n, _ := strconv.ParseFloat(s, 64) // digits fail only by their number, which gives infinity
	return min(n, maxPerSecond), true
}

func digits(s string) bool {
	return s != "" && strings.Trim(s, "0123456789") == ""
}
