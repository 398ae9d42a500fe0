package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/base/group"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/config/configstore"
	"siskinrun/internal/config/operatorapi"
	"siskinrun/internal/data/candidate"
	"siskinrun/internal/data/choice"
	"siskinrun/internal/data/explanation"
	"siskinrun/internal/data/ratestate"
	"siskinrun/internal/data/serviceoutlook"
	"siskinrun/internal/product/command"
	"siskinrun/pkg/refusal"
)

// startExplainer serves explanations as a host named nz-a-1 and returns its address and a function that runs a command against it.
func startExplainer(t *testing.T) (address string, run func(args ...string) (int, string)) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	r := fakeFleet{configstore.NewStore()}
	o := &operatorapi.Server{Listener: l, Secret: []byte(operatorSecret), Configuration: r, Client: r, Timer: timer.NewService()}
	o.Handle("GET", "/v1/explain", func(_ context.Context, q *operatorapi.Request) ([]byte, error) {
		switch {
		case q.Query("route") == "none":
			return nil, refusal.NewNotRun(404, "unknown-route", "no route has this name")
		case q.Query("route") == "early":
			return nil, refusal.NewNotRun(503, "no-configuration", "this host has not received a configuration yet")
		}
		s, age := 0.25, duration.Duration(1500*time.Millisecond)
		return json.Marshal(&explanation.Explanation{
			Host: "nz-a-1", Team: q.Query("team"), Route: q.Query("route"), Rate: &ratestate.State{Outcome: ratestate.Admitted},
			Services: []serviceoutlook.Outlook{{Service: "desk", Weight: 1, Weights: 4, Outcome: "sent", Choice: choice.Choice{
				Upstream: "u1", Candidates: []candidate.Candidate{
					{Upstream: "u1", Score: &s, Chosen: true, Reason: "chosen", Announced: &age}, {Upstream: "u2", Reason: "evacuated"},
				},
			}}},
		})
	})
	g := group.NewGroup(t.Context())
	g.Go("operator", o.Run)
	return l.Addr().String(), func(args ...string) (int, string) {
		var b bytes.Buffer
		c := command.NewCommand()
		c.Out, c.Err = &b, &b
		n := c.Run(append(args, "--base", "../../../examples/kowhai/base.jsonc", "--overlay", "../../../examples/kowhai/nz-south.jsonc"))
		return n, b.String()
	}
}

// TestExplainShowsTheDecisionOfOneHost guards against an output without the host, the choice or the reasons, against the answer
// of another host, and against errors that end with 0 or without a clear text.
func TestExplainShowsTheDecisionOfOneHost(t *testing.T) {
	is := is.New(t)
	address, run := startExplainer(t)
	for _, c := range []struct {
		args string
		code int
		want []string
	}{
		{"explain --route a --team b --host nz-a-1", 0, []string{"host nz-a-1", "team b, route a", "rate: admitted", "service desk (1 of 4): sent, upstream u1", "u1", "0.250  chosen", "1.5s", "evacuated"}},
		{"explain --route a --team b --host nz-a-1 --json", 0, []string{`"host": "nz-a-1"`, `"announced-age": "1.5s"`, `"reason": "evacuated"`}},
		{"explain --route a --host nz-a-2", 1, []string{"host nz-a-1 answered in place of nz-a-2"}},
		{"explain --route none --host nz-a-1", 1, []string{"unknown-route", "no route has this name"}},
		{"explain --route early --host nz-a-1", 1, []string{"no-configuration"}},
		{"explain --host nz-a-1", 1, []string{"give --route, --path or --model"}},
	} {
		n, out := run(append(strings.Fields(c.args), "--address", address)...)
		is.Equal(n, c.code)
		for _, w := range c.want {
			if !strings.Contains(out, w) {
				t.Errorf("%s: %q does not contain %q", c.args, out, w)
			}
		}
	}
	n, out := run("explain", "--route", "a", "--host", "nowhere")
	is.Equal(n, 1)
	is.True(strings.Contains(out, `unknown host "nowhere"`))
	n, out = run("explain", "--route", "a")
	is.Equal(n, 1)
	is.True(strings.Contains(out, "give --host or --address"))
}
