package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
	"siskinrun/internal/config/operatorclient"
	"siskinrun/internal/data/explanation"
)

// syncBuffer is a buffer for concurrent reads and writes.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// String returns what was written.
func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// TestCallerKeyIsNotLeaked sends calls of each kind and a batch job. The caller's key must not occur in a log line, a
// metric, or a header that a stand-in received.
func TestCallerKeyIsNotLeaked(t *testing.T) {
	is := is.New(t)
	out, log := &syncBuffer{}, &syncBuffer{}
	d := &Demo{Out: out, Log: zerolog.New(log).Level(zerolog.DebugLevel)}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	g := group.NewGroup(ctx)
	g.Go("demo", d.Run)
	for !strings.Contains(out.String(), "export SISKIN_KEY=") {
		is.NoErr(ctx.Err())
		time.Sleep(pollInterval)
	}
	s, err := d.newGenerator().RunOnce(ctx)
	is.NoErr(err)
	is.Equal(s.FaultCount, 0)
	is.Equal(s.Batch.Completed+s.Batch.Failed, batchItems)
	for _, h := range d.settings.Fleet.Hosts {
		c := &operatorclient.Client{Addresses: []string{h.Operators}, Secret: d.settings.OperatorSecret, Timer: d.timer, Timeout: startTimeout}
		m, err := c.Do(ctx, "GET", "/v1/metrics", nil)
		is.NoErr(err)
		is.True(strings.Contains(string(m), "calls"))
		is.True(!strings.Contains(string(m), d.secret))
	}
	d.checkExplanations(ctx, t)
	calls := 0
	for _, e := range d.engines {
		is.True(!e.SawInHeader(d.secret))
		calls += len(e.Runs())
	}
	for _, v := range d.services {
		is.True(!v.SawInHeader(d.secret))
		calls += len(v.Runs())
	}
	is.True(calls >= batchItems-batchItems/impossibleEvery+2)
	is.True(strings.Contains(log.String(), `"message":"call"`))
	is.True(!strings.Contains(log.String(), d.secret))
	cancel()
	is.NoErr(g.Wait())
}

// TestShortAnswersFailTheDemo makes every stand-in cut its answers short, which the demo must report as an error.
func TestShortAnswersFailTheDemo(t *testing.T) {
	is := is.New(t)
	d := &Demo{Out: io.Discard, Log: zerolog.Nop(), Once: true, Fault: "short"}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	is.True(d.Run(ctx) != nil)
}

// checkExplanations checks that each host tells where requests would go, that it refuses what it can't explain and operators
// without the secret, and that neither an admission, a place in a queue nor a call at an upstream comes of it.
func (d *Demo) checkExplanations(ctx context.Context, t *testing.T) {
	is := is.New(t)
	runs := d.runs()
	for n, h := range d.settings.Fleet.Hosts {
		c := &operatorclient.Client{Addresses: []string{h.Operators}, Secret: d.settings.OperatorSecret, Timer: d.timer, Timeout: startTimeout}
		before := decisions(ctx, t, c)
		for _, q := range []string{"route=looks", "path=/looks/1", "route=demo-model", "model=demo-model"} {
			for range 20 {
				e := &explanation.Explanation{}
				b, err := c.Do(ctx, "GET", "/v1/explain?team="+teamName+"&"+q, nil)
				is.NoErr(err)
				is.NoErr(json.Unmarshal(b, e))
				is.Equal(e.Host, n)
				is.Equal(len(e.Services), 1)
				is.True(e.Rate != nil)
				s := e.Services[0]
				is.True(s.Choice.Upstream != "")
				chosen := 0
				for _, u := range s.Choice.Candidates {
					is.True(u.Reason != "")
					if u.Chosen {
						chosen++
						is.Equal(u.Upstream, s.Choice.Upstream)
					}
				}
				is.Equal(chosen, 1)
			}
		}
		is.Equal(decisions(ctx, t, c), before)
		for q, want := range map[string]string{
			"route=none&team=demo": "unknown-route", "path=/none": "unknown-route", "model=none": "unknown-model",
			"route=looks&team=none": "unknown-team", "route=looks": "no-team", "team=demo": "bad-parameter",
		} {
			_, err := c.Do(ctx, "GET", "/v1/explain?"+q, nil)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), want))
		}
		c = &operatorclient.Client{Addresses: []string{h.Operators}, Secret: []byte("wrong"), Timer: d.timer, Timeout: startTimeout}
		_, err := c.Do(ctx, "GET", "/v1/explain?route=looks&team=demo", nil)
		is.True(err != nil)
	}
	is.Equal(d.runs(), runs)
}

// runs returns the number of requests that reached the stand-ins.
func (d *Demo) runs() int {
	n := 0
	for _, e := range d.engines {
		n += len(e.Runs())
	}
	for _, v := range d.services {
		n += len(v.Runs())
	}
	return n
}

// decisions returns the counters of a host's decisions on calls.
func decisions(ctx context.Context, t *testing.T, c *operatorclient.Client) map[string]float64 {
	is := is.New(t)
	b, err := c.Do(ctx, "GET", "/v1/metrics", nil)
	is.NoErr(err)
	m := map[string]map[string]any{}
	is.NoErr(json.Unmarshal(b, &m))
	l := map[string]float64{}
	for n, v := range m {
		for _, k := range []string{"admitted", "admission-refused", "queue-entered", "queue-refused", "permits-granted", "permits-refused", "departures"} {
			if count, ok := v["count"].(float64); ok && strings.Contains(n, k) {
				l[n] = count
			}
		}
	}
	is.True(len(l) > 0)
	return l
}
