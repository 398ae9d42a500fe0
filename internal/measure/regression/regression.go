package regression

import "math"

// Line is a straight line fitted by least squares.
type Line struct {
	// Intercept is the value at zero.
	Intercept float64 `json:"intercept"`
	// Slope is the growth of the value per unit of size.
	Slope float64 `json:"slope"`
	// Residual is the root mean square error of the line.
	Residual float64 `json:"residual"`
	// RelativeResidual is the residual as a share of the mean value.
	RelativeResidual float64 `json:"relative"`
}

// Fit returns the line that best fits the points with sizes x and values y.
func Fit(x, y []float64) Line {
	mx, my := mean(x), mean(y)
	var xy, xx float64
	for i := range x {
		xy += (x[i] - mx) * (y[i] - my)
		xx += (x[i] - mx) * (x[i] - mx)
	}
	f := Line{Intercept: my}
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
		f.RelativeResidual = f.Residual / math.Abs(my)
	}
	return f
}

// At returns the value of the line at a size.
func (l Line) At(x float64) float64 {
	return l.Intercept + l.Slope*x
}

func mean(l []float64) float64 {
	s := 0.0
	for _, v := range l {
		s += v
	}
	return s / float64(max(len(l), 1))
}
