package streamend_test

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/data/framing"
	"siskinrun/internal/data/streamend"
)

func TestOf(t *testing.T) {
	for _, c := range []struct {
		name    string
		framing framing.Framing
		events  int
		begun   bool
		want    streamend.Judgement
	}{
		{"framed", framing.Chunks, 3, true, streamend.Whole},
		{"framed, nothing follows", framing.Length, 0, true, streamend.Whole},
		{"framed, no event", framing.Length, 0, false, streamend.Empty},
		{"no framing", framing.None, 3, true, streamend.Unsaid},
		{"no framing, nothing follows", framing.None, 0, true, streamend.Cut},
		{"no framing, no event", framing.None, 0, false, streamend.Cut},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(streamend.Of(c.framing, c.events, c.begun), c.want)
		})
	}
}
