package pipeline

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/key"
	"siskinrun/internal/data/requestdigest"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/limits/drain"
	"siskinrun/pkg/refusal"
)

// teamOfKey takes the credential for the team.
type teamOfKey struct{}

func (teamOfKey) Key(authorization []byte) (key.Key, error) {
	return key.Key{Team: string(authorization)}, nil
}

func (teamOfKey) Watch(key.Key, func()) func() { return func() {} }

// refuseAll refuses every call.
type refuseAll struct{}

func (refuseAll) Admit(context.Context, string, int64) (func(), error) {
	return nil, refusal.NewNotRun(429, "rate-exceeded", "")
}

func (refuseAll) Serve(context.Context, *call.Call) (*answer.Answer, error) {
	return nil, refusal.NewNotRun(503, "no-upstream", "")
}

func (r refuseAll) ServeOn(ctx context.Context, _ upstream.Upstream, c *call.Call) (*answer.Answer, error) {
	return r.Serve(ctx, c)
}

func TestOnlineCallsHaveADigestAndItemsNone(t *testing.T) {
	is := is.New(t)
	c := &configuration.Configuration{Routes: map[string]route.Route{"r": {Prefix: "/a/", Service: "s"}}}
	l := &lastRecord{}
	p := &Pipeline{
		Configuration: func() *configuration.Configuration { return c },
		Identifier:    teamOfKey{},
		Admission:     refuseAll{},
		Dispatcher:    refuseAll{},
		Guard:         blockAll{},
		Drain:         &drain.Drain{},
		Recorder:      l,
		Timer:         timer.NewService(),
	}
	online := &call.Call{ID: "a", Path: "/a/1", Body: []byte("x"), Arrived: time.Now()}
	_, _ = p.Online(t.Context(), "kea", online)
	want := requestdigest.Of(&call.Call{Path: "/a/1", Team: "kea", Body: []byte("x")})
	is.Equal(online.Digest, want)
	is.Equal(l.record.Digest, want)

	item := &call.Call{ID: "b", Path: "/a/1", Team: "kea", Batch: true, Body: []byte("x"), Arrived: time.Now()}
	_, _ = p.Batch(t.Context(), upstream.Upstream{Service: "s"}, item)
	is.Equal(l.record.ID, "b")
	is.Equal(item.Digest, uint64(0))
}
