package timer

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// stepTolerance is the change between time of day and monotonic clock that calls for a look at the boot clock.
const stepTolerance = time.Millisecond

// steady is a clock that ignores steps of the time of day and counts the time in which the machine was suspended.
//
// Go's monotonic clock stands still while a machine is suspended. The boot clock does not, but costs a
// system call, so it is read only when time of day and monotonic clock have parted, as they do after a
// suspension or a step.
type steady struct {
	start time.Time
	wall  time.Time
	boot  time.Duration
	// parted is time of day less monotonic clock, since the start, when the boot clock was read last.
	parted atomic.Int64
	// slept is the time since the start in which the machine was suspended.
	slept atomic.Int64
}

func newSteady() *steady {
	n := time.Now()
	return &steady{start: n, wall: n.Round(0), boot: bootTime()}
}

// now returns the time without a monotonic reading.
func (s *steady) now() time.Time {
	n := time.Now()
	awake := n.Sub(s.start)
	parted := n.Round(0).Sub(s.wall) - awake
	if d := parted - time.Duration(s.parted.Load()); d > stepTolerance || d < -stepTolerance {
		s.parted.Store(int64(parted))
		s.look()
	}
	return s.wall.Add(awake + time.Duration(s.slept.Load()))
}

// look reads the boot clock; suspended time only grows.
func (s *steady) look() {
	d := int64(bootTime() - s.boot - time.Since(s.start))
	for {
		o := s.slept.Load()
		if d-o < int64(stepTolerance) || s.slept.CompareAndSwap(o, d) {
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
