package occupancy

import (
	"sync"
	"time"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/call"
)

// roster spreads this host's counts and knows those of the others.
type roster interface {
	Busy(name string, n int)
	Peers(name string) int
}

// chooser takes counts into its choice.
type chooser interface {
	Peers(name string, n int, now time.Time)
	Batch(name string, n int)
}

// yielder makes room for online calls.
type yielder interface {
	Online(name string, now time.Time) int
	Ended(name string, now time.Time)
	Peers(name string, n int, now time.Time) int
	Batch(name string, n int)
	FirstToken(name string, took, contract time.Duration, at time.Time)
	BetweenTokens(name string, took, contract time.Duration, at time.Time)
}

// Occupancy hears of each attempt on an upstream.
type Occupancy struct {
	// Roster spreads the counts of online calls.
	Roster roster
	// Choose takes counts into its choice.
	Choose chooser
	// Yield makes room for online calls.
	Yield yielder
	// Recheck makes the batch work of this host look at its windows at once.
	Recheck func()
	// Timer tells the time.
	Timer *timer.Service

	mu     sync.Mutex
	online map[string]int
	batch  map[string]int
}

// Begin counts an attempt that is about to be sent.
func (o *Occupancy) Begin(name string, c *call.Call) {
	if c.Batch {
		n := o.count(&o.batch, name, 1)
		o.Choose.Batch(name, n)
		o.Yield.Batch(name, n)
		return
	}
	o.Roster.Busy(name, o.count(&o.online, name, 1))
	if o.Yield.Online(name, o.Timer.Now()) > 0 {
		o.Recheck()
	}
}

// First notes the time to the first byte of an answer.
func (o *Occupancy) First(name string, c *call.Call, d time.Duration) {
	if !c.Batch {
		o.Yield.FirstToken(name, d, c.Rule.FirstToken.Duration(), o.Timer.Now())
	}
}

// Gap notes the time between two events of a stream.
func (o *Occupancy) Gap(name string, c *call.Call, d time.Duration) {
	if !c.Batch {
		o.Yield.BetweenTokens(name, d, c.Rule.BetweenTokens.Duration(), o.Timer.Now())
	}
}

// End uncounts an attempt.
func (o *Occupancy) End(name string, c *call.Call) {
	if c.Batch {
		n := o.count(&o.batch, name, -1)
		o.Choose.Batch(name, n)
		o.Yield.Batch(name, n)
		return
	}
	o.Roster.Busy(name, o.count(&o.online, name, -1))
	o.Yield.Ended(name, o.Timer.Now())
}

// Refresh takes the counts of the other hosts in.
func (o *Occupancy) Refresh(names []string) {
	cancel := 0
	for _, n := range names {
		p := o.Roster.Peers(n)
		o.Choose.Peers(n, p, o.Timer.Now())
		cancel += o.Yield.Peers(n, p, o.Timer.Now())
	}
	if cancel > 0 {
		o.Recheck()
	}
}

func (o *Occupancy) count(m *map[string]int, name string, by int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if *m == nil {
		*m = map[string]int{}
	}
	n := (*m)[name] + by
	if n == 0 {
		delete(*m, name)
	} else {
		(*m)[name] = n
	}
	return n
}
