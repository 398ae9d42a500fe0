package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestItemsAreLeasedByDeadlineInAFleet guards against a setting that has no effect since the members of a ledger group and the hosts
// that report their features are not matched, and against items that are left behind by that order.
func TestItemsAreLeasedByDeadlineInAFleet(t *testing.T) {
	is := is.New(t)
	entries := platformHosts(3)
	p, ctx := preparePlatformFleet(t, platformControl, entries, "")
	for _, h := range append([]string{platformControl}, entries...) {
		p.configure(h, `"ledger-groups": 1,`, `"ledger-groups": 1, "jobs-by-deadline": true,`)
	}
	p.startAll(ctx, platformConfiguration)
	f := p.newMoved(ctx)
	f.submit(ctx, "due")
	is.Equal(f.listed(ctx, "due"), movedItems)
	f.kill(f.control) // its log is complete then
	ordered := 0
	for _, l := range strings.Split(f.logs[f.control].String(), "\n") {
		if strings.Contains(l, "order of batch items changed") && strings.Contains(l, `"by-deadline":true`) {
			ordered++
		}
	}
	is.Equal(ordered, 1)
}
