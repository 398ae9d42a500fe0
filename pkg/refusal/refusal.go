package refusal

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/pkg/verdict"
)

// Refusal is an error that says why a request got no answer and whether the request may have run.
type Refusal struct {
	// Status is the HTTP status that callers see.
	Status int
	// Code is the stable identifier of the cause, in kebab case.
	Code string
	// Message is a human-readable explanation.
	Message string
	// Verdict says whether the request may have run.
	Verdict verdict.Verdict
	// RetryAfter is the delay before which a retry is useless, or zero if unknown.
	RetryAfter time.Duration
}

// NewNotRun returns a refusal of a request that has not run.
func NewNotRun(status int, code, message string) *Refusal {
	return &Refusal{Status: status, Code: code, Message: message, Verdict: verdict.NotRun}
}

// NewMayHaveRun returns a refusal of a request whose outcome is unknown.
func NewMayHaveRun(status int, code, message string) *Refusal {
	return &Refusal{Status: status, Code: code, Message: message, Verdict: verdict.MayHaveRun}
}

// Error implements error.Error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%d, %s): %s", r.Code, r.Status, r.Verdict, r.Message)
}

// WithRetryAfter returns a copy that asks the caller to wait for d before a retry.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	c := *r
	c.RetryAfter = d
	return &c
}

// WithJitter returns a copy whose RetryAfter is lengthened by a random part of up to one half. The jitter keeps
// callers that were refused together from retrying together.
func (r *Refusal) WithJitter() *Refusal {
	return r.WithRetryAfter(r.RetryAfter + rand.N(r.RetryAfter/jitterDivisor+1))
}

// jitterDivisor is the divisor of RetryAfter that gives the maximum jitter.
const jitterDivisor = 2

// WithVerdict returns a copy with another verdict.
//
// Unless v is NotRun, a status that implies that the request has not run becomes 502, and RetryAfter becomes zero with it.
func (r *Refusal) WithVerdict(v verdict.Verdict) *Refusal {
	c := *r
	c.Verdict = v
	if v != verdict.NotRun && notRunStatuses[c.Status] {
		c.Status = statusBadGateway
		c.RetryAfter = 0
	}
	return &c
}

const statusBadGateway = 502

// notRunStatuses are the statuses from which a caller concludes that the request has not run.
var notRunStatuses = map[int]bool{401: true, 403: true, 404: true, 413: true, 429: true, 503: true}

// Of returns the refusal that err wraps, or nil if err is nil. For any other error it returns a refusal with status 500,
// code internal-error and verdict MayHaveRun.
func Of(err error) *Refusal {
	if err == nil {
		return nil
	}
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return NewMayHaveRun(500, "internal-error", err.Error())
}
