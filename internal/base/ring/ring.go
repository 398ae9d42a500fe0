package ring

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/base/signal"
)

// ErrClosed is returned by writes to a closed ring, and by reads from one that is closed and empty.
var ErrClosed = errors.New("ring: closed")

// Ring is a bounded FIFO queue for any number of writers and one reader.
type Ring[T any] struct {
	mu       sync.Mutex
	items    []T
	head     int
	count    int
	closed   bool
	notEmpty signal.Signal
	notFull  signal.Signal
}

// NewRing returns a ring that holds up to size items.
func NewRing[T any](size int) *Ring[T] {
	return &Ring[T]{
		items:    make([]T, max(size, 1)),
		notEmpty: signal.NewSignal(),
		notFull:  signal.NewSignal(),
	}
}

// TryPush appends v, or reports false if the ring is full or closed.
func (r *Ring[T]) TryPush(v T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.count == len(r.items) {
		return false
	}
	r.items[(r.head+r.count)%len(r.items)] = v
	r.count++
	r.notEmpty.Set()
	if r.count < len(r.items) {
		r.notFull.Set()
	}
	return true
}

// Push appends v. It waits for space until ctx ends or the ring is closed.
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
		case <-r.notFull:
		}
	}
}

// Pop removes and returns the oldest item. It waits for an item until ctx ends or the ring is closed.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	var zero T
	b, err := r.PopBatch(ctx, 1)
	if err != nil {
		return zero, err
	}
	return b[0], nil
}

// PopBatch removes and returns up to limit items. It waits for one until ctx ends or the ring is closed.
func (r *Ring[T]) PopBatch(ctx context.Context, limit int) ([]T, error) {
	for {
		b := r.take(limit)
		if len(b) > 0 {
			return b, nil
		}
		if r.isClosed() {
			return nil, ErrClosed
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-r.notEmpty:
		}
	}
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Close rejects further writes. The reader can still drain the queued items.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	close(r.notEmpty)
	close(r.notFull)
}

func (r *Ring[T]) take(limit int) []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(limit, r.count)
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
		r.notFull.Set()
		if r.count > 0 {
			r.notEmpty.Set()
		}
	}
	return b
}

func (r *Ring[T]) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}
