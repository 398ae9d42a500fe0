package picker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/demand"
	"siskinrun/internal/routing/picker"
)

// TestOnlineAvoidsUpstreamsFullOfBatchWork plays online calls on two upstreams of which one runs batch work. A call that
// goes to an upstream without a free slot stops a run there, which must not happen while the other has free slots.
func TestOnlineAvoidsUpstreamsFullOfBatchWork(t *testing.T) {
	for _, c := range []struct {
		name          string
		ownBatch      int
		peerBatch     int
		onlineOnOther int
		want          string
	}{
		{"own batch in all slots", 16, 0, 4, "u0001"},
		{"batch of a peer in all slots", 0, 16, 4, "u0001"},
		{"little batch", 0, 2, 4, "u0000"},
		{"other full of online calls", 0, 16, 16, "u0000"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := picker.NewPicker(1)
			p.SetUpstreams(fleet(2, 1), start)
			p.SetBatch("u0000", c.ownBatch)
			p.SetPeerBatch("u0000", c.peerBatch)
			p.SetPeerRequests("u0001", c.onlineOnOther, start.Add(-time.Minute))
			u, ok := p.Pick(start, demand.Demand{Service: "llm", Model: "m", FailureDomain: "d0"})
			is.True(ok)
			is.Equal(u.Name, c.want)
		})
	}
}
