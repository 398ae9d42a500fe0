package ring

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrClosed is returned once a ring is closed and, for readers, empty.
var ErrClosed = errors.New("ring: closed")

// Ring is a bounded queue for any number of writers and one reader.
type Ring[T any] struct {
	mu     sync.Mutex
	items  []T
	head   int
	count  int
	closed bool
	filled chan struct{}
	freed  chan struct{}
}

// NewRing returns a ring that holds up to size items.
func NewRing[T any](size int) *Ring[T] {
	return &Ring[T]{
		items:  make([]T, max(size, 1)),
		filled: make(chan struct{}, 1),
		freed:  make(chan struct{}, 1),
	}
}

// TryPush appends v and reports whether there was room.
func (r *Ring[T]) TryPush(v T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.count == len(r.items) {
		return false
	}
	r.items[(r.head+r.count)%len(r.items)] = v
	r.count++
	signal(r.filled)
	if r.count < len(r.items) {
		signal(r.freed)
	}
	return true
}

// Push appends v, waiting for room until ctx ends.
func (r *Ring[T]) Push(ctx context.Context, v T) error {
	for {
		if r.TryPush(v) {
			return nil
		}
		if r.isClosed() {
			return ErrClosed
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.freed:
		}
	}
}

// Pop removes the oldest item, waiting for one until ctx ends.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	var zero T
	b, err := r.PopAll(ctx, 1)
	if err != nil {
		return zero, err
	}
	return b[0], nil
}

// PopAll removes up to most items, waiting for at least one until ctx ends.
func (r *Ring[T]) PopAll(ctx context.Context, most int) ([]T, error) {
	for {
		b := r.take(most)
		if len(b) > 0 {
			return b, nil
		}
		if r.isClosed() {
			return nil, ErrClosed
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-r.filled:
		}
	}
}

// Len returns the number of items held.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Close refuses further writes and lets the reader drain what is held.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	close(r.filled)
	close(r.freed)
}

func (r *Ring[T]) take(most int) []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(most, r.count)
	if n <= 0 {
		return nil
	}
	b := make([]T, n)
	var zero T
	for i := range b {
		b[i] = r.items[r.head]
		r.items[r.head] = zero
		r.head = (r.head + 1) % len(r.items)
	}
	r.count -= n
	if !r.closed {
		signal(r.freed)
		if r.count > 0 {
			signal(r.filled)
		}
	}
	return b
}

func (r *Ring[T]) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
