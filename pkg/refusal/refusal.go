package refusal

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/pkg/verdict"
)

// Refusal is an error that says why a request got no answer and whether it may have run.
type Refusal struct {
	// Status is the HTTP status that callers see.
	Status int
	// Code is a stable kebab-case name of the cause.
	Code string
	// Message explains the cause to a person.
	Message string
	// Verdict says whether the request may have run.
	Verdict verdict.Verdict
	// RetryAfter is the earliest useful time of a retry, or zero.
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

// WithRetryAfter returns a copy that tells the caller when to come back.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	c := *r
	c.RetryAfter = d
	return &c
}

// WithSpread returns a copy whose time to come back is up to a half longer, drawn anew each time, so that
// callers that were refused together do not return together.
func (r *Refusal) WithSpread() *Refusal {
	return r.WithRetryAfter(r.RetryAfter + rand.N(r.RetryAfter/spreadParts+1))
}

// spreadParts is the number of parts of a time to come back of which up to one is added.
const spreadParts = 2

// WithVerdict returns a copy with another verdict, and with a status that fits it.
func (r *Refusal) WithVerdict(v verdict.Verdict) *Refusal {
	c := *r
	c.Verdict = v
	if v != verdict.NotRun && promising[c.Status] {
		c.Status = statusBadGateway
		c.RetryAfter = 0
	}
	return &c
}

const statusBadGateway = 502

// promising are the statuses that tell a caller that the request has not run.
var promising = map[int]bool{401: true, 403: true, 404: true, 413: true, 429: true, 503: true}

// Of returns the refusal inside err, or a may-have-run internal error if there is none.
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
