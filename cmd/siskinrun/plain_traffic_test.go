package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"siskinrun/internal/base/group"
)

// plainTraffic is requests of one kind that keep coming at random hosts.
type plainTraffic struct {
	fleet *plainFleet
	name  string
	// every is the mean time between two requests, or two bursts.
	every time.Duration
	// burst is the number of the same request that sometimes come at once, zero for none.
	burst int
	// again means that callers try another host after a failure, if they may.
	again   bool
	request func(n int) plainRequest
	random  *rand.Rand

	mu       sync.Mutex
	attempts []plainAttempt
}

// plainAttempt is an attempt of a plainTraffic and its answer.
type plainAttempt struct {
	at time.Time
	plainAnswer
}

func (t *plainTraffic) run(ctx context.Context) error {
	g := group.NewGroup(ctx)
	for n := 0; ; n++ {
		if t.fleet.timer.Sleep(ctx, t.every*time.Duration(70+t.random.IntN(60))/100) != nil {
			return g.Wait()
		}
		hosts := t.random.Perm(len(t.fleet.entries))
		k := 1
		if t.burst > 0 && t.random.IntN(4) == 0 {
			k = t.burst
		}
		for i := range k {
			g.Go("request", func(context.Context) error {
				t.send(ctx, fmt.Sprint(t.name, "-", n, "-", i), t.request(n), t.fleet.entries[hosts[i]], t.fleet.entries[hosts[k]])
				return nil
			})
		}
	}
}

// send sends a request to a host, and to another one after a failure.
func (t *plainTraffic) send(ctx context.Context, id string, r plainRequest, host, next string) {
	a := t.attempt(ctx, id, r, host)
	promised := a.status == http.StatusServiceUnavailable
	if t.again && !a.served && (promised || !strings.HasPrefix(r.path, "/once/")) {
		t.attempt(ctx, id+"-again", r, next)
	}
}

func (t *plainTraffic) attempt(ctx context.Context, id string, r plainRequest, host string) plainAnswer {
	at := t.fleet.timer.Now()
	a := t.fleet.try(ctx, host, id, r)
	if ctx.Err() != nil {
		return a // cut by the end of the traffic
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts = append(t.attempts, plainAttempt{at, a})
	return a
}

// counts returns the number of attempts, of those that were served, and of the others by what they were answered.
func (t *plainTraffic) counts(counted func(at time.Time) bool) (sent, served int, others map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	others = map[string]int{}
	for _, a := range t.attempts {
		if !counted(a.at) {
			continue
		}
		sent++
		if a.served {
			served++
			continue
		}
		others[a.kind()]++
	}
	return sent, served, others
}

// refusedAsCrashing returns the number of attempts that were refused for what they do to upstreams.
func (t *plainTraffic) refusedAsCrashing() int {
	_, _, others := t.counts(func(time.Time) bool { return true })
	n := 0
	for k, c := range others {
		if strings.HasPrefix(k, "503 crashing") {
			n += c
		}
	}
	return n
}
