package orderclient_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/leadership"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/model"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/order"
	"siskinrun/internal/routing/planner"
	"siskinrun/internal/wire/orderclient"
	"siskinrun/pkg/refusal"
)

// fencingEngines execute orders at once and reject old fencing tokens. Like the transport, they get nothing after a call's
// deadline.
type fencingEngines struct {
	timer *timer.Service

	mu     sync.Mutex
	list   []upstream.Upstream
	tokens map[string]uint64
	// accepted holds the tokens of the orders that were executed.
	accepted []uint64
}

func newFencingEngines(m *timer.Service, n int) *fencingEngines {
	e := &fencingEngines{timer: m, tokens: map[string]uint64{}}
	for i := range n {
		e.list = append(e.list, upstream.Upstream{
			Name: fmt.Sprint("e", i), Address: fmt.Sprint("a", i), Kind: upstream.Engine, Service: "llm",
			Models: []string{"m@1"}, Slots: 10, Fencing: true, Incarnation: 1,
		})
	}
	return e
}

func (e *fencingEngines) Do(_ context.Context, address string, c *call.Call) (*answer.Answer, error) {
	if !e.timer.Now().Before(c.Deadline) {
		return nil, refusal.NewNotRun(503, "upstream-unreachable", "the deadline has passed")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	u := &e.list[slices.IndexFunc(e.list, func(u upstream.Upstream) bool { return u.Address == address })]
	b, err := json.Marshal(u)
	a := &answer.Answer{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(b)))}
	if err != nil || c.Method == http.MethodGet {
		return a, err
	}
	var o struct {
		Token uint64 `json:"fencing-number"`
		Model string
	}
	if err := json.Unmarshal(c.Body, &o); err != nil {
		return nil, err
	}
	if o.Token < e.tokens[address] {
		a.Status = http.StatusConflict
		return a, nil
	}
	e.tokens[address] = o.Token
	e.accepted = append(e.accepted, o.Token)
	u.Models = append(slices.Clone(u.Models), o.Model)
	return a, nil
}

// upstreams returns some of the engines as they are.
func (e *fencingEngines) upstreams(from, to int) func() []upstream.Upstream {
	return func() []upstream.Upstream {
		e.mu.Lock()
		defer e.mu.Unlock()
		return slices.Clone(e.list[from:to])
	}
}

// leader returns a planner that leads in a term and plans two replicas of a model.
func (e *fencingEngines) leader(term uint64, since time.Time) *planner.Planner {
	p := planner.NewPlanner()
	p.Timer = e.timer
	p.Engines = &orderclient.Client{Transport: e, Timer: e.timer}
	p.Lead = func() leadership.Status {
		return leadership.Status{Leading: true, Term: term, Since: since, Until: e.timer.Now().Add(5 * time.Second)}
	}
	p.Configuration = func() *configuration.Configuration {
		return &configuration.Configuration{
			Routes: map[string]route.Route{"chat": {Model: "m", Version: "2", Service: "llm"}},
			Models: map[string]model.Model{"m": {Versions: []string{"1", "2"}, MinReplicas: 2}},
		}
	}
	p.OnlineRequests = func(string) int { return 0 }
	return p
}

// suspendedClient suspends its leader just before each order.
type suspendedClient struct {
	*orderclient.Client
	ordered sync.WaitGroup
	woken   chan struct{}
}

func (s *suspendedClient) Send(ctx context.Context, address string, o order.Order) error {
	s.ordered.Done()
	<-s.woken
	return s.Client.Send(ctx, address, o)
}

// TestOrderOfASuspendedLeaderIsNotSentWhenItWakes guards against loads that two leaders order, each at engines of its choice.
func TestOrderOfASuspendedLeaderIsNotSentWhenItWakes(t *testing.T) {
	is := is.New(t)
	m := timer.NewManual(time.Unix(1000, 0))
	e := newFencingEngines(m, 4)
	former := e.leader(7, m.Now().Add(-time.Hour))
	former.Upstreams = e.upstreams(0, 2)
	s := &suspendedClient{Client: &orderclient.Client{Transport: e, Timer: m}, woken: make(chan struct{})}
	s.ordered.Add(2)
	former.Engines = s
	done := make(chan struct{})
	go func() {
		defer close(done)
		former.Step(t.Context())
	}()
	s.ordered.Wait()

	m.Advance(time.Hour)
	next := e.leader(9, m.Now())
	next.Upstreams = e.upstreams(1, 4)
	for range 600 {
		next.Step(t.Context())
		m.Advance(time.Second)
	}
	close(s.woken)
	<-done
	is.Equal(e.accepted, []uint64{9, 9})
}
