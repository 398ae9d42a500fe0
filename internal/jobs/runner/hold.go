package runner

import "sync/atomic"

// memory is the account of the host for what items hold. ReserveSpare leaves a share of it free for callers.
type memory interface {
	ReserveSpare(n int64) bool
	Release(n int64)
}

// hold is what one run of an item holds on the account.
type hold struct {
	// memory is nil for no bound.
	memory memory
	bytes  atomic.Int64
}

// Reserve holds n bytes more and reports whether there is room.
func (h *hold) Reserve(n int64) bool {
	return h.ReserveSpare(n)
}

// ReserveSpare holds n bytes more and reports whether there is room.
func (h *hold) ReserveSpare(n int64) bool {
	if h.memory == nil {
		return true
	}
	if !h.memory.ReserveSpare(n) {
		return false
	}
	h.bytes.Add(n)
	return true
}

// Release gives n bytes back.
func (h *hold) Release(n int64) {
	if h.memory != nil {
		h.memory.Release(n)
		h.bytes.Add(-n)
	}
}

// end gives back all that is held.
func (h *hold) end() {
	h.Release(h.bytes.Load())
}
