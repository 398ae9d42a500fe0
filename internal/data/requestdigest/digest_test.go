package requestdigest_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/call"
	"siskinrun/internal/data/requestdigest"
)

func newCall() *call.Call {
	return &call.Call{
		ID: "a", Team: "kea", Method: "POST", Host: "h.example", Path: "/p/1?q=2", Body: []byte("body"),
		Headers: [][2]string{{"X-Length-Hint", "5"}}, ClientTimeout: time.Second,
	}
}

func TestOf(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(c *call.Call)
		same   bool
	}{
		{"another ID", func(c *call.Call) { c.ID = "b" }, true},
		{"another deadline", func(c *call.Call) { c.ClientTimeout = time.Minute }, true},
		{"another arrival", func(c *call.Call) { c.Arrived = time.Now() }, true},
		{"other hints", func(c *call.Call) { c.Headers = [][2]string{{"X-Length-Hint", "7"}} }, true},
		{"no headers", func(c *call.Call) { c.Headers = nil }, true},
		{"host in capitals", func(c *call.Call) { c.Host = "H.Example" }, true},
		{"another host", func(c *call.Call) { c.Host = "i.example" }, false},
		{"another path", func(c *call.Call) { c.Path = "/p/2?q=2" }, false},
		{"another query", func(c *call.Call) { c.Path = "/p/1?q=3" }, false},
		{"another team", func(c *call.Call) { c.Team = "tui" }, false},
		{"another body", func(c *call.Call) { c.Body = []byte("bodz") }, false},
		{"no body", func(c *call.Call) { c.Body = nil }, false},
		{"team moved to the path", func(c *call.Call) { c.Path, c.Team = "/p/1?q=2k", "ea" }, false},
		{"team moved to the body", func(c *call.Call) { c.Team, c.Body = "ke", []byte("abody") }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newCall()
			c.change(x)
			is.New(t).Equal(requestdigest.Of(x) == requestdigest.Of(newCall()), c.same)
		})
	}
}

func TestNoBodyIsAnEmptyBody(t *testing.T) {
	x, y := newCall(), newCall()
	x.Body, y.Body = nil, []byte{}
	is.New(t).Equal(requestdigest.Of(x), requestdigest.Of(y))
}

func BenchmarkOf(b *testing.B) {
	x := newCall()
	x.Body = make([]byte, 4<<10)
	b.SetBytes(int64(len(x.Body)))
	for b.Loop() {
		requestdigest.Of(x)
	}
}
