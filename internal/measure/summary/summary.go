package summary

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"siskinrun/internal/base/duration"
)

// Summary is the outcome of one load run.
type Summary struct {
	// Label names the run.
	Label string `json:"label"`
	// Seed is the seed of the arrivals.
	Seed uint64 `json:"seed"`
	// Duration is the time during which requests arrived.
	Duration duration.Duration `json:"duration"`
	// Classes are the outcomes by class of request.
	Classes []Class `json:"classes"`
	// Teams are the outcomes of online requests by team, the highest p99 of the first byte first.
	Teams []Class `json:"teams"`
	// Batch is the outcome of the batch job, if there was one.
	Batch Batch `json:"batch"`
	// Faults describes the first answers that were lost, mismatched, truncated or wrong.
	Faults []string `json:"faults"`
	// FaultCount is the number of such answers.
	FaultCount int `json:"fault-count"`
}

// Class is the outcome of the requests of one class or team.
type Class struct {
	// Name is the name of the class or team.
	Name string `json:"name"`
	// Sent is the number of requests.
	Sent int64 `json:"sent"`
	// Answered is the number of complete and correct answers.
	Answered int64 `json:"answered"`
	// Refused counts refusals by code and verdict.
	Refused map[string]int64 `json:"refused,omitempty"`
	// First are quantiles of the time from due arrival to the first byte.
	First Quantiles `json:"first"`
	// Total are quantiles of the time from due arrival to the end.
	Total Quantiles `json:"total"`
	// Between are quantiles of the time between tokens.
	Between Quantiles `json:"between"`
}

// Quantiles are points of a distribution of times.
type Quantiles struct {
	// P50 is the median.
	P50 duration.Duration `json:"p50"`
	// P95 is the 95th percentile.
	P95 duration.Duration `json:"p95"`
	// P99 is the 99th percentile.
	P99 duration.Duration `json:"p99"`
	// P999 is the 99.9th percentile.
	P999 duration.Duration `json:"p999"`
}

// Batch is the outcome of a batch job.
type Batch struct {
	// Items is the number of items.
	Items int `json:"items"`
	// Completed is the number of items with a correct answer.
	Completed int `json:"completed"`
	// Failed is the number of items that ended in an expected failure.
	Failed int `json:"failed"`
	// Duration is the time from acceptance to the end of the job.
	Duration duration.Duration `json:"duration"`
	// ItemsPerSecond is the throughput of the job.
	ItemsPerSecond float64 `json:"items-per-second"`
}

// Print writes the summary as text.
func (s *Summary) Print(w io.Writer) error {
	fmt.Fprintf(w, "run %s, seed %d, %v\n\n", s.Label, s.Seed, s.Duration.Duration())
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tsent\tanswered\trefused\tfirst p50\tp99\tp99.9\ttotal p50\tp99\tp99.9\tbetween p95\t")
	for _, c := range slices.Concat(s.Classes, s.Teams) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%v\t%v\t%v\t%v\t%v\t%v\t%v\t\n", c.Name, c.Sent, c.Answered, c.RefusedCount(),
			rounded(c.First.P50), rounded(c.First.P99), rounded(c.First.P999),
			rounded(c.Total.P50), rounded(c.Total.P99), rounded(c.Total.P999), rounded(c.Between.P95))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, c := range s.Classes {
		for k, n := range c.Refused {
			fmt.Fprintf(w, "refused %s: %s %d\n", c.Name, k, n)
		}
	}
	if s.Batch.Items > 0 {
		fmt.Fprintf(w, "batch: %d items, %d completed, %d failed as expected, %.1f items/s\n",
			s.Batch.Items, s.Batch.Completed, s.Batch.Failed, s.Batch.ItemsPerSecond)
	}
	fmt.Fprintf(w, "lost, mismatched, truncated or wrong answers: %d\n", s.FaultCount)
	for _, f := range s.Faults {
		fmt.Fprintln(w, "  "+f)
	}
	return nil
}

// RefusedCount returns the number of refusals.
func (c *Class) RefusedCount() int64 {
	n := int64(0)
	for _, v := range c.Refused {
		n += v
	}
	return n
}

func rounded(s duration.Duration) time.Duration {
	return s.Duration().Round(10 * time.Microsecond)
}
