package demo

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
	"siskinrun/internal/config/operatorclient"
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
