package timer

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// maxClockOffset is the change of the offset between time of day and monotonic clock above which the boot clock is read.
const maxClockOffset = time.Millisecond

// steady is a clock that ignores steps of the time of day and counts the time in which the machine was suspended.
//
// Go's monotonic clock stops while a machine is suspended. The boot clock does not stop, but costs a system
// call. It is therefore read only when the offset between time of day and monotonic clock has changed, as it
// does after a suspension or a step.
type steady struct {
	// start is the time at the start of the clock, with a monotonic reading.
	start time.Time
	// wall is start without the monotonic reading.
	wall time.Time
	// boot is the boot clock at the start.
	boot time.Duration
	// wallOffset is the time of day since the start minus the monotonic time since the start, at the last read of the
	// boot clock.
	wallOffset atomic.Int64
	// suspended is the total time since the start in which the machine was suspended.
	suspended atomic.Int64
}

func newSteady() *steady {
	n := time.Now()
	return &steady{start: n, wall: n.Round(0), boot: bootTime()}
}

// now returns the time without a monotonic reading.
func (s *steady) now() time.Time {
	n := time.Now()
	awake := n.Sub(s.start)
	offset := n.Round(0).Sub(s.wall) - awake
	if d := offset - time.Duration(s.wallOffset.Load()); d > maxClockOffset || d < -maxClockOffset {
		s.wallOffset.Store(int64(offset))
		s.updateSuspended()
	}
	return s.wall.Add(awake + time.Duration(s.suspended.Load()))
}

// updateSuspended reads the boot clock and updates the suspended time, which never decreases.
func (s *steady) updateSuspended() {
	d := int64(bootTime() - s.boot - time.Since(s.start))
	for {
		o := s.suspended.Load()
		if d-o < int64(maxClockOffset) || s.suspended.CompareAndSwap(o, d) {
			return
		}
	}
}

// bootTime returns the time since the machine started, suspended time included.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
