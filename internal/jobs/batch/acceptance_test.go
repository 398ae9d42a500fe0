package batch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/leadership"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/inlineitem"
	"siskinrun/internal/data/inlinejob"
	"siskinrun/internal/data/itemline"
	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// scriptedLeader answers the calls to a leader in their order, and the last one over and over.
type scriptedLeader struct {
	answers []func() ([]byte, error)
	calls   int
}

func (l *scriptedLeader) CallLeader(context.Context, uint32, string, []byte) ([]byte, error) {
	a := l.answers[min(l.calls, len(l.answers)-1)]
	l.calls++
	return a()
}

func (*scriptedLeader) Propose(context.Context, uint32, []byte) ([]byte, error) { return nil, nil }

func (*scriptedLeader) Confirm(context.Context, uint32) (time.Time, error) { return time.Time{}, nil }

func (*scriptedLeader) Lead(uint32) leadership.Status { return leadership.Status{} }

// TestJobThatMayBeAcceptedIsNotSaidToBeRefused guards against a submission that is refused with a status that says that no part of
// the job runs, though an earlier attempt at it may have been accepted.
func TestJobThatMayBeAcceptedIsNotSaidToBeRefused(t *testing.T) {
	unknown := func() ([]byte, error) { return nil, refusal.NewMayHaveRun(504, "outcome-unknown", "") }
	noLeader := func() ([]byte, error) {
		return nil, refusal.NewNotRun(503, "no-leader", "").WithRetryAfter(time.Second)
	}
	full := func() ([]byte, error) {
		return proto.Marshal(&entry.Answer{Refused: &entry.Refused{Status: 429, Code: "too-many-tokens"}})
	}
	for _, c := range []struct {
		name    string
		answers []func() ([]byte, error)
		status  int
		verdict verdict.Verdict
	}{
		{"no leader", []func() ([]byte, error){noLeader}, 503, verdict.NotRun},
		{"too many tokens", []func() ([]byte, error){full}, 429, verdict.NotRun},
		{"unknown", []func() ([]byte, error){unknown}, 504, verdict.MayHaveRun},
		{"unknown, then no leader", []func() ([]byte, error){unknown, noLeader}, 502, verdict.MayHaveRun},
		{"unknown, then too many tokens", []func() ([]byte, error){unknown, full}, 502, verdict.MayHaveRun},
		{"no leader, then unknown, then no leader", []func() ([]byte, error){noLeader, unknown, noLeader}, 502, verdict.MayHaveRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			s := timer.NewService()
			g := group.NewGroup(ctx)
			g.Go("timer", s.Run)
			b := &Service{Groups: 1, Proposer: &scriptedLeader{answers: c.answers}, Timer: s}
			err := b.Submit(ctx, inlinejob.Job{ID: "j", Team: "t", Route: "r", Items: []inlineitem.Item{{Line: itemline.Line{CustomID: "i"}}}})
			f := refusal.Of(err)
			is.Equal(f.Status, c.status)
			is.Equal(f.Verdict, c.verdict)
			is.Equal(f.RetryAfter > 0, c.status == 503)
			is.Equal(f.Code == "acceptance-unknown", c.verdict == verdict.MayHaveRun)
		})
	}
}

// TestReadThatFoundNoLeaderIsSaidNotToHaveRun says that a read keeps the status of its last refusal, since it starts no work.
func TestReadThatFoundNoLeaderIsSaidNotToHaveRun(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	s := timer.NewService()
	g := group.NewGroup(ctx)
	g.Go("timer", s.Run)
	b := &Service{Groups: 1, Timer: s, Proposer: &scriptedLeader{answers: []func() ([]byte, error){
		func() ([]byte, error) { return nil, refusal.NewMayHaveRun(504, "outcome-unknown", "") },
		func() ([]byte, error) { return nil, refusal.NewNotRun(503, "no-leader", "") },
	}}}
	_, err := b.Listing(ctx, "t", "j", 0, 0)
	is.Equal(refusal.Of(err).Status, 503)
	is.Equal(refusal.Of(err).Verdict, verdict.NotRun)
}
