package hostcount_test

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/limits/hostcount"
)

// TestLostHostsCountUntilTheyLeaveOnPurpose guards against two sides of a long partition that both take themselves for the
// larger one, and against hosts that count after a planned stop, so that those that are left take themselves for cut off.
func TestLostHostsCountUntilTheyLeaveOnPurpose(t *testing.T) {
	is := is.New(t)
	c := &hostcount.Count{}
	stopped := map[string]bool{}
	see := func(names ...string) bool {
		c.Observe(names, func() map[string]bool { return stopped })
		return c.Minority()
	}
	is.True(!see("a"))
	is.True(!see("a", "b", "c", "d", "e", "f"))
	is.True(!see("a", "b", "c", "d"))
	is.True(see("a", "b", "c"))
	for range 1000 { // however long it lasts
		is.True(see("a", "b", "c"))
	}
	stopped["d"] = true // heard of after the host was missed
	is.True(!see("a", "b", "c"))
	is.True(!see("a", "b", "c")) // and counted once
	is.True(see("a", "b"))
	is.True(!see("a", "b", "x", "y", "z")) // lost hosts were replaced
	stopped["c"], stopped["x"], stopped["y"] = true, true, true
	is.True(!see("a", "b", "z"))
	is.True(!see("a", "b"))
	is.True(see("a"))
}

// TestRestartsDuringACutDoNotMakeAMajority guards against the smaller side of a partition that takes itself for the larger one
// after its hosts have restarted one after the other.
func TestRestartsDuringACutDoNotMakeAMajority(t *testing.T) {
	is := is.New(t)
	c := &hostcount.Count{}
	stopped := map[string]bool{}
	see := func(names ...string) bool {
		c.Observe(names, func() map[string]bool { return stopped })
		return c.Minority()
	}
	is.True(!see("a", "b", "c", "d", "e", "f", "g", "h", "i", "j"))
	is.True(see("a", "b", "c", "d"))
	for _, n := range []string{"b", "c", "d"} {
		stopped[n] = true
		rest := []string{"a"}
		for _, o := range []string{"b", "c", "d"} {
			if o != n {
				rest = append(rest, o)
			}
		}
		is.True(see(rest...))
		delete(stopped, n)
		is.True(see("a", "b", "c", "d"))
	}
}
