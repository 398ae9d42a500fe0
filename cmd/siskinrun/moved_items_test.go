package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"siskinrun/platform/wire"
)

const (
	movedItems = 200
	// movedSlots is the number of requests that a worker runs at once, so that most items of a job wait.
	movedSlots = 8
	// movedTime is the time in which all items of a job must be listed, below the finish_s of the deployments.
	movedTime = 15 * time.Second
	movedKey  = "key-team0"
)

// movedRoute is a batch route of a configuration.
type movedRoute struct {
	name, prefix, service string
}

// movedFleet is a fleet with workers of two services, whose versions are the services' names.
type movedFleet struct {
	*platformFleet
	version int
}

func newMovedFleet(t *testing.T) (*movedFleet, context.Context) {
	t.Helper()
	p, ctx := startPlatformFleet(t, platformHosts(3), "")
	return p.newMoved(ctx), ctx
}

// newMoved starts the workers of a movedFleet and waits until all hosts serve.
func (f *platformFleet) newMoved(ctx context.Context) *movedFleet {
	f.t.Helper()
	m := &movedFleet{platformFleet: f, version: 100}
	m.install(ctx, movedRoute{"lots", lotsPath, "lm"})
	for i := range 3 {
		for _, s := range []string{"lm", "barn"} {
			w := &platformWorker{fleet: f, id: fmt.Sprint("i-", s, "-", i), service: s, zone: "a", version: s, born: 1, alive: true, slots: movedSlots}
			f.run(ctx, w)
		}
	}
	f.await(ctx, "readiness", func() error { return f.ready(ctx) })
	return m
}

// install installs the next version of the configuration, with the given batch routes.
func (f *movedFleet) install(ctx context.Context, routes ...movedRoute) {
	f.t.Helper()
	f.version++
	var l []string
	for _, r := range routes {
		l = append(l, fmt.Sprintf(`{"name": %q, "host": %q, "path_prefix": %q, "route_type": "batch", "timeout_ms": 4000,`+
			`"target_latency_ms": 1000, "service": %q, "max_attempts": 3, "completion_target_ms": 20000, "max_wait_s": 50}`,
			r.name, streamHost, r.prefix, r.service))
	}
	service := `{"name": %q, "health_path": "/healthz", "max_conns": 200, "protocol": "h1", "engine": {"slots": 8}}`
	c := fmt.Sprintf(`{"version": %d, "routes": [%s], "services": [`+service+`, `+service+`], "limits": {},`+
		`"tenants": [{"name": "team0", "api_keys": [%q]}]}`, f.version, strings.Join(l, ","), "lm", "barn", movedKey)
	f.await(ctx, "configuration", func() error { return f.post(ctx, wire.PathConfigReplace, c) })
}

// ask sends a request about a batch job to a host and returns the body of its answer.
func (f *movedFleet) ask(ctx context.Context, host, method, path, id, body string, want int) ([]byte, error) {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+host+":7443"+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	q.Host = streamHost
	q.Header.Set(wire.AttemptID, id)
	q.Header.Set("Authorization", wire.Scheme+" "+movedKey)
	a, err := f.http.Do(q)
	if err != nil {
		return nil, err
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	if err == nil && a.StatusCode != want {
		err = errors.Newf("status %d: %s", a.StatusCode, b)
	}
	return b, err
}

// submit submits a job whose items go to two paths in turn, and waits for its first result.
func (f *movedFleet) submit(ctx context.Context, job string) {
	f.t.Helper()
	var l []jobItem
	for n := range movedItems {
		p := lotsPath + []string{"a/", "b/"}[n%2] + fmt.Sprint(n)
		l = append(l, jobItem{ID: fmt.Sprint(job, "-", n), Path: p, Headers: map[string]string{}, Body: []byte("x"), Tokens: 10})
	}
	b, err := json.Marshal(map[string]any{"requests": l})
	is.New(f.t).NoErr(err)
	f.await(ctx, "submission of "+job, func() error {
		_, err := f.ask(ctx, f.entries[0], http.MethodPost, lotsPath+job, job, string(b), http.StatusAccepted)
		return err
	})
	f.await(ctx, "the first result of "+job, func() error {
		if r, err := f.results(ctx, job); err != nil || len(r) == 0 {
			return errors.Newf("no result: %v", err)
		}
		return nil
	})
}

// results returns the results of a job so far.
func (f *movedFleet) results(ctx context.Context, job string) ([]jobResult, error) {
	b, err := f.ask(ctx, f.entries[1], http.MethodGet, wire.PathJobs+job+"?after=0", "read", "", http.StatusOK)
	if err != nil {
		return nil, err
	}
	p := struct{ Results []jobResult }{}
	err = json.Unmarshal(b, &p)
	return p.Results, err
}

// listed waits until all items of a job are listed, and returns how many are completed, with the output of one service.
func (f *movedFleet) listed(ctx context.Context, job string) (completed int) {
	f.t.Helper()
	ctx, stop := context.WithTimeout(ctx, movedTime)
	defer stop()
	var l []jobResult
	begin := f.timer.Now()
	for len(l) < movedItems && f.timer.Sleep(ctx, pollInterval) == nil {
		if r, err := f.results(ctx, job); err == nil {
			l = r
		}
	}
	for _, r := range l {
		if r.State == "completed" {
			completed++
			is.New(f.t).True(r.Output == outputOf("lm") || r.Output == outputOf("barn"))
		}
	}
	f.t.Logf("%s: %d of %d items listed after %v, %d completed", job, len(l), movedItems, f.timer.Now().Sub(begin).Round(time.Millisecond), completed)
	is.NewRelaxed(f.t).Equal(len(l), movedItems)
	return completed
}

// outputOf returns the output of an item that workers of a version ran.
func outputOf(version string) string {
	var l []string
	for n := range workerEvents {
		l = append(l, fmt.Sprint(version, "-", n+1))
	}
	return strings.Join(l, "\n")
}

// TestItemsFollowTheirPathThroughConfigurations guards against items of an accepted job that are left behind since a later
// configuration has no route of the name under which they were queued, or has it for other paths.
func TestItemsFollowTheirPathThroughConfigurations(t *testing.T) {
	f, ctx := newMovedFleet(t)
	for _, c := range []struct {
		name  string
		after []movedRoute
	}{
		{"same", []movedRoute{{"lots", lotsPath, "lm"}}},
		{"other-name", []movedRoute{{"drafts", lotsPath, "lm"}}},
		{"other-service", []movedRoute{{"lots", lotsPath, "barn"}}},
		{"other-name-and-service", []movedRoute{{"drafts", lotsPath, "barn"}}},
		{"name-of-another-path", []movedRoute{{"lots", "/other/", "barn"}, {"drafts", lotsPath, "lm"}}},
		{"split", []movedRoute{{"lots", lotsPath, "lm"}, {"part", lotsPath + "b/", "barn"}}},
		{"split-without-the-name", []movedRoute{{"one", lotsPath + "a/", "lm"}, {"two", lotsPath + "b/", "barn"}}},
		{"joined", []movedRoute{{"all", "/", "lm"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f.t = t
			f.install(ctx, movedRoute{"lots", lotsPath, "lm"})
			f.submit(ctx, c.name)
			f.install(ctx, c.after...)
			is.New(t).Equal(f.listed(ctx, c.name), movedItems)
		})
	}
}

// TestItemsWhoseRouteIsGoneAreListed guards against items that are neither run nor listed once no route takes their path, and
// against items that are given up though a route takes their path again right after.
func TestItemsWhoseRouteIsGoneAreListed(t *testing.T) {
	f, ctx := newMovedFleet(t)
	f.submit(ctx, "gone")
	f.install(ctx, movedRoute{"other", "/other/", "lm"})
	is.NewRelaxed(t).True(f.listed(ctx, "gone") < movedItems)

	f.install(ctx, movedRoute{"lots", lotsPath, "lm"})
	f.submit(ctx, "back")
	f.install(ctx, movedRoute{"other", "/other/", "lm"})
	is.New(t).NoErr(f.timer.Sleep(ctx, 2*time.Second))
	f.install(ctx, movedRoute{"drafts", lotsPath, "barn"})
	is.New(t).Equal(f.listed(ctx, "back"), movedItems)
}
