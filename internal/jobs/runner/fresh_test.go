package runner

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/item"
	"siskinrun/internal/data/itemline"
	"siskinrun/internal/data/streamstart"
	"siskinrun/internal/data/upstream"
)

// alwaysFresh says that each upstream has announced its version lately.
func alwaysFresh(string) bool { return true }

// TestTextGoesOnOnlyAtAFreshVersion guards against a host out of step that goes on with a text at an upstream whose version it
// knows from before.
func TestTextGoesOnOnlyAtAFreshVersion(t *testing.T) {
	b, err := json.Marshal(itemline.Line{CustomID: "i", Inline: true, Method: "POST", URL: "/x"})
	is.New(t).NoErr(err)
	for _, fresh := range []bool{true, false} {
		is := is.New(t)
		r := &Runner{
			VersionFresh: func(string) bool { return fresh },
			Pipeline:     &versionPipeline{},
			Timer:        timer.NewService(),
			Upstreams:    func() []upstream.Upstream { return []upstream.Upstream{{Name: "a", Service: "s", Version: "v1"}} },
		}
		a, err := r.Run(t.Context(), "a", item.Item{Line: b, NextEvent: 4, Text: []byte("so far"), Start: streamstart.Start{Service: "s", Version: "v1"}})
		is.NoErr(err)
		is.Equal(strings.HasPrefix(string(a.Body), "so far\n"), fresh)
		is.Equal(strings.HasPrefix(string(a.Body), "s/v1-1\n"), !fresh)
	}
}
