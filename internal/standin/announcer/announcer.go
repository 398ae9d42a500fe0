package announcer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"siskinrun/internal/base/answerdialer"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/loadreport"
	"siskinrun/internal/data/upstream"
)

const (
	announceInterval = time.Second
	reportInterval   = 500 * time.Millisecond
	postTimeout      = 700 * time.Millisecond
)

// Announcer posts the announcement and load of one upstream to the first host that accepts them.
type Announcer struct {
	// Hosts are the host addresses for announcements.
	Hosts []string
	// Secret authenticates the announcements.
	Secret string
	// Upstream returns the upstream to announce.
	Upstream func() upstream.Upstream
	// Report returns the load to report.
	Report func() loadreport.Report
	// Timer provides the time.
	Timer *timer.Service

	once     sync.Once
	client   fasthttp.Client
	nextHost int
}

// Run posts announcements and load reports until ctx ends.
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

// Leave announces that the upstream accepts no new work.
func (a *Announcer) Leave() error {
	return a.Post("/v1/upstreams/leave", a.Upstream())
}

// Post sends a message as JSON to the first host that accepts it.
func (a *Announcer) Post(path string, message any) error {
	b, err := json.Marshal(message)
	if err != nil {
		return err
	}
	err = errors.New("no hosts are configured")
	for range a.Hosts {
		h := a.Hosts[a.nextHost%len(a.Hosts)]
		if err = a.post(h, path, b); err == nil {
			return nil
		}
		a.nextHost++
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
	a.once.Do(func() { a.client.Dial = a.dial })
	if err := a.client.DoTimeout(q, p, postTimeout); err != nil {
		return err
	}
	if p.StatusCode() >= fasthttp.StatusBadRequest {
		return errors.Newf("%s answered with status %d: %s", host, p.StatusCode(), p.Body())
	}
	return nil
}

// dial opens a connection to a host.
func (a *Announcer) dial(address string) (net.Conn, error) {
	d := &answerdialer.Dialer{Timeout: postTimeout}
	return d.Dial(context.Background(), address)
}
