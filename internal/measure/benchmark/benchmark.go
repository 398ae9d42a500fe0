package benchmark

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Benchmark is the result of one benchmark.
type Benchmark struct {
	// Name is the name of the benchmark without the GOMAXPROCS suffix.
	Name string
	// Metrics are its measurements.
	Metrics []Metric
}

// Metric is one measured value with its unit.
type Metric struct {
	// Value is the measured value.
	Value float64
	// Unit is the unit of the value.
	Unit string
}

var cpuSuffix = regexp.MustCompile(`-\d+$`)

// Parse returns the benchmarks in the output of go test.
func Parse(output string) ([]Benchmark, error) {
	var l []Benchmark
	for _, s := range strings.Split(output, "\n") {
		f := strings.Fields(s)
		if len(f) < 4 || !strings.HasPrefix(f[0], "Benchmark") {
			continue
		}
		b := Benchmark{Name: cpuSuffix.ReplaceAllString(f[0], "")}
		for i := 2; i+1 < len(f); i += 2 {
			v, err := strconv.ParseFloat(f[i], 64)
			if err != nil {
				return nil, errors.Wrapf(err, "read %q", s)
			}
			b.Metrics = append(b.Metrics, Metric{v, f[i+1]})
		}
		l = append(l, b)
	}
	return l, nil
}

// Get returns the value with the given unit.
func (b *Benchmark) Get(unit string) (float64, bool) {
	for _, v := range b.Metrics {
		if v.Unit == unit {
			return v.Value, true
		}
	}
	return 0, false
}
