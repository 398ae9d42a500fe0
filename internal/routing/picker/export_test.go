package picker

import "siskinrun/internal/data/demand"

// Clone returns the copy of a picker on which Explain decides.
func Clone(c *Picker) *Picker { return c.clone(&demand.Demand{}) }
