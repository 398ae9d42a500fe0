package timer

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"siskinrun/internal/base/signal"
)

// Service is a clock that runs timers. It follows the machine's clock or is advanced by hand.
type Service struct {
	mu     sync.Mutex
	steady *steady
	manual bool
	now    time.Time
	seq    uint64
	due    queue
	// wake makes Run look at the earliest entry again.
	wake signal.Signal
}

// NewService returns a service on the machine's clock. Steps of the time of day do not move it, and it counts the time
// in which the machine is suspended.
func NewService() *Service {
	return &Service{steady: newSteady(), wake: signal.NewSignal()}
}

// NewManual returns a service whose time changes only through Advance.
func NewManual(start time.Time) *Service {
	return &Service{manual: true, now: start, wake: signal.NewSignal()}
}

// Now returns the current time.
func (s *Service) Now() time.Time {
	if !s.manual {
		return s.steady.now()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

// Deadline converts a time of this service to the standard library's clock, for deadlines of connections.
func (s *Service) Deadline(t time.Time) time.Time {
	return time.Now().Add(t.Sub(s.Now()))
}

// DeadlineIn returns the time d from now on the standard library's clock, for deadlines of connections.
func (s *Service) DeadlineIn(d time.Duration) time.Time {
	return time.Now().Add(d)
}

// After calls f once after d and returns a function that cancels the call.
func (s *Service) After(d time.Duration, f func(now time.Time)) (cancel func()) {
	return s.add(d, 0, f)
}

// Every calls f at intervals of d and returns a function that stops the calls.
func (s *Service) Every(d time.Duration, f func(now time.Time)) (cancel func()) {
	return s.add(d, d, f)
}

// Sleep waits for d. It returns the error of ctx if ctx ends first.
func (s *Service) Sleep(ctx context.Context, d time.Duration) error {
	c := make(chan struct{})
	stop := s.After(d, func(time.Time) { close(c) })
	defer stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c:
		return nil
	}
}

// Run runs timers on the machine's clock until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		d := s.fireDue(s.Now())
		t.Reset(d)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case <-s.wake:
		}
	}
}

// Advance moves a manual service forward by d and runs the due timers in order of time.
func (s *Service) Advance(d time.Duration) {
	s.mu.Lock()
	end := s.now.Add(d)
	for len(s.due) > 0 && !s.due[0].at.After(end) {
		e := s.pop()
		s.now = e.at
		s.mu.Unlock()
		e.call(e.at)
		s.mu.Lock()
	}
	s.now = end
	s.mu.Unlock()
}

func (s *Service) add(d, every time.Duration, f func(time.Time)) func() {
	n := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	e := &entry{at: s.firstDue(n, d, every), seq: s.seq, interval: every, call: f}
	heap.Push(&s.due, e)
	if s.due[0] == e {
		s.wake.Set()
	}
	return func() { s.remove(e) }
}

// firstDue returns when an entry is due for the first time.
//
// On the machine's clock, repeating entries are aligned to multiples of their interval, so that they share wake-ups.
func (s *Service) firstDue(now time.Time, d, every time.Duration) time.Time {
	if s.manual || every <= 0 {
		return now.Add(d)
	}
	return s.steady.wall.Add((now.Sub(s.steady.wall)/every + 1) * every)
}

func (s *Service) remove(e *entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.interval = 0
	if e.queued {
		heap.Remove(&s.due, e.index)
	}
}

func (s *Service) fireDue(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.due) > 0 && !s.due[0].at.After(now) {
		e := s.pop()
		s.mu.Unlock()
		e.call(now)
		s.mu.Lock()
	}
	if len(s.due) == 0 {
		return time.Hour
	}
	return s.due[0].at.Sub(now)
}

// pop removes the first entry and schedules it again if it repeats.
func (s *Service) pop() *entry {
	e := heap.Pop(&s.due).(*entry)
	if e.interval == 0 {
		return e
	}
	c := *e
	e.at = e.at.Add(e.interval)
	heap.Push(&s.due, e)
	return &c
}
