package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/matryer/is"
)

// callRecord is a call that must not run twice, and what its answer says about it.
type callRecord struct {
	id     string
	answer string
	// notRun is set if the answer says that the call has not run and never will.
	notRun bool
	// withdrawn is set if the call's key had been withdrawn for longer than withdrawalLimit when it was sent.
	withdrawn bool
}

// sendCalls sends calls to random hosts with random keys, withdrawn ones included, until ctx ends.
func (s *soak) sendCalls(ctx context.Context, r *rand.Rand) error {
	c := &http.Client{Timeout: soakTimeout, Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	names := s.names()
	for n := 0; ctx.Err() == nil; n++ {
		s.mu.Lock()
		var keys []string
		for k := range s.withdrawnAt {
			keys = append(keys, k)
		}
		s.mu.Unlock()
		slices.Sort(keys)
		a := s.sendCall(ctx, c, names[r.IntN(len(names))], fmt.Sprintf("%x-%d", r.Uint64(), n), keys[r.IntN(len(keys))])
		s.record(a)
		if a.answer != a.id && !sleep(ctx, 20*time.Millisecond) {
			return nil
		}
	}
	return nil
}

// sendCall sends a call whose body is its ID and returns its record.
func (s *soak) sendCall(ctx context.Context, c *http.Client, host, id, secret string) callRecord {
	a := callRecord{id: id}
	s.mu.Lock()
	at := s.withdrawnAt[secret]
	s.mu.Unlock()
	a.withdrawn = !at.IsZero() && time.Since(at) > withdrawalLimit
	q, err := http.NewRequestWithContext(ctx, "POST", "http://"+s.hosts[host].Callers+"/once/x", strings.NewReader(id))
	if err != nil {
		return a
	}
	q.Header.Set("Authorization", "Bearer "+secret)
	p, err := c.Do(q)
	if err != nil {
		return a
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return a
	}
	if p.StatusCode == http.StatusOK {
		a.answer = string(b)
		return a
	}
	a.notRun = p.Header.Get("Siskin-Verdict") == "not-run"
	a.answer = fmt.Sprint(p.StatusCode, " ", string(b))
	return a
}

func (s *soak) record(a callRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, a)
	if !a.notRun && a.answer != "" && a.answer != a.id && !strings.HasPrefix(a.answer, "5") {
		s.events = append(s.events, fmt.Sprintf("answer to %s: %s", a.id, a.answer))
	}
}

// checkCalls compares the answers to callers with the number of runs on the back ends.
func (s *soak) checkCalls() {
	served := 0
	for _, a := range s.calls {
		n := s.runs.count(a.id)
		if a.answer == a.id {
			served++
		}
		switch {
		case n > 1:
			s.fail("%s ran %d times", a.id, n)
		case a.notRun && n > 0:
			s.fail("%s ran, but its caller was told that it never will: %s", a.id, a.answer)
		case a.withdrawn && n > 0:
			s.fail("%s ran with a key that was withdrawn", a.id)
		case a.answer == a.id && n != 1:
			s.fail("%s was answered and ran %d times", a.id, n)
		}
	}
	s.t.Logf("%d calls, %d served, %d events", len(s.calls), served, len(s.events))
	is.New(s.t).True(served > soakCallers)
}
