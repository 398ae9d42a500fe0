package costcurve

import "siskinrun/internal/measure/regression"

// Curve is one cost measured at several sizes.
type Curve struct {
	// Area is the component that was measured.
	Area string `json:"area"`
	// Metric names the cost with its unit.
	Metric string `json:"figure"`
	// Dimension names what was varied.
	Dimension string `json:"size"`
	// Sizes are the sizes that were measured.
	Sizes []float64 `json:"sizes"`
	// Values are the costs at the sizes.
	Values []float64 `json:"values"`
	// Target is the size to which the cost is extrapolated.
	Target float64 `json:"target"`
}

// Fit returns the line that best fits the values.
func (c *Curve) Fit() regression.Line {
	return regression.Fit(c.Sizes, c.Values)
}

// Add appends the value measured at a size.
func (c *Curve) Add(size, value float64) {
	c.Sizes = append(c.Sizes, size)
	c.Values = append(c.Values, value)
}
