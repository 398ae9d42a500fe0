package slope

import "siskinrun/internal/measure/fit"

// Slope is one cost measured at several sizes.
type Slope struct {
	// Area is the part of the program that was measured.
	Area string `json:"area"`
	// Figure names the cost with its unit.
	Figure string `json:"figure"`
	// Size names what was varied.
	Size string `json:"size"`
	// Sizes are the sizes.
	Sizes []float64 `json:"sizes"`
	// Values are the costs at the sizes.
	Values []float64 `json:"values"`
	// Target is the size to which the line is drawn out.
	Target float64 `json:"target"`
}

// Fit returns the line nearest to the values.
func (s *Slope) Fit() fit.Fit {
	return fit.NewFit(s.Sizes, s.Values)
}

// Add adds the value at a size.
func (s *Slope) Add(size, value float64) {
	s.Sizes = append(s.Sizes, size)
	s.Values = append(s.Values, value)
}
