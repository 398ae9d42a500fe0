package refusal_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

func TestStatusFitsVerdict(t *testing.T) {
	for _, c := range []struct {
		status  int
		verdict verdict.Verdict
		want    int
	}{
		{503, verdict.MayHaveRun, 502},
		{401, verdict.MayHaveRun, 502},
		{503, verdict.NotRun, 503},
		{504, verdict.MayHaveRun, 504},
		{409, verdict.MayHaveRun, 409},
	} {
		is := is.New(t)
		r := refusal.NewNotRun(c.status, "code", "").WithRetryAfter(time.Second).WithVerdict(c.verdict)
		is.Equal(r.Status, c.want)
		is.Equal(r.Verdict, c.verdict)
		is.Equal(r.RetryAfter == 0, c.status != c.want)
	}
}

func TestOf(t *testing.T) {
	is := is.New(t)
	r := refusal.NewNotRun(503, "busy", "")
	is.Equal(refusal.Of(errors.Wrap(r, "outer")), r)
	is.Equal(refusal.Of(errors.New("unknown")).Verdict, verdict.MayHaveRun)
	is.True(refusal.Of(nil) == nil)
}

func TestJitterIsAtMostHalf(t *testing.T) {
	is := is.New(t)
	r := refusal.NewNotRun(503, "busy", "").WithRetryAfter(time.Second)
	seen := map[time.Duration]bool{}
	for range 100 {
		d := r.WithJitter().RetryAfter
		is.True(d >= time.Second && d <= 1500*time.Millisecond)
		seen[d] = true
	}
	is.True(len(seen) > 50) // callers that are refused together get different delays
	is.Equal(r.RetryAfter, time.Second)
	is.Equal(refusal.NewNotRun(503, "busy", "").WithJitter().RetryAfter, time.Duration(0))
}
