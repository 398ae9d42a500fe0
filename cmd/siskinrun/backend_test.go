package main

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/loadreport"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/standin/announcer"
)

// backend is a plain service that counts the calls that it started, by request body.
type backend struct {
	upstream upstream.Upstream
	listener net.Listener
	hosts    []string
	secret   string
	timer    *timer.Service
	runs     *runCounts
}

// runCounts holds the number of runs by request body, over all backends.
type runCounts struct {
	mu     sync.Mutex
	byBody map[string]int
}

func (r *runCounts) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byBody[id]++
}

func (r *runCounts) count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byBody[id]
}

// ServeHTTP counts the call and answers with its body after 5 to 44 ms.
func (b *backend) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	b.runs.add(string(id))
	_ = b.timer.Sleep(q.Context(), time.Duration(5+rand.IntN(40))*time.Millisecond)
	if i := q.Header.Get("Siskin-Request-Id"); i != "" {
		w.Header().Set("Siskin-Request-Id", i)
	}
	_, _ = w.Write(id)
}

// run serves calls and announces the backend to the hosts until ctx ends.
func (b *backend) run(ctx context.Context) error {
	b.upstream.Address = b.listener.Addr().String()
	s := &http.Server{Handler: b, ReadHeaderTimeout: time.Minute}
	g := group.NewGroup(ctx)
	g.Go("stop", func(ctx context.Context) error {
		<-ctx.Done()
		return s.Close()
	})
	g.Go("serve", func(context.Context) error {
		_ = s.Serve(b.listener)
		return nil
	})
	a := &announcer.Announcer{
		Hosts: b.hosts, Secret: b.secret, Timer: b.timer,
		Upstream: func() upstream.Upstream { return b.upstream },
		Report:   func() loadreport.Report { return loadreport.Report{Upstream: b.upstream.Name, Incarnation: 1} },
	}
	g.Go("announce", a.Run)
	return g.Wait()
}
