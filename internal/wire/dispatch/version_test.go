package dispatch_test

import (
	"context"
	"io"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/data/upstream"
	"siskinrun/internal/standin/answertext"
	"siskinrun/internal/standin/faultinjection"
)

func TestStreamGoesOnAtItsVersionOnly(t *testing.T) {
	for _, c := range []struct {
		name, first, second string
		goesOn              bool
	}{
		{"the same version", "v1", "v1", true},
		{"another version", "v1", "v2", false},
		{"two unknown versions", "", "", false},
		{"an unknown version", "v1", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newFixture(t)
			for i, u := range b.picker.upstreams {
				b.picker.upstreams[i].Version = map[string]string{"engine-a": c.first, "engine-b": c.second}[u.Name]
			}
			is.NoErr(b.engines[0].Faults.Set(faultinjection.Die, 3))
			q := b.completion(true)
			a, err := b.dispatcher.Serve(context.Background(), q)
			is.NoErr(err)
			_ = b.engines[0].Listener.Close()
			_, err = io.ReadAll(a.Body)
			is.Equal(err == nil, c.goesOn)
			is.Equal(q.Record.Upstream == "engine-b", c.goesOn)
		})
	}
}

// Nothing of the answer has reached the caller before its first event, so any version may send it.
func TestStreamBeforeItsFirstEventMayChangeVersion(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	for i, u := range b.picker.upstreams {
		b.picker.upstreams[i].Version = u.Name
	}
	_ = b.engines[0].Listener.Close()
	a, err := b.dispatcher.Serve(context.Background(), b.completion(true))
	is.NoErr(err)
	is.Equal(streamedText(t, a.Body), answertext.Answer("m", "p", tokens))
}

// TestStreamIsBoundToTheVersionOfItsFirstEvent guards against a stream that is bound to no version, and goes on nowhere, since an
// upstream was lost between the headers and the first event.
func TestStreamIsBoundToTheVersionOfItsFirstEvent(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	b.dispatcher.PlainStreams = true
	first := startScripted(t, "x", script{text: unframedHeaders, reset: true})
	second := startScripted(t, "y", script{text: unframedHeaders + events(1, 3) + "id: 4\nda", reset: true})
	third := startScripted(t, "z", script{text: framed(events(4, 5))})
	first.Version, second.Version, third.Version = "v1", "v2", "v2"
	b.picker.upstreams = []upstream.Upstream{first, second, third}
	q := b.streamed(true)
	a, err := b.dispatcher.Serve(context.Background(), q)
	is.NoErr(err)
	text, err := io.ReadAll(a.Body)
	is.NoErr(err)
	is.Equal(string(text), events(1, 5))
	is.Equal(q.Start.Version, "v2")
}
