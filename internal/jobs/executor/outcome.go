package executor

import (
	"siskinrun/internal/data/itemanswer"
	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

const (
	// maxBodyBytes is the size of the largest answer that is stored.
	maxBodyBytes = 4 << 20

	statusTooManyRequests = 429
	statusTimeout         = 408
	statusBadRequest      = 400
	statusInternal        = 500

	statusUnavailable = 503
)

// outcomeOf returns the outcome of a run from its answer or error.
func outcomeOf(fence uint64, a itemanswer.Answer, err error, stopped bool) *entry.Outcome {
	if err != nil {
		o := outcomeOfError(fence, refusal.Of(err), stopped)
		if a.NextEvent > 0 {
			o.Progress = &entry.Progress{Next: a.NextEvent, Text: a.Text, Service: a.Start.Service, Version: a.Start.Version}
		}
		return o
	}
	r := &entry.Result{Status: int32(a.Status), Body: a.Body, Verdict: uint32(verdict.Ran)}
	o := &entry.Outcome{Fence: fence, Kind: entry.Outcome_COMPLETE, Result: r}
	switch {
	case len(a.Body) > maxBodyBytes:
		o.Kind = entry.Outcome_FAIL
		r.Body = nil
		r.Code = "answer-too-large"
		r.Message = "the upstream's answer is larger than 4 MiB"
	case a.Status == statusTooManyRequests || a.Status == statusTimeout || a.Status >= statusInternal:
		o.Kind = entry.Outcome_RETRY
		r.Code = "upstream-error"
		r.Message = "the upstream answered with an error each time"
	case a.Status >= statusBadRequest:
		o.Kind = entry.Outcome_FAIL
		r.Code = "rejected"
		r.Message = "the upstream rejected the item"
	}
	return o
}

func outcomeOfError(fence uint64, f *refusal.Refusal, stopped bool) *entry.Outcome {
	r := &entry.Result{Code: f.Code, Message: f.Message, Verdict: uint32(f.Verdict)}
	o := &entry.Outcome{Fence: fence, Kind: entry.Outcome_RETRY, Result: r}
	if stopped || blockedBeforeSend(f) {
		o.Kind = entry.Outcome_YIELD
	}
	if r.Code == "" {
		r.Code = "failed"
	}
	return o
}

// blockedBeforeSend reports whether an item was refused for lack of capacity before it was sent. Such a run
// does not count as an attempt.
func blockedBeforeSend(f *refusal.Refusal) bool {
	return f.Verdict == verdict.NotRun && (f.Status == statusTooManyRequests || f.Status == statusUnavailable)
}

// unsentOutcome returns the outcome of an item of which no byte was sent.
func unsentOutcome(fence uint64) *entry.Outcome {
	return &entry.Outcome{
		Fence:  fence,
		Kind:   entry.Outcome_YIELD,
		Result: &entry.Result{Code: "yielded", Verdict: uint32(verdict.NotRun)},
	}
}
