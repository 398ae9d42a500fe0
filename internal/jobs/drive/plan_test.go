package drive

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/item"
)

// TestSlotIsTakenUntilRecorded plays a ledger that is slower than its items: what a lost host may
// have run without a record stays within the window of its upstream.
func TestSlotIsTakenUntilRecorded(t *testing.T) {
	cases := []struct {
		name       string
		repeatable bool
		again      int
	}{
		{"items that may not be repeated", false, 0},
		{"items that may be repeated", true, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_800_000_000, 0)
			until := now.Add(time.Minute)
			p := newPlan(1)
			p.setPlace("u", []string{"m"}, 4, until)
			p.taken(now, 1, items(6, c.repeatable), until)
			first := p.assign(now)
			is.Equal(len(first), 4)
			for _, k := range first {
				p.end(k, yielded(k.item.Fence))
			}
			is.Equal(len(p.assign(now)), c.again) // nothing is recorded yet
			p.recorded(1, len(first))
			is.Equal(len(p.assign(now)), 2-c.again)
			is.NoErr(p.check())
		})
	}
}

// TestUnrecordedOutcomesStopNoOtherItem holds that a slot that waits for its record makes no running item yield.
func TestUnrecordedOutcomesStopNoOtherItem(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	until := now.Add(time.Minute)
	p := newPlan(1)
	p.setPlace("u", []string{"m"}, 2, until)
	p.taken(now, 1, items(1, false), until)
	once := p.assign(now)
	is.Equal(len(once), 1)
	p.taken(now, 1, []item.Item{{Fence: 9, Target: "m", Repeatable: true, Line: []byte("{}")}}, until)
	is.Equal(len(p.assign(now)), 1)
	p.end(once[0], yielded(once[0].item.Fence))
	p.setPlace("u", []string{"m"}, 1, until)
	is.Equal(len(p.overdue(now)), 0)
}

func items(n int, repeatable bool) []item.Item {
	var a []item.Item
	for i := range n {
		a = append(a, item.Item{Fence: uint64(i + 1), Target: "m", Repeatable: repeatable, Line: []byte("{}")})
	}
	return a
}
