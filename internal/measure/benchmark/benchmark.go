package benchmark

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Benchmark is one line of results.
type Benchmark struct {
	// Name is the benchmark's name without the number of processors.
	Name string
	// Values are the figures.
	Values []Value
}

// Value is one figure.
type Value struct {
	// Figure is the number.
	Figure float64
	// Unit is its unit.
	Unit string
}

var processors = regexp.MustCompile(`-\d+$`)

// Parse returns the benchmarks in the output of go test.
func Parse(output string) ([]Benchmark, error) {
	var l []Benchmark
	for _, s := range strings.Split(output, "\n") {
		f := strings.Fields(s)
		if len(f) < 4 || !strings.HasPrefix(f[0], "Benchmark") {
			continue
		}
		b := Benchmark{Name: processors.ReplaceAllString(f[0], "")}
		for i := 2; i+1 < len(f); i += 2 {
			v, err := strconv.ParseFloat(f[i], 64)
			if err != nil {
				return nil, errors.Wrapf(err, "read %q", s)
			}
			b.Values = append(b.Values, Value{v, f[i+1]})
		}
		l = append(l, b)
	}
	return l, nil
}

// Get returns the figure with a unit.
func (b *Benchmark) Get(unit string) (float64, bool) {
	for _, v := range b.Values {
		if v.Unit == unit {
			return v.Figure, true
		}
	}
	return 0, false
}
