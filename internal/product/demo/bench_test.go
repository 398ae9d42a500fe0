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
	benchRate    = 1000
	benchWorkers = 32
	benchBody    = 200
)

// newFleet starts a demo fleet that ends with the benchmark.
func newFleet(b *testing.B) *Demo {
	b.Helper()
	out := &buffer{}
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

// client sends calls to one address.
type client struct {
	demo     *Demo
	address  string
	path     string
	exchange *transport.Transport
}

func (c *client) send(n int) error {
	now := c.demo.timer.Now()
	a, err := c.exchange.Do(context.Background(), c.address, &call.Call{
		ID:       "bench-" + strconv.Itoa(n),
		Method:   "POST",
		Path:     c.path,
		Headers:  [][2]string{{"Authorization", "Bearer " + c.demo.secret}},
		Body:     make([]byte, benchBody),
		Rule:     route.Route{Repeatable: true},
		Arrived:  now,
		Deadline: now.Add(time.Minute),
	})
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	_, err = io.Copy(io.Discard, a.Body)
	return err
}

// pace sends n calls at a fixed rate and returns their times, counted from when each was due.
func (c *client) pace(b *testing.B, n int) *latency.Histogram {
	l := latency.NewHistogram()
	g := group.NewGroup(context.Background())
	start := c.demo.timer.Now()
	for i := range n {
		due := start.Add(time.Duration(i) * time.Second / benchRate)
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

// BenchmarkOverhead compares calls through one host with direct calls to the stand-in.
func BenchmarkOverhead(b *testing.B) {
	d := newFleet(b)
	x := &transport.Transport{Timer: d.timer, IdleTimeout: idleBench, BodyReadTimeout: time.Minute}
	direct := &client{d, d.services[0].Upstream.Address, "/looks/x", x}
	host := &client{d, d.newLoad().Hosts[0], "/looks/x", x}
	n := max(b.N, 2*benchRate)
	direct.pace(b, benchRate)
	host.pace(b, benchRate)
	b.ResetTimer()
	p, q := direct.pace(b, n), host.pace(b, n)
	b.ReportMetric(added(p, q, 0.5), "added-p50-ms")
	b.ReportMetric(added(p, q, 0.99), "added-p99-ms")
}

const idleBench = 2 * time.Second

func added(direct, host *latency.Histogram, share float64) float64 {
	return float64(host.Quantile(share)-direct.Quantile(share)) / float64(time.Millisecond)
}

// allocations returns how often this process has allocated.
func allocations() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}

// BenchmarkLeak counts the goroutines that are left after many calls, and the allocations of client, host and stand-in together.
func BenchmarkLeak(b *testing.B) {
	const calls = 100_000
	d := newFleet(b)
	x := &transport.Transport{Timer: d.timer, IdleTimeout: idleBench, BodyReadTimeout: time.Minute}
	c := &client{d, d.newLoad().Hosts[0], "/looks/x", x}
	c.work(b, benchRate)
	before := runtime.NumGoroutine()
	old := allocations()
	b.ResetTimer()
	c.work(b, calls)
	b.ReportMetric(float64(allocations()-old)/calls, "allocations/call")
	_ = d.timer.Sleep(b.Context(), idleBench)
	b.ReportMetric(float64(max(runtime.NumGoroutine()-before, 0)), "leaked-goroutines")
	b.ReportMetric(float64(calls)/b.Elapsed().Seconds(), "calls/s")
}

// work sends n calls from a few workers.
func (c *client) work(b *testing.B, n int) {
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
