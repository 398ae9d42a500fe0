package settings

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/duration"
)

// TestStopEndsBeforeTheKill guards against a host that is killed in its drain, where the time that it has is shorter than usual.
func TestStopEndsBeforeTheKill(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name                  string
		drain, timeout, grace time.Duration
		wantDrain             time.Duration
		wantTimeout           time.Duration
	}{
		{"no grace is known", 3500 * ms, 7500 * ms, 0, 3500 * ms, 7500 * ms},
		{"no limit at all", 20000 * ms, 0, 0, 20000 * ms, 0},
		{"the usual grace", 3500 * ms, 7500 * ms, 8000 * ms, 3500 * ms, 7500 * ms},
		{"a long grace", 3500 * ms, 7500 * ms, 30000 * ms, 3500 * ms, 7500 * ms},
		{"a short grace", 3500 * ms, 7500 * ms, 4000 * ms, 1750 * ms, 3500 * ms},
		{"a very short grace", 3500 * ms, 7500 * ms, 600 * ms, 150 * ms, 300 * ms},
		{"a grace without a timeout", 3500 * ms, 0, 8000 * ms, 3500 * ms, 7500 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := Fleet{DrainTime: duration.Duration(c.drain), StopTimeout: duration.Duration(c.timeout), StopGrace: duration.Duration(c.grace)}
			drain, timeout := f.Stop()
			is.Equal(drain, c.wantDrain)
			is.Equal(timeout, c.wantTimeout)
		})
	}
}
