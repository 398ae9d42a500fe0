package dispatch_test

import (
	"context"
	"io"
	"testing"

	"github.com/matryer/is"

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
