package drive

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/data/itemanswer"
	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/refusal"
)

func TestOnlyWhatWasTriedCostsAnAttempt(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want entry.Outcome_Kind
	}{
		{"rate spent", refusal.NewNotRun(429, "rate-exceeded", ""), entry.Outcome_YIELD},
		{"owner lost", refusal.NewNotRun(503, "rate-owner-unreachable", ""), entry.Outcome_YIELD},
		{"upstream away", refusal.NewNotRun(503, "upstream-unreachable", ""), entry.Outcome_YIELD},
		{"bad item", refusal.NewNotRun(400, "bad-item", ""), entry.Outcome_RETRY},
		{"no route", refusal.NewNotRun(404, "unknown-route", ""), entry.Outcome_RETRY},
		{"lost", refusal.NewMayHaveRun(502, "upstream-lost", ""), entry.Outcome_RETRY},
		{"late", refusal.NewMayHaveRun(504, "upstream-timeout", ""), entry.Outcome_RETRY},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(judge(1, itemanswer.Answer{}, c.err, false).Kind, c.want)
		})
	}
}
