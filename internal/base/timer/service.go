package timer

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// Service tells the time and runs subscriptions, on the machine's clock or by hand.
type Service struct {
	mu     sync.Mutex
	steady *steady
	manual bool
	now    time.Time
	seq    uint64
	due    queue
	wake   chan struct{}
}

// NewService returns a service on the machine's clock, which no step moves and which counts suspended time.
func NewService() *Service {
	return &Service{steady: newSteady(), wake: make(chan struct{}, 1)}
}

// NewManual returns a service whose time moves only by Advance.
func NewManual(start time.Time) *Service {
	return &Service{manual: true, now: start, wake: make(chan struct{}, 1)}
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

// Deadline returns a time of this service as the standard library's clock tells it, for deadlines of connections.
func (s *Service) Deadline(t time.Time) time.Time {
	return time.Now().Add(t.Sub(s.Now()))
}

// DeadlineIn returns when d will have passed, as Deadline does.
func (s *Service) DeadlineIn(d time.Duration) time.Time {
	return time.Now().Add(d)
}

// After calls f once when d has passed and returns a function that cancels it.
func (s *Service) After(d time.Duration, f func(now time.Time)) (cancel func()) {
	return s.add(d, 0, f)
}

// Every calls f each time d has passed and returns a function that ends it.
func (s *Service) Every(d time.Duration, f func(now time.Time)) (cancel func()) {
	return s.add(d, d, f)
}

// Sleep waits until d has passed or ctx ends.
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

// Run calls subscribers on the machine's clock until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		d := s.fire(s.Now())
		t.Reset(d)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case <-s.wake:
		}
	}
}

// Advance moves a manual service forward, calling subscribers in order of their time.
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
	e := &entry{at: s.first(n, d, every), seq: s.seq, every: every, call: f}
	heap.Push(&s.due, e)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return func() { s.drop(e) }
}

// first returns when an entry is due first; on the machine's clock, entries that repeat wake it together.
func (s *Service) first(now time.Time, d, every time.Duration) time.Time {
	if s.manual || every <= 0 {
		return now.Add(d)
	}
	return s.steady.wall.Add((now.Sub(s.steady.wall)/every + 1) * every)
}

func (s *Service) drop(e *entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.every = 0
	if e.held {
		heap.Remove(&s.due, e.place)
	}
}

func (s *Service) fire(now time.Time) time.Duration {
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

// pop removes the first entry and puts it back if it repeats.
func (s *Service) pop() *entry {
	e := heap.Pop(&s.due).(*entry)
	if e.every == 0 {
		return e
	}
	c := *e
	e.at = e.at.Add(e.every)
	heap.Push(&s.due, e)
	return &c
}
