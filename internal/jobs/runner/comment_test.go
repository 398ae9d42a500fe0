package runner

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/framing"
	"siskinrun/internal/data/item"
	"siskinrun/internal/data/itemline"
	"siskinrun/internal/data/upstream"
)

// commentPipeline answers with a whole stream that holds comments.
type commentPipeline struct{}

func (commentPipeline) Batch(context.Context, upstream.Upstream, *call.Call) (*answer.Answer, error) {
	b := io.NopCloser(strings.NewReader(":\n\nid: 1\ndata: a\n\n: b\n\nid: 2\ndata: c\n\n:\n\n"))
	return &answer.Answer{Status: 200, ContentType: "text/event-stream", Length: -1, Framing: framing.Chunks, Body: b}, nil
}

// TestCommentsDoNotCutAnItem guards against sound streams of slow upstreams that are cut at a comment.
func TestCommentsDoNotCutAnItem(t *testing.T) {
	is := is.New(t)
	r := &Runner{
		VersionFresh: alwaysFresh,
		Pipeline:     commentPipeline{},
		Upstreams:    func() []upstream.Upstream { return []upstream.Upstream{{Name: "u", Service: "s", Version: "v"}} },
		Timer:        timer.NewService(),
	}
	l, err := json.Marshal(itemline.Line{CustomID: "i", Method: "POST", URL: "/", Inline: true})
	is.NoErr(err)
	a, err := r.Run(t.Context(), "u", item.Item{Job: "j", Line: l})
	is.NoErr(err)
	is.Equal(string(a.Body), "a\nc")
}

// TestRunTellsItsEvents guards against a choice of the runs to stop that doesn't know what they have done.
func TestRunTellsItsEvents(t *testing.T) {
	is := is.New(t)
	r := &Runner{
		VersionFresh: alwaysFresh,
		Pipeline:     commentPipeline{},
		Upstreams:    func() []upstream.Upstream { return []upstream.Upstream{{Name: "u", Service: "s", Version: "v"}} },
		Timer:        timer.NewService(),
	}
	l, err := json.Marshal(itemline.Line{CustomID: "i", Method: "POST", URL: "/", Inline: true})
	is.NoErr(err)
	var n atomic.Uint64
	n.Store(9) // what another software made is begun anew
	_, err = r.Run(t.Context(), "u", item.Item{Job: "j", Line: l, NextEvent: 9, Received: &n})
	is.NoErr(err)
	is.Equal(n.Load(), uint64(3))
}
