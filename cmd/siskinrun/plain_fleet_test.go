package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"siskinrun/platform/wire"
)

const (
	plainHost = "desk.example"
	plainPage = "/open/page"
	// plainPatience is how long a client waits.
	plainPatience = 3 * time.Second
)

// plainConfiguration has routes that are open, that may be repeated and that run once, and three teams.
const plainConfiguration = `{"version": 8, "routes": [
  {"name": "open", "host": "desk.example", "path_prefix": "/open/", "route_type": "idempotent", "timeout_ms": 4000,
    "target_latency_ms": 800, "service": "desk", "max_attempts": 3, "public": true},
  {"name": "look", "host": "desk.example", "path_prefix": "/look/", "route_type": "idempotent", "timeout_ms": 4000,
    "target_latency_ms": 800, "service": "desk", "max_attempts": 3},
  {"name": "once", "host": "desk.example", "path_prefix": "/once/", "route_type": "non_idempotent", "timeout_ms": 4000,
    "target_latency_ms": 800, "service": "desk", "max_attempts": 3}],
  "services": [{"name": "desk", "health_path": "` + plainHealthPath + `", "max_conns": 400, "protocol": "h1"}],
  "limits": {}, "tenants": [{"name": "team0", "api_keys": ["key-team0"]}, {"name": "team1", "api_keys": ["key-team1"]},
    {"name": "team2", "api_keys": ["key-team2"]}]}`

// plainFleet is a fleet before plain workers, some of whose requests are deadly: each worker that begins to run one ends.
type plainFleet struct {
	*platformFleet
	plainSetup
	// context ends with the test.
	context context.Context
	// deadly holds what became of each deadly request.
	deadly map[plainRequest]*crashes
	// harmless means that no request is deadly for now.
	harmless atomic.Bool

	mu sync.Mutex
	// workers holds the current run of the worker of each slot.
	workers map[int]*plainWorker
	// reached counts how often each attempt reached workers, and refused holds those that were answered as not run.
	reached map[string]int
	refused map[string]bool
	// itemCrashes holds how many workers are still to crash under an item.
	itemCrashes map[string]int
}

// plainSetup describes a plainFleet.
type plainSetup struct {
	hosts, slots  int
	configuration string
	// engines means that the workers are engines.
	engines bool
}

// newPlainFleet starts entry hosts and workers of a plain service and returns once all hosts serve.
func newPlainFleet(t testing.TB, hosts, slots int, deadly ...plainRequest) *plainFleet {
	t.Helper()
	return startPlainFleet(t, plainSetup{hosts: hosts, slots: slots, configuration: plainConfiguration}, deadly...)
}

// startPlainFleet starts entry hosts and workers and returns once all hosts serve.
func startPlainFleet(t testing.TB, s plainSetup, deadly ...plainRequest) *plainFleet {
	t.Helper()
	p, ctx := startPlatformFleet(t, platformHosts(s.hosts), "")
	f := p.newPlain(ctx, s)
	for _, r := range deadly {
		f.deadly[r] = &crashes{}
	}
	f.await(ctx, "configuration", func() error { return f.post(ctx, wire.PathConfigReplace, s.configuration) })
	for i := range s.slots {
		f.startPlain(ctx, i, 0)
	}
	for _, h := range f.entries {
		f.awaitServing(ctx, h)
	}
	is.New(t).NoErr(f.timer.Sleep(ctx, time.Second))
	return f
}

// newPlain returns the fleet as one before plain workers, of which none runs yet.
func (f *platformFleet) newPlain(ctx context.Context, s plainSetup) *plainFleet {
	return &plainFleet{
		platformFleet: f, plainSetup: s, context: ctx, deadly: map[plainRequest]*crashes{}, workers: map[int]*plainWorker{},
		reached: map[string]int{}, refused: map[string]bool{}, itemCrashes: map[string]int{},
	}
}

// awaitServing waits until a host serves.
func (f *plainFleet) awaitServing(ctx context.Context, host string) {
	f.t.Helper()
	f.await(ctx, "service of "+host, func() error {
		a := f.try(ctx, host, fmt.Sprint("first-", host, "-", f.timer.Now().UnixNano()), plainRequest{method: http.MethodGet, path: plainPage})
		if !a.served {
			return errors.Newf("status %d: %s", a.status, a.body)
		}
		return nil
	})
}

func (f *plainFleet) reach(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reached[id]++
}

// untrue returns the number of attempts that reached a worker though they were answered as not run.
func (f *plainFleet) untrue() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for id := range f.refused {
		if f.reached[id] > 0 {
			n++
			f.t.Logf("%s was refused and reached a worker", id)
		}
	}
	return n
}

// plainAnswer is the answer to one attempt, of status 0 if there was none.
type plainAnswer struct {
	status int
	body   string
	served bool
}

// try sends one attempt to a host, framed with a length or in chunks and with hints by its ID.
func (f *plainFleet) try(ctx context.Context, host, id string, r plainRequest) plainAnswer {
	ctx, stop := context.WithTimeout(ctx, plainPatience)
	defer stop()
	var b io.Reader
	if r.body != "" {
		b = strings.NewReader(r.body)
	}
	q, err := http.NewRequestWithContext(ctx, r.method, "http://"+host+":7443"+r.path, b)
	if err != nil {
		return plainAnswer{}
	}
	q.Host = plainHost
	if b != nil && len(id)%2 == 0 {
		q.ContentLength = -1
	}
	q.Header.Set(wire.AttemptID, id)
	q.Header.Set(wire.Deadline, strconv.FormatInt(plainPatience.Milliseconds()-int64(len(id)), 10))
	q.Header.Set("X-Length-Hint", strconv.Itoa(len(id)))
	if r.prompt != "" {
		q.Header.Set(wire.PromptPrefix, r.prompt)
	}
	if r.team != "" {
		q.Header.Set("Authorization", wire.Scheme+" key-"+r.team)
	}
	a, err := f.http.Do(q)
	if err != nil {
		return plainAnswer{}
	}
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(a.Body)
	if a.StatusCode == http.StatusServiceUnavailable || a.StatusCode == http.StatusTooManyRequests {
		f.mu.Lock()
		f.refused[id] = true
		f.mu.Unlock()
	}
	return plainAnswer{a.StatusCode, string(text), err == nil && a.StatusCode == http.StatusOK && string(text) == r.answer()}
}

// kind returns the status and the code of an answer.
func (a plainAnswer) kind() string {
	_, code, _ := strings.Cut(a.body, `"error":"`)
	code, _, _ = strings.Cut(code, `"`)
	return strings.TrimSpace(fmt.Sprint(a.status, " ", code))
}
