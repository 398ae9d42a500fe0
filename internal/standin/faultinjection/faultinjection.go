package faultinjection

import (
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// Die closes the connection with a request in flight.
	Die = "die"
	// Silent stops sending and keeps the connection open.
	Silent = "silent"
	// Crossed echoes the ID of another request.
	Crossed = "crossed"
	// Late delays the answer.
	Late = "late"
	// Short truncates the body.
	Short = "short"
	// Slow multiplies the time of each step.
	Slow = "slow"
)

var kinds = map[string]bool{Die: true, Silent: true, Crossed: true, Late: true, Short: true, Slow: true}

// Injector counts the faults still to be injected, by kind.
type Injector struct {
	mu        sync.Mutex
	remaining map[string]int
}

// NewInjector returns an injector without pending faults.
func NewInjector() *Injector {
	return &Injector{remaining: map[string]int{}}
}

// Set injects the fault into the next count requests.
func (i *Injector) Set(kind string, count int) error {
	if !kinds[kind] {
		return errors.Newf("unknown fault %q", kind)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.remaining[kind] = count
	return nil
}

// Take reports whether to inject the fault into this request, and consumes one if so.
func (i *Injector) Take(kind string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.remaining[kind] <= 0 {
		return false
	}
	i.remaining[kind]--
	return true
}
