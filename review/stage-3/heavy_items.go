package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Sizes of case 13: batch jobs whose items have large bodies, beside streams on kept connections.
const (
	heavyWorkers = 6
	// heavyItems is the number of items of a job, and heavyBody the size of the body of an item, the largest of the site; usualBody is
	// the site's mean.
	heavyItems = 1
	heavyBody  = 3000000
	// heavyTokens is the number of tokens of an item.
	heavyTokens = 360
	// heavyEvents is the number of events of an item, and heavyPace the time between two.
	heavyEvents = 66
	heavyPace   = 200 * time.Millisecond
	// heavyTime is the time for which jobs come, and heavyRate their usual number a second. In each of hotStarts, for hotTime, it is
	// hotFactor times as many.
	heavyTime = 35 * time.Second
	heavyRate = 0.686
	hotFactor = 7.5
	hotTime   = 6500 * time.Millisecond
	// firstTime is the time to the first event of a stream, of keptEvents.
	// heavyFirst is the time that workers take before they begin to answer a stream, of keptEvents.
	heavyFirst = 150 * time.Millisecond
	keptEvents = 5
	keptPace   = 20 * time.Millisecond
	// keptClients is the number of clients of each front machine with a kept connection, which ask once every keptInterval.
	keptClients  = 12
	keptInterval = 500 * time.Millisecond
	// memoryInterval is the time between two looks at the memory of processes.
	memoryInterval = 100 * time.Millisecond
	// maxCut is the most requests from kept connections that may be passed on and end without an answer.
	maxCut = 3
)

// hotStarts are the times at which the tenant begins to send many times its usual, from the first job.
var hotStarts = []time.Duration{4 * time.Second, 11 * time.Second, 22 * time.Second}

// heavyMemory is the memory in MB that the site gives to a process of each class.
var heavyMemory = map[string]int{classFrontend: 134, classCore: 280, classStorage: 154}

// heavyRuns counts the requests from kept connections that were passed on to a worker and had no answer.
type heavyRuns struct {
	mu  sync.Mutex
	cut int
}

// streamHeavy streams the events of an item, or those of a stream.
func streamHeavy(ctx context.Context, _ *worker, q *http.Request, out io.Writer, after int) error {
	last, pace := heavyEvents, heavyPace
	if strings.HasPrefix(q.URL.Path, streamPrefix) {
		last, pace = keptEvents, keptPace
	}
	for n := after + 1; n <= last; n++ {
		if err := sleep(ctx, pace); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: piece %d of %s;\n\n", n, n, q.Header.Get("X-Attempt-Id")); err != nil {
			return err
		}
	}
	return nil
}

// playHeavyItems submits jobs with large bodies, ends processes over their memory as the platform does, and counts the streams on kept
// connections that were passed on and had no answer.
func playHeavyItems(ctx context.Context, s *stage) (bool, error) {
	s.memory, s.firstTime = heavyMemory, heavyFirst
	r := &heavyRuns{}
	if err := s.open(ctx, heavyWorkers, batchLimits{60, 1000000}, streamHeavy); err != nil {
		return false, err
	}
	go s.limitMemory(ctx)
	asking, stop := context.WithCancel(ctx)
	defer stop()
	var wait sync.WaitGroup
	for _, m := range s.of(classFrontend) {
		for n := range keptClients {
			wait.Go(func() { r.askKept(asking, s, m, n) })
		}
	}
	if err := s.submitHeavy(ctx); err != nil {
		return false, err
	}
	stop()
	wait.Wait()
	for _, m := range s.machines {
		if n := s.ends(m); n > 0 {
			s.note("processes of %s have ended by themselves %d times", m.name, n)
		}
	}
	s.note("%d requests from kept connections were passed on to a worker and had no answer", r.cut)
	return r.cut <= maxCut, nil
}

// askKept asks for streams on one kept connection, and opens another one when that has ended.
func (r *heavyRuns) askKept(ctx context.Context, s *stage, m *machine, client int) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for n := 0; sleep(ctx, keptInterval) == nil; n++ {
		id := fmt.Sprintf("%s-%d-%d", m.zone, client, n)
		kept, answered := s.askOn(c, m, id)
		if _, ran := s.ran.Load(id); kept && !answered && ran {
			r.mu.Lock()
			r.cut++
			r.mu.Unlock()
			s.note("request %s from a kept connection to %s was passed on to a worker and had no answer", id, m.name)
		}
	}
}

// askOn asks for a stream and reports whether the connection was a kept one and whether an answer began.
func (s *stage) askOn(c *http.Client, m *machine, id string) (kept, answered bool) {
	ctx, cancel := context.WithTimeout(context.Background(), streamPatience*time.Millisecond)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { kept = i.Reused }})
	q, err := s.streamRequest(ctx, m, id, fmt.Sprintf("5c1e07a2:200,%s:190", strings.ReplaceAll(id, "-", "")))
	if err != nil {
		return kept, false
	}
	a, err := c.Do(q)
	if err != nil {
		return kept, ctx.Err() != nil
	}
	defer func() { _ = a.Body.Close() }()
	_, _ = io.Copy(io.Discard, a.Body)
	return kept, true
}

// submitHeavy submits jobs for heavyTime.
func (s *stage) submitHeavy(ctx context.Context) error {
	begun := time.Now()
	next := begun
	for n := 0; time.Since(begun) < heavyTime; n++ {
		s.submitOnce(ctx, s.of(classFrontend)[n%hostsPerClass], fmt.Sprintf("%016x", 0x40c2e19a00000000+n), heavyJob(n))
		rate := heavyRate
		if s.trouble && hot(time.Since(begun)) {
			rate *= hotFactor
		}
		next = next.Add(time.Duration(float64(time.Second) / rate))
		if err := sleep(ctx, time.Until(next)); err != nil {
			return err
		}
	}
	return nil
}

// hot reports whether the tenant sends many times its usual at a time from the first job.
func hot(t time.Duration) bool {
	return slices.ContainsFunc(hotStarts, func(h time.Duration) bool { return t >= h && t < h+hotTime })
}

// heavyJob returns the items of a job.
func heavyJob(n int) []batchItem {
	var items []batchItem
	for i := range heavyItems {
		id := fmt.Sprintf("item-%03d-%d", n, i)
		items = append(items, batchItem{
			ID: id, Path: batchPrefix + "draft", Body: bytes.Repeat([]byte(id), heavyBody/len(id)), Tokens: heavyTokens,
			Headers: map[string]string{"X-Model": "m", "X-Token-Count": "300,60", "X-Prompt-Prefix": fmt.Sprintf("9c2e41:100,%d%d:200", n, i)},
		})
	}
	return items
}

// limitMemory ends processes that use more than their memory, as the platform does.
func (s *stage) limitMemory(ctx context.Context) {
	for sleep(ctx, memoryInterval) == nil {
		for _, m := range s.machines {
			s.mu.Lock()
			p := m.process
			s.mu.Unlock()
			if kb := residentKB(p.Process.Pid); kb > s.memory[m.class]<<10 {
				s.note("the process of %s uses %d kB and is killed", m.name, kb)
				_ = p.Process.Kill()
			}
		}
	}
}

// residentKB returns the memory that a process uses, zero if it has ended.
func residentKB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for l := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(l, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(v)[0])
			return n
		}
	}
	return 0
}

// ends returns how often processes of a machine have ended by themselves.
func (s *stage) ends(m *machine) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return m.ownEnds
}
