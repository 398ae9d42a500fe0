package executor

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/item"
	"siskinrun/internal/jobs/entry"
)

// newRouted returns a scheduler with an upstream for the route "m", whose items all have the given route under version 1 of the
// configuration.
func newRouted(route string) (p *scheduler, now, until time.Time) {
	now = time.Unix(1_800_000_000, 0)
	until = now.Add(time.Minute)
	p = newScheduler(1)
	p.routeOf = func(item.Item) string { return route }
	p.setUpstream("u", []string{"m"}, 8, until)
	p.applyRevision(now, 1, now)
	p.groups[1].backlog = []string{"former"}
	return p, now, until
}

func formerItem(fence uint64) []item.Item {
	return []item.Item{{Fence: fence, Target: "former", Repeatable: true, Line: []byte("{}")}}
}

// TestItemsOfAFormerNameAreLeased guards against items that nobody leases since no route has the name of their target.
func TestItemsOfAFormerNameAreLeased(t *testing.T) {
	is := is.New(t)
	p, now, until := newRouted("m")
	w := p.wants(now, 1)
	is.Equal(len(w), 1)
	is.Equal(w[0].Count, uint32(1)) // one item tells the route
	p.addLeased(now, 1, formerItem(1), until)
	is.Equal(len(p.assign(now)), 1)
	w = p.wants(now, 1)
	is.Equal(len(w), 1)
	is.Equal(w[0].Target, "former")
}

// TestItemsOfOtherServicesAreLeftToTheirHosts guards against a host that keeps items for which it has no upstream, or asks for
// them over and over.
func TestItemsOfOtherServicesAreLeftToTheirHosts(t *testing.T) {
	is := is.New(t)
	p, now, until := newRouted("elsewhere")
	requests := 0
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(reconcileInterval) {
		p.applyRevision(now, 1, now)
		if len(p.wants(now, 1)) > 0 {
			requests++
			p.addLeased(now, 1, formerItem(uint64(requests)), until)
		}
		is.Equal(len(p.pending), 0)
	}
	is.Equal(len(p.groups[1].outcomes), requests)
	is.True(requests >= 3 && requests <= 8)
}

// TestItemsAreGivenUpOnlyUnderAConfirmedConfiguration guards against a host out of touch that gives up the items of a route of
// which it has not heard.
func TestItemsAreGivenUpOnlyUnderAConfirmedConfiguration(t *testing.T) {
	for _, c := range []struct {
		name      string
		confirmed time.Duration
		kind      entry.Outcome_Kind
	}{
		{"confirmed after the lease", time.Second, entry.Outcome_FAIL},
		{"confirmed before the lease", 0, entry.Outcome_YIELD},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p, now, until := newRouted(noRoute)
			p.addLeased(now, 1, formerItem(1), until)
			p.applyRevision(now, 1, now.Add(c.confirmed))
			step := func(d time.Duration) {
				p.endRouteless(now.Add(d))
				p.returnStale(now.Add(d))
			}
			step(routelessTimeout - time.Millisecond)
			is.Equal(len(p.pending), 1)
			step(routelessTimeout + confirmationTimeout)
			is.Equal(len(p.pending), 0)
			is.Equal(len(p.groups[1].outcomes), 1)
			is.Equal(p.groups[1].outcomes[0].Kind, c.kind)
		})
	}
}

// TestPendingItemsFollowAChangedConfiguration guards against a leased item that waits for a slot under a route that it had.
func TestPendingItemsFollowAChangedConfiguration(t *testing.T) {
	is := is.New(t)
	p, now, until := newRouted("m")
	p.setUpstream("u", []string{"m"}, 0, until)
	p.addLeased(now, 1, formerItem(1), until)
	is.Equal(len(p.pending), 1)
	p.routeOf = func(item.Item) string { return "elsewhere" }
	p.applyRevision(now, 2, now)
	is.Equal(len(p.pending), 0) // it is left to the hosts with an upstream for it
}

// TestProbedItemIsNotHeld guards against an item whose route is that of its name, and that hosts without an upstream for it lease
// in turn to learn that, and hold until they give up to wait for a slot.
func TestProbedItemIsNotHeld(t *testing.T) {
	is := is.New(t)
	p, now, until := newRouted("former")
	is.Equal(len(p.wants(now, 1)), 1)
	p.addLeased(now, 1, formerItem(1), until)
	is.Equal(len(p.pending), 0)
	is.Equal(len(p.groups[1].outcomes), 1)
	is.Equal(len(p.wants(now.Add(reconcileInterval), 1)), 0) // it asks again later
}
