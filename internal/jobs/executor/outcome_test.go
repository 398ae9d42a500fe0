package executor

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/data/itemanswer"
	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/refusal"
)

// TestItemBlockedBeforeSendCostsNoAttempt guards against items that use up their attempts while a rate limit or an
// unreachable upstream keeps them from being sent.
func TestItemBlockedBeforeSendCostsNoAttempt(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want entry.Outcome_Kind
	}{
		{"rate exceeded", refusal.NewNotRun(429, "rate-exceeded", ""), entry.Outcome_YIELD},
		{"rate owner unreachable", refusal.NewNotRun(503, "rate-owner-unreachable", ""), entry.Outcome_YIELD},
		{"upstream unreachable", refusal.NewNotRun(503, "upstream-unreachable", ""), entry.Outcome_YIELD},
		{"quarantined prompt", refusal.NewNotRun(503, refusal.CodeCrashingPrompt, ""), entry.Outcome_YIELD},
		{"bad item", refusal.NewNotRun(400, "bad-item", ""), entry.Outcome_RETRY},
		{"unknown route", refusal.NewNotRun(404, "unknown-route", ""), entry.Outcome_RETRY},
		{"answer lost", refusal.NewMayHaveRun(502, "upstream-lost", ""), entry.Outcome_RETRY},
		{"upstream timeout", refusal.NewMayHaveRun(504, "upstream-timeout", ""), entry.Outcome_RETRY},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(outcomeOf(1, itemanswer.Answer{}, c.err, false).Kind, c.want)
		})
	}
}
