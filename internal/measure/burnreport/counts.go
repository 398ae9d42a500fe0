package burnreport

// Counts are the outcomes of the online calls of one team and route in one window.
type Counts struct {
	// Answered is the number of answers.
	Answered int64 `json:"answered,omitempty"`
	// Late is the number of answers whose first byte or later tokens exceeded the latency contract.
	Late int64 `json:"late,omitempty"`
	// Refused is the number of calls within the rate that were refused or failed.
	Refused int64 `json:"refused,omitempty"`
	// OverRate is the number of calls refused because the team exceeded its rate.
	OverRate int64 `json:"over-rate,omitempty"`
	// Rejected is the number of calls that ended in an error of the caller.
	Rejected int64 `json:"rejected,omitempty"`
}

// Add adds the counts of d.
func (c *Counts) Add(d Counts) {
	c.Answered += d.Answered
	c.Late += d.Late
	c.Refused += d.Refused
	c.OverRate += d.OverRate
	c.Rejected += d.Rejected
}

// Eligible returns the number of calls that count towards the objective.
func (c Counts) Eligible() int64 {
	return c.Answered + c.Refused
}

// BadShare returns the share of eligible calls that were late or refused.
func (c Counts) BadShare() float64 {
	return ratio(c.Late+c.Refused, c.Eligible())
}

// LateShare returns the share of answers that were late.
func (c Counts) LateShare() float64 {
	return ratio(c.Late, c.Answered)
}

// BurnRate returns the bad share as a multiple of the share that the objective allows.
func (c Counts) BurnRate(objective float64) float64 {
	if objective >= 1 {
		return 0
	}
	return c.BadShare() / (1 - objective)
}

func ratio(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
