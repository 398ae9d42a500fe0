package metricspage

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"siskinrun/internal/base/httpserver"
)

const stopTimeout = time.Second

// quantiles are the quantiles served for each timer and histogram.
var quantiles = []float64{0.5, 0.9, 0.99}

// Page serves one line per value: its name, a space and the value; times are in nanoseconds.
type Page struct {
	// Listener accepts the connections.
	Listener net.Listener
	// Metrics holds the metrics to serve.
	Metrics metrics.Registry
}

// Run serves until ctx ends.
func (p *Page) Run(ctx context.Context) error {
	s := &fasthttp.Server{
		Handler:               func(x *fasthttp.RequestCtx) { x.SetBody(p.Text()) },
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	return (&httpserver.Server{Server: s, Listener: p.Listener, StopTimeout: stopTimeout}).Run(ctx)
}

// Text returns all lines, sorted by name.
func (p *Page) Text() []byte {
	var l []string
	p.Metrics.Each(func(n string, m any) { l = append(l, lines(n, m)...) })
	slices.Sort(l)
	var b bytes.Buffer
	for _, s := range l {
		b.WriteString(s)
		b.WriteByte('\n')
	}
	return b.Bytes()
}

func lines(n string, m any) []string {
	switch v := m.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d", n, v.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", n, v.Value())}
	case metrics.GaugeFloat64:
		return []string{fmt.Sprintf("%s %g", n, v.Value())}
	case metrics.Meter:
		return []string{fmt.Sprintf("%s.count %d", n, v.Count()), fmt.Sprintf("%s.rate %g", n, v.Rate1())}
	case metrics.Timer:
		return distribution(n, v.Count(), v.Percentiles(quantiles), v.Max())
	case metrics.Histogram:
		return distribution(n, v.Count(), v.Percentiles(quantiles), v.Max())
	}
	return nil
}

func distribution(n string, count int64, q []float64, maximum int64) []string {
	l := []string{fmt.Sprintf("%s.count %d", n, count), fmt.Sprintf("%s.max %d", n, maximum)}
	for i, v := range q {
		l = append(l, fmt.Sprintf("%s.p%g %.0f", n, quantiles[i]*100, v))
	}
	return l
}
