package planner_test

import (
	"context"
	"encoding/json"
	"io"
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
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/order"
	"siskinrun/internal/wire/orderclient"
	"siskinrun/pkg/refusal"
)

// fencingEngines reject orders with old fencing tokens. Like the transport, they send nothing after a call's deadline.
type fencingEngines struct {
	*fleet
	timer  *timer.Service
	tokens map[string]uint64
}

func (e *fencingEngines) Do(ctx context.Context, address string, c *call.Call) (*answer.Answer, error) {
	if !e.timer.Now().Before(c.Deadline) {
		return nil, refusal.NewNotRun(503, "upstream-unreachable", "the deadline has passed")
	}
	var o struct {
		Token         uint64 `json:"fencing-number"`
		Action, Model string
	}
	if err := json.Unmarshal(c.Body, &o); err != nil {
		return nil, err
	}
	e.mu.Lock()
	old := o.Token < e.tokens[address]
	e.tokens[address] = max(e.tokens[address], o.Token)
	e.mu.Unlock()
	if old {
		return &answer.Answer{Status: 409, Body: io.NopCloser(strings.NewReader(""))}, nil
	}
	err := e.Send(ctx, address, order.Order{Fence: o.Token, Kind: o.Action, Model: o.Model})
	return &answer.Answer{Status: 200, Body: io.NopCloser(strings.NewReader(""))}, err
}

// sender sends orders to engines, whose states it reads from memory.
type sender struct {
	*fleet
	client *orderclient.Client
	// suspended, if set, is called before each order is sent.
	suspended func()
}

func (s *sender) Send(ctx context.Context, address string, o order.Order) error {
	if s.suspended != nil {
		s.suspended()
	}
	return s.client.Send(ctx, address, o)
}

// TestOrderOfASuspendedLeaderIsNotSentWhenItWakes guards against loads that two leaders order, each at engines of its choice.
func TestOrderOfASuspendedLeaderIsNotSentWhenItWakes(t *testing.T) {
	is := is.New(t)
	m := timer.NewManual(time.Unix(1000, 0))
	f := newFleet(4, true)
	c := &orderclient.Client{Transport: &fencingEngines{f, m, map[string]uint64{}}, Timer: m}
	former := newPlanner(m, f, &leadership.Status{Leading: true, Term: 7, Since: m.Now().Add(-time.Hour)})
	var ordered sync.WaitGroup
	ordered.Add(2)
	woken := make(chan struct{})
	former.Engines = &sender{f, c, func() {
		ordered.Done()
		<-woken
	}}
	former.Upstreams = func() []upstream.Upstream { return slices.Clone(f.list[:2]) }
	done := make(chan struct{})
	go func() {
		defer close(done)
		former.Step(t.Context())
	}()
	ordered.Wait()

	m.Advance(time.Hour)
	next := newPlanner(m, f, &leadership.Status{Leading: true, Term: 9, Since: m.Now()})
	next.Engines = &sender{f, c, nil}
	next.Upstreams = func() []upstream.Upstream { return slices.Clone(f.list[1:]) }
	run(next, m, 10*time.Minute)
	close(woken)
	<-done
	is.Equal(len(f.orders), 2)
	for _, o := range f.orders {
		is.Equal(o.Fence, uint64(9))
	}
}
