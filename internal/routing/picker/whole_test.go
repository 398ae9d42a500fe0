package picker_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/data/demand"
	"siskinrun/internal/routing/picker"
)

// TestCallsFindTheFreeSlotOfAService guards against calls that go to an upstream full of batch runs, where they wait or preempt
// one, while another upstream has a free slot.
func TestCallsFindTheFreeSlotOfAService(t *testing.T) {
	for _, n := range []int{8, 12, 60} {
		t.Run(fmt.Sprint(n, " upstreams"), func(t *testing.T) {
			run := func(whole bool) (full int) {
				p := picker.NewPicker(1)
				p.RunsWhole = func(string) bool { return whole }
				p.SetUpstreams(fleet(n, 2), start)
				for i := range n {
					if i%4 != 0 {
						p.SetPeerBatch(fmt.Sprintf("u%04d", i), 16)
					} else {
						p.SetPeerRequests(fmt.Sprintf("u%04d", i), 14, start)
					}
				}
				for range 200 {
					u, ok := p.Pick(start, demand.Demand{Service: "llm", Model: "m", FailureDomain: "d0"})
					if i := 0; ok {
						_, _ = fmt.Sscanf(u.Name, "u%d", &i)
						if i%4 != 0 {
							full++
						}
					}
				}
				return full
			}
			is := is.New(t)
			without, with := run(false), run(true)
			t.Logf("calls to a full upstream, of 200: %d without, %d with", without, with)
			is.True(with <= 4) // 16 further samples of 60 miss all free ones once in a hundred calls
			is.True(without > 20)
		})
	}
}

// TestFreeElsewhereCountsSlots guards against counting slots of other services or of the upstream itself.
func TestFreeElsewhereCountsSlots(t *testing.T) {
	is := is.New(t)
	p := picker.NewPicker(1)
	p.SetUpstreams(fleet(3, 1), start)
	p.SetPeerBatch("u0001", 10)
	p.SetPeerRequests("u0001", 4, start)
	p.SetBatch("u0002", 20)
	is.Equal(p.FreeElsewhere("u0000", start), 2)
	is.Equal(p.FreeElsewhere("u0001", start), 16)
	is.Equal(p.FreeElsewhere("none", start), 0)
}
