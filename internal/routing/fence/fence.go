package fence

import (
	"time"

	"github.com/cockroachdb/errors"
)

// DefaultMaxOrderDelay is the default maximum time between sending an order and its taking effect.
const DefaultMaxOrderDelay = 2 * time.Minute

// Fence guards one engine; all times are those of the holder's own clock.
//
// An engine that checks fencing tokens rejects a former holder by itself. For any
// other engine, a new holder waits until the former one's lease has ended and its
// last order must have taken effect, and then reads the engine's state.
type Fence struct {
	// MaxOrderDelay is the maximum time between sending an order and its taking effect.
	MaxOrderDelay time.Duration
	// EngineChecks means that the engine rejects orders with old fencing tokens.
	EngineChecks bool

	token    uint64
	leaseEnd time.Time
	// formerDone is when the last order of the former holder must have taken effect.
	formerDone time.Time
	// read means that the engine's state was read since the lease was granted and the engine last restarted.
	read           bool
	readStarted    time.Time
	lastOrder      time.Time
	lastOrderToken uint64
}

// NewFence returns the fence of an engine for which no lease is held.
func NewFence(checks bool) *Fence {
	return &Fence{MaxOrderDelay: DefaultMaxOrderDelay, EngineChecks: checks}
}

// Granted starts a lease that ends at until; the former holder's lease ends by former.
func (f *Fence) Granted(token uint64, until, former time.Time) {
	if token <= f.token {
		return
	}
	f.token = token
	f.leaseEnd = until
	f.formerDone = former.Add(f.MaxOrderDelay)
	f.read = false
	f.readStarted = time.Time{}
}

// Renewed extends the lease that is held.
func (f *Fence) Renewed(token uint64, until time.Time) {
	if token == f.token && until.After(f.leaseEnd) {
		f.leaseEnd = until
	}
}

// Lost ends the lease at once.
func (f *Fence) Lost() {
	f.leaseEnd = time.Time{}
}

// Restarted records that the engine restarted, which invalidates the state read from it.
func (f *Fence) Restarted() {
	f.read = false
	f.readStarted = time.Time{}
}

// BeginRead reports whether the engine's state must be read now, and records the start of the read.
func (f *Fence) BeginRead(now time.Time) bool {
	if f.read || !f.leaseSettled(now) {
		return false
	}
	f.readStarted = now
	return true
}

// EndRead records the answer to the read that started at the given time; answers to other reads are ignored.
func (f *Fence) EndRead(started time.Time) {
	if started.IsZero() || !started.Equal(f.readStarted) {
		return
	}
	f.read = true
}

// Order returns the fencing token for an order that is sent now, or false if none may be sent.
func (f *Fence) Order(now time.Time) (uint64, bool) {
	if !f.Ready(now) {
		return 0, false
	}
	f.lastOrder = now
	f.lastOrderToken = f.token
	return f.token, true
}

// Ready reports whether an order may be sent now.
func (f *Fence) Ready(now time.Time) bool {
	return f.read && f.leaseSettled(now)
}

// Check returns an error if an order was sent against the rules.
func (f *Fence) Check() error {
	if f.lastOrder.IsZero() || f.lastOrderToken != f.token || f.leaseEnd.IsZero() {
		return nil
	}
	if !f.lastOrder.Before(f.leaseEnd) {
		return errors.Newf("fence: order with token %d sent at %v, after the lease ended at %v", f.token, f.lastOrder, f.leaseEnd)
	}
	if !f.EngineChecks && f.lastOrder.Before(f.formerDone) {
		return errors.Newf("fence: order with token %d sent at %v, while orders of the former holder may take effect until %v", f.token, f.lastOrder, f.formerDone)
	}
	return nil
}

// leaseSettled reports whether the lease is held and the former holder's orders can no longer take effect.
func (f *Fence) leaseSettled(now time.Time) bool {
	if !now.Before(f.leaseEnd) {
		return false
	}
	return f.EngineChecks || !now.Before(f.formerDone)
}
