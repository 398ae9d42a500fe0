package relay_test

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/framing"
	"siskinrun/internal/wire/relay"
)

// TestTextOfAnEventEndsNoStream guards against a stream that ends as complete, since the text of an event quotes the marker of
// its end.
func TestTextOfAnEventEndsNoStream(t *testing.T) {
	for _, c := range []struct {
		name, text string
		complete   bool
	}{
		{"marker", "data: a\n\ndata: [DONE]\n\n", true},
		{"marker with an ID", "data: a\n\nid: 1\ndata: [DONE]\n\n", true},
		{"marker without a space", "data: a\n\ndata:[DONE]\n\n", true},
		{"quoted", "data: {\"text\":\"data: [DONE]\"}\n\n", false},
		{"first word", "data: [DONE] is the end\n\n", false},
		{"line of a longer text", "data: a\ndata: [DONE]\ndata: b\n\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newReader(c.text)
			b, err := io.ReadAll(r)
			is.Equal(err == nil, c.complete)
			is.Equal(string(b), c.text)
		})
	}
}

// TestStreamWithoutItsMarkerIsNotComplete guards against a stream that ends as complete before the marker of its end, since its
// events have no numbers and it cannot go on.
func TestStreamWithoutItsMarkerIsNotComplete(t *testing.T) {
	for _, text := range []string{"data: a\n\n", "id: 0\ndata: a\n\n", "", "data: a\n\ndata: b"} {
		for _, f := range []framing.Framing{framing.Length, framing.Chunks, framing.None} {
			is := is.New(t)
			r := newReader(text)
			r.Answer.Framing = f
			var cause error
			r.Done = func(err error) { cause = err }
			_, err := io.ReadAll(r)
			is.True(err != nil)
			is.True(cause != nil && cause != io.EOF)
		}
	}
}

// TestCommentsTakeNoPlaceAmongEvents guards against an event that is left out of a stream, since a comment before it was
// counted as an event.
func TestCommentsTakeNoPlaceAmongEvents(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	for _, c := range []struct{ name, text string }{
		{"between events", event + ": ping\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"},
		{"before the first", ": ping\n\n" + event + "id: 2\ndata: b\n\n"},
		{"after the last", event + ": ping\n\n"},
		{"of two lines", event + ": ping\r\n: pong\r\n\r\nid: 2\ndata: b\n\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newReader(c.text)
			r.EndsWithBody = true
			b, err := io.ReadAll(r)
			is.NoErr(err)
			is.Equal(string(b), c.text)
		})
	}
}

// newReader returns a reader of a stream that cannot go on.
func newReader(text string) *relay.Reader {
	return &relay.Reader{
		Context: context.Background(),
		Answer:  &answer.Answer{Status: 200, Framing: framing.Chunks, Body: io.NopCloser(strings.NewReader(text))},
		Resume: func(context.Context, int, error) (*answer.Answer, error) {
			return nil, errors.New("no upstream")
		},
	}
}

// TestTextWithoutANumberIsNoRest guards against the text of an error that comes in place of the rest of a numbered stream, and is
// passed on as an event of it.
func TestTextWithoutANumberIsNoRest(t *testing.T) {
	const begun, rest = "id: 0\ndata: a\n\n", "id: 1\ndata: b\n\n"
	for _, text := range []string{"{\"error\": \"overloaded\"}\n\n", "HTTP/1.1 503 Service Unavailable\r\nX-A: b\r\n\r\n", "event: error\ndata: overloaded\n\n"} {
		is := is.New(t)
		answers := []string{text, ": comment\n\n" + rest}
		r := &relay.Reader{
			Context: t.Context(), Answer: open(begun + text), EndsWithBody: true,
			Resume: func(_ context.Context, offset int, _ error) (*answer.Answer, error) {
				is.Equal(offset, 1)
				a := open(answers[0])
				answers = answers[1:]
				return a, nil
			},
		}
		b, err := io.ReadAll(r)
		is.NoErr(err)
		is.Equal(string(b), begun+": comment\n\n"+rest)
		is.Equal(len(answers), 0)
	}
}

// open returns an answer in chunks that holds a text.
func open(text string) *answer.Answer {
	return &answer.Answer{Body: io.NopCloser(strings.NewReader(text)), Framing: framing.Chunks}
}
