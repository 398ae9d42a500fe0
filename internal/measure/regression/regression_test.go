package regression_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/measure/regression"
)

func TestFit(t *testing.T) {
	for _, c := range []struct {
		name                       string
		x, y                       []float64
		intercept, slope, residual float64
	}{
		{"line", []float64{1, 2, 4}, []float64{5, 7, 11}, 3, 2, 0},
		{"constant", []float64{1, 2, 3}, []float64{4, 4, 4}, 4, 0, 0},
		{"not linear", []float64{0, 1, 2}, []float64{0, 3, 0}, 1, 0, math.Sqrt2},
		{"one size", []float64{2, 2}, []float64{1, 3}, 2, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := regression.Fit(c.x, c.y)
			is.True(math.Abs(f.Intercept-c.intercept) < 1e-9)
			is.True(math.Abs(f.Slope-c.slope) < 1e-9)
			is.True(math.Abs(f.Residual-c.residual) < 1e-9)
			is.True(math.Abs(f.At(10)-c.intercept-10*c.slope) < 1e-9)
		})
	}
}
