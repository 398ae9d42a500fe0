package runner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/framing"
	"siskinrun/internal/data/item"
	"siskinrun/internal/data/itemline"
	"siskinrun/internal/data/streamstart"
	"siskinrun/internal/data/upstream"
)

const itemEvents = 6

// versionPipeline streams events that name the software of the upstream, and cuts the first runs after some.
type versionPipeline struct {
	cuts []int
}

func (p *versionPipeline) Batch(_ context.Context, u upstream.Upstream, c *call.Call) (*answer.Answer, error) {
	end := itemEvents
	if len(p.cuts) > 0 {
		end, p.cuts = p.cuts[0], p.cuts[1:]
	}
	var b strings.Builder
	for n := max(c.Offset, 1); n <= end; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s/%s-%d\n\n", n, u.Service, u.Version, n)
	}
	r := io.Reader(strings.NewReader(b.String()))
	if end < itemEvents {
		r = io.MultiReader(r, cutReader{})
	}
	return &answer.Answer{Status: 200, ContentType: "text/event-stream", Length: -1, Body: io.NopCloser(r)}, nil
}

// cutReader fails like a connection that was reset.
type cutReader struct{}

func (cutReader) Read([]byte) (int, error) {
	return 0, errors.New("reset")
}

// TestItemTextHoldsEventsOfOneVersion guards against results that are joined of runs at two software versions.
func TestItemTextHoldsEventsOfOneVersion(t *testing.T) {
	for _, c := range []struct {
		name      string
		upstreams []string
		cuts      []int
		runs      string
	}{
		{"the same version goes on", []string{"a1", "b1"}, []int{4}, "s/v1"},
		{"another version begins anew", []string{"a1", "c2"}, []int{4}, "s/v2"},
		{"another service begins anew", []string{"a1", "d1"}, []int{4}, "z/v1"},
		{"an unknown version begins anew", []string{"a1", "e"}, []int{4}, "s/"},
		{"back and forth", []string{"a1", "c2", "b1"}, []int{4, 2}, "s/v1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b, err := json.Marshal(itemline.Line{CustomID: "i", Inline: true, Method: "POST", URL: "/x"})
			is.NoErr(err)
			r := &Runner{
				VersionFresh: alwaysFresh,
				Pipeline:     &versionPipeline{cuts: c.cuts},
				Timer:        timer.NewService(),
				Upstreams: func() []upstream.Upstream {
					return []upstream.Upstream{
						{Name: "a1", Service: "s", Version: "v1"}, {Name: "b1", Service: "s", Version: "v1"},
						{Name: "c2", Service: "s", Version: "v2"}, {Name: "d1", Service: "z", Version: "v1"}, {Name: "e", Service: "s"},
					}
				},
			}
			i := item.Item{Line: b}
			for n, u := range c.upstreams {
				a, err := r.Run(t.Context(), u, i)
				if n < len(c.upstreams)-1 {
					is.True(err != nil)
					i.NextEvent, i.Text, i.Start = a.NextEvent, a.Text, a.Start
					continue
				}
				is.NoErr(err)
				var want []string
				for e := 1; e <= itemEvents; e++ {
					want = append(want, fmt.Sprintf("%s-%d", c.runs, e))
				}
				is.Equal(string(a.Body), strings.Join(want, "\n"))
			}
		})
	}
}

func TestProgressOfAnEarlierBuildIsNotUsed(t *testing.T) {
	is := is.New(t)
	b, err := json.Marshal(itemline.Line{CustomID: "i", Inline: true, Method: "POST", URL: "/x"})
	is.NoErr(err)
	r := &Runner{
		VersionFresh: alwaysFresh,
		Pipeline:     &versionPipeline{},
		Timer:        timer.NewService(),
		Upstreams:    func() []upstream.Upstream { return []upstream.Upstream{{Name: "a", Service: "s", Version: "v1"}} },
	}
	a, err := r.Run(t.Context(), "a", item.Item{Line: b, NextEvent: 4, Text: []byte("old"), Start: streamstart.Start{}})
	is.NoErr(err)
	is.True(strings.HasPrefix(string(a.Body), "s/v1-1\n"))
}

// emptyPipeline answers with a stream that has no event and no end of its own.
type emptyPipeline struct{}

func (emptyPipeline) Batch(context.Context, upstream.Upstream, *call.Call) (*answer.Answer, error) {
	return &answer.Answer{
		Status: 200, ContentType: "text/event-stream", Length: -1, Framing: framing.None, Body: io.NopCloser(strings.NewReader("")),
	}, nil
}

// TestEmptyUnframedStreamCompletesNoItem guards against an empty result where the upstream was lost before it began.
func TestEmptyUnframedStreamCompletesNoItem(t *testing.T) {
	is := is.New(t)
	b, err := json.Marshal(itemline.Line{CustomID: "i", Inline: true, Method: "POST", URL: "/x"})
	is.NoErr(err)
	r := &Runner{
		VersionFresh: alwaysFresh,
		Pipeline:     emptyPipeline{},
		Timer:        timer.NewService(),
		Upstreams:    func() []upstream.Upstream { return []upstream.Upstream{{Name: "a", Service: "s", Version: "v1"}} },
	}
	_, err = r.Run(t.Context(), "a", item.Item{Line: b})
	is.True(err != nil)
}
