package demo

import (
	"context"
	"io"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/route"
	"siskinrun/internal/measure/latency"
	"siskinrun/internal/wire/transport"
)

const (
	benchCallsPerSecond = 1000
	benchWorkers        = 32
	benchBodyBytes      = 200
)

// newFleet starts a demo fleet that stops when the benchmark ends.
func newFleet(b *testing.B) *Demo {
	b.Helper()
	out := &syncBuffer{}
	d := &Demo{Out: out, Log: zerolog.Nop()}
	ctx, cancel := context.WithCancel(context.Background())
	g := group.NewGroup(ctx)
	g.Go("demo", d.Run)
	for !strings.Contains(out.String(), "export SISKIN_KEY=") {
		time.Sleep(pollInterval)
	}
	b.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	return d
}

// client sends calls to one path of one address.
type client struct {
	demo      *Demo
	address   string
	path      string
	transport *transport.Transport
}

func (c *client) send(n int) error {
	now := c.demo.timer.Now()
	a, err := c.transport.Do(context.Background(), c.address, &call.Call{
		ID:          "bench-" + strconv.Itoa(n),
		Method:      "POST",
		Path:        c.path,
		Headers:     [][2]string{{"Authorization", "Bearer " + c.demo.secret}},
		Body:        make([]byte, benchBodyBytes),
		RouteConfig: route.Route{Repeatable: true},
		Arrived:     now,
		Deadline:    now.Add(time.Minute),
	})
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	_, err = io.Copy(io.Discard, a.Body)
	return err
}

// sendPaced sends n calls at a fixed rate and returns their latencies. Each latency is measured from when its call was sent.
func (c *client) sendPaced(b *testing.B, n int) *latency.Histogram {
	l := latency.NewHistogram()
	g := group.NewGroup(context.Background())
	start := c.demo.timer.Now()
	for i := range n {
		due := start.Add(time.Duration(i) * time.Second / benchCallsPerSecond)
		if err := c.demo.timer.Sleep(b.Context(), due.Sub(c.demo.timer.Now())); err != nil {
			b.Fatal(err)
		}
		sent := c.demo.timer.Now()
		g.Go("call", func(context.Context) error {
			err := c.send(i)
			l.Add(c.demo.timer.Now().Sub(sent))
			return err
		})
	}
	if err := g.Wait(); err != nil {
		b.Fatal(err)
	}
	return l
}

// BenchmarkOverhead reports the latency that calls through one host have in addition to direct calls to the stand-in.
func BenchmarkOverhead(b *testing.B) {
	d := newFleet(b)
	x := &transport.Transport{Timer: d.timer, IdleTimeout: benchIdleTimeout, BodyReadTimeout: time.Minute}
	direct := &client{d, d.services[0].Upstream.Address, "/looks/x", x}
	host := &client{d, d.newGenerator().Hosts[0], "/looks/x", x}
	n := max(b.N, 2*benchCallsPerSecond)
	direct.sendPaced(b, benchCallsPerSecond)
	host.sendPaced(b, benchCallsPerSecond)
	b.ResetTimer()
	directLatency, hostLatency := direct.sendPaced(b, n), host.sendPaced(b, n)
	b.ReportMetric(addedMilliseconds(directLatency, hostLatency, 0.5), "added-p50-ms")
	b.ReportMetric(addedMilliseconds(directLatency, hostLatency, 0.99), "added-p99-ms")
}

const benchIdleTimeout = 2 * time.Second

func addedMilliseconds(direct, host *latency.Histogram, share float64) float64 {
	return float64(host.Quantile(share)-direct.Quantile(share)) / float64(time.Millisecond)
}

// allocations returns the number of heap allocations of this process.
func allocations() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}

// BenchmarkLeak reports the goroutines that are left after many calls, and the allocations a call of client, host and
// stand-in together.
func BenchmarkLeak(b *testing.B) {
	const calls = 100_000
	d := newFleet(b)
	x := &transport.Transport{Timer: d.timer, IdleTimeout: benchIdleTimeout, BodyReadTimeout: time.Minute}
	c := &client{d, d.newGenerator().Hosts[0], "/looks/x", x}
	c.sendAll(b, benchCallsPerSecond)
	before := runtime.NumGoroutine()
	old := allocations()
	b.ResetTimer()
	c.sendAll(b, calls)
	b.ReportMetric(float64(allocations()-old)/calls, "allocations/call")
	_ = d.timer.Sleep(b.Context(), benchIdleTimeout)
	b.ReportMetric(float64(max(runtime.NumGoroutine()-before, 0)), "leaked-goroutines")
	b.ReportMetric(float64(calls)/b.Elapsed().Seconds(), "calls/s")
}

// sendAll sends n calls from benchWorkers goroutines.
func (c *client) sendAll(b *testing.B, n int) {
	g := group.NewGroup(context.Background())
	for w := range benchWorkers {
		g.Go("worker", func(context.Context) error {
			for i := w; i < n; i += benchWorkers {
				if err := c.send(i); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		b.Fatal(err)
	}
}
