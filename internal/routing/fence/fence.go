package fence

import (
	"time"

	"github.com/cockroachdb/errors"
)

// LongestDefault is the default bound on the time from sending an order to its taking effect.
const LongestDefault = 2 * time.Minute

// Fence guards one engine; times are those of the holder's own clock.
//
// An engine that checks fencing numbers refuses a former holder by itself. For one
// that does not, a new holder waits until the former one's lease has ended and its
// last order must have taken effect, and then reads the engine's state back.
type Fence struct {
	// Longest bounds the time from sending an order to its taking effect.
	Longest time.Duration
	// Checks says that the engine refuses old fencing numbers.
	Checks bool

	number  uint64
	until   time.Time
	clear   time.Time
	read    bool
	asked   time.Time
	last    time.Time
	ordered uint64
}

// NewFence returns the guard of an engine for which no lease is held.
func NewFence(checks bool) *Fence {
	return &Fence{Longest: LongestDefault, Checks: checks}
}

// Granted begins a lease that ends at until, where the former holder's ends by former.
func (f *Fence) Granted(number uint64, until, former time.Time) {
	if number <= f.number {
		return
	}
	f.number = number
	f.until = until
	f.clear = former.Add(f.Longest)
	f.read = false
	f.asked = time.Time{}
}

// Renewed moves the end of the lease that is held.
func (f *Fence) Renewed(number uint64, until time.Time) {
	if number == f.number && until.After(f.until) {
		f.until = until
	}
}

// Lost ends the lease at once.
func (f *Fence) Lost() {
	f.until = time.Time{}
}

// Restarted notes that the engine began anew, so that what was read is void.
func (f *Fence) Restarted() {
	f.read = false
	f.asked = time.Time{}
}

// ReadBack reports whether the engine's state has to be read now, and notes that it is being read.
func (f *Fence) ReadBack(now time.Time) bool {
	if f.read || !f.settled(now) {
		return false
	}
	f.asked = now
	return true
}

// Read notes the answer to the question that was asked at the given time.
func (f *Fence) Read(asked time.Time) {
	if asked.IsZero() || !asked.Equal(f.asked) {
		return
	}
	f.read = true
}

// Order returns the fencing number for an order that is sent now, or false if none may be sent.
func (f *Fence) Order(now time.Time) (uint64, bool) {
	if !f.Settled(now) {
		return 0, false
	}
	f.last = now
	f.ordered = f.number
	return f.number, true
}

// Settled reports whether an order may be sent now.
func (f *Fence) Settled(now time.Time) bool {
	return f.read && f.settled(now)
}

// Check returns an error if an order was sent that the rules forbid.
func (f *Fence) Check() error {
	if f.last.IsZero() || f.ordered != f.number || f.until.IsZero() {
		return nil
	}
	if !f.last.Before(f.until) {
		return errors.Newf("fence: order %d sent at %v after the lease ended at %v", f.number, f.last, f.until)
	}
	if !f.Checks && f.last.Before(f.clear) {
		return errors.Newf("fence: order %d sent at %v before the former holder was done at %v", f.number, f.last, f.clear)
	}
	return nil
}

// settled reports whether the lease is held and the former holder can do nothing more.
func (f *Fence) settled(now time.Time) bool {
	if !now.Before(f.until) {
		return false
	}
	return f.Checks || !now.Before(f.clear)
}
