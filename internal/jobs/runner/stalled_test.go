package runner

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/item"
	"siskinrun/internal/data/itemline"
	"siskinrun/internal/data/upstream"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// tricklePipeline answers with one event and then pieces that complete none, until the call is cancelled.
type tricklePipeline struct {
	group *group.Group
	timer *timer.Service
	piece string
}

func (p *tricklePipeline) Batch(ctx context.Context, _ upstream.Upstream, _ *call.Call) (*answer.Answer, error) {
	r, w := io.Pipe()
	context.AfterFunc(ctx, func() { _ = r.Close() })
	p.group.Go("upstream", func(ctx context.Context) error {
		_, err := io.WriteString(w, "id: 1\ndata: a\n\n")
		for err == nil && p.timer.Sleep(ctx, 10*time.Millisecond) == nil {
			_, err = io.WriteString(w, p.piece)
		}
		return nil
	})
	return &answer.Answer{Status: 200, ContentType: "text/event-stream", Length: -1, Body: r}, nil
}

// TestUpstreamThatSendsNoEventsDoesNotHoldAnItem guards against a stalled upstream that keeps an item by a byte now and then.
func TestUpstreamThatSendsNoEventsDoesNotHoldAnItem(t *testing.T) {
	for _, piece := range []string{": \n", "data: b\n", "b"} {
		is := is.New(t)
		g := group.NewGroup(t.Context())
		m := timer.NewService()
		g.Go("timer", m.Run)
		r := &Runner{
			VersionFresh: alwaysFresh,
			Pipeline:     &tricklePipeline{group: g, timer: m, piece: piece},
			Upstreams:    func() []upstream.Upstream { return []upstream.Upstream{{Name: "u", Service: "s", Version: "v"}} },
			Timer:        m,
			Silence:      200 * time.Millisecond,
		}
		l, err := json.Marshal(itemline.Line{CustomID: "i", Method: "POST", URL: "/", Inline: true})
		is.NoErr(err)
		began := m.Now()
		a, err := r.Run(t.Context(), "u", item.Item{Job: "j", Line: l})
		took := m.Now().Sub(began)
		is.Equal(refusal.Of(err).Code, "answer-cut")
		is.Equal(refusal.Of(err).Verdict, verdict.MayHaveRun)
		is.Equal(string(a.Text), "a") // what was made is kept
		is.True(took >= r.Silence)
		is.True(took < 10*r.Silence)
	}
}
