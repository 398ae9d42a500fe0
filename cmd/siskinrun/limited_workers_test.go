package main

import (
	"fmt"
	"sync"
)

// limitedWorkers are workers of which some name limits, and the requests that were refused as not run.
type limitedWorkers struct {
	workers []*platformWorker

	mu      sync.Mutex
	refused map[string]bool
}

// newLimitedWorker returns a worker that is still to name its limit.
func newLimitedWorker(f *platformFleet, i int) *platformWorker {
	return &platformWorker{
		fleet: f, id: fmt.Sprint("i-", i), service: "lm", version: "v1", born: 1, alive: true,
		zone: string(rune('a' + i%len(platformEntries))),
	}
}

// mostInSpan returns how many requests a worker may get in a limitSpan.
func mostInSpan(limit float64) float64 {
	return limitFactor*limit*limitSpan.Seconds() + limitSlack
}

// refuse records that a request was answered 503.
func (l *limitedWorkers) refuse(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refused == nil {
		l.refused = map[string]bool{}
	}
	l.refused[id] = true
}

// untrue returns the number of requests that a worker ran though they were answered 503.
func (l *limitedWorkers) untrue() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, w := range l.workers {
		for _, r := range w.ran() {
			if l.refused[r.id] {
				n++
			}
		}
	}
	return n
}
