package fit

import "math"

// Fit is a straight line found by least squares.
type Fit struct {
	// Intercept is the value at zero.
	Intercept float64 `json:"intercept"`
	// Slope is the growth of the value with each unit of size.
	Slope float64 `json:"slope"`
	// Residual is the root of the mean square distance of the points from the line.
	Residual float64 `json:"residual"`
	// Relative is the residual as a share of the mean value.
	Relative float64 `json:"relative"`
}

// NewFit returns the line through points of size x and value y.
func NewFit(x, y []float64) Fit {
	mx, my := mean(x), mean(y)
	var xy, xx float64
	for i := range x {
		xy += (x[i] - mx) * (y[i] - my)
		xx += (x[i] - mx) * (x[i] - mx)
	}
	f := Fit{Intercept: my}
	if xx > 0 {
		f.Slope = xy / xx
		f.Intercept = my - f.Slope*mx
	}
	var s float64
	for i := range x {
		d := y[i] - f.At(x[i])
		s += d * d
	}
	f.Residual = math.Sqrt(s / float64(max(len(x), 1)))
	if my != 0 {
		f.Relative = f.Residual / math.Abs(my)
	}
	return f
}

// At returns the value of the line at a size.
func (f Fit) At(x float64) float64 {
	return f.Intercept + f.Slope*x
}

func mean(l []float64) float64 {
	s := 0.0
	for _, v := range l {
		s += v
	}
	return s / float64(max(len(l), 1))
}
