package announcer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/report"
	"siskinrun/internal/data/upstream"
)

const (
	announceInterval = time.Second
	reportInterval   = 500 * time.Millisecond
	postTimeout      = 700 * time.Millisecond
)

// Announcer posts the announcement and the load of one upstream to the first host that answers.
type Announcer struct {
	// Hosts are the addresses that take announcements.
	Hosts []string
	// Secret proves that the announcer belongs to the fleet.
	Secret string
	// Upstream returns what to announce.
	Upstream func() upstream.Upstream
	// Report returns the load to report.
	Report func() report.Report
	// Timer tells the time.
	Timer *timer.Service

	client fasthttp.Client
	next   int
}

// Run announces and reports until ctx ends.
func (a *Announcer) Run(ctx context.Context) error {
	n := a.Timer.Now()
	for {
		if !a.Timer.Now().Before(n) {
			_ = a.Post("/v1/upstreams/announce", a.Upstream())
			n = a.Timer.Now().Add(announceInterval)
		}
		_ = a.Post("/v1/upstreams/load", a.Report())
		if err := a.Timer.Sleep(ctx, reportInterval); err != nil {
			return err
		}
	}
}

// Leave says that the upstream takes no new work.
func (a *Announcer) Leave() error {
	return a.Post("/v1/upstreams/leave", a.Upstream())
}

// Post sends a message as JSON to the first host that takes it.
func (a *Announcer) Post(path string, message any) error {
	b, err := json.Marshal(message)
	if err != nil {
		return err
	}
	err = errors.New("no host is known")
	for range a.Hosts {
		h := a.Hosts[a.next%len(a.Hosts)]
		if err = a.post(h, path, b); err == nil {
			return nil
		}
		a.next++
	}
	return err
}

func (a *Announcer) post(host, path string, body []byte) error {
	q := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(q)
	p := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(p)
	q.Header.SetMethod(fasthttp.MethodPost)
	q.SetRequestURI("http://" + host + path)
	q.Header.Set("Authorization", "Bearer "+a.Secret)
	q.Header.SetContentType("application/json")
	q.SetBodyRaw(body)
	if err := a.client.DoTimeout(q, p, postTimeout); err != nil {
		return err
	}
	if p.StatusCode() >= fasthttp.StatusBadRequest {
		return errors.Newf("%s answered %d: %s", host, p.StatusCode(), p.Body())
	}
	return nil
}
