package promptguard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/call"
	"siskinrun/internal/data/upstream"
)

const (
	// stormUpstreams is the size of a failure domain whose upstreams are lost at once, with callsEach calls on each.
	stormUpstreams = 50
	callsEach      = 8
	// stormTime is the time over which the bytes are counted once all calls are lost.
	stormTime = 5 * time.Second
	// hostBudgetBytes is what a host may spend a second for control.
	hostBudgetBytes = 19_000
)

// TestLossOfAFailureDomainStaysWithinTheBudgetOfAHost guards against news of many lost calls that costs more than control may.
func TestLossOfAFailureDomainStaysWithinTheBudgetOfAHost(t *testing.T) {
	for _, n := range []int{9, 80, 320} {
		t.Run(fmt.Sprint(n, " hosts"), func(t *testing.T) {
			is := is.New(t)
			w := newNetwork(t, n)
			var calls []*call.Call
			for i := range uint64(stormUpstreams * callsEach) {
				calls = append(calls, &call.Call{Parts: []uint64{1, 2 + i%5, 1000 + i}, Digest: 1 + i})
			}
			w.mu.Lock()
			w.bytes = 0
			w.mu.Unlock()
			begin := w.timer.Now()
			for i, c := range calls {
				u := upstream.Upstream{Name: fmt.Sprint("u", i/callsEach), Incarnation: 1}
				w.nodes[w.names[i%n]].guard.Lost(u, c, w.timer.Now().Add(-time.Second), false)
			}
			for i, c := range calls {
				if i%4 != 0 {
					w.nodes[w.names[i%n]].guard.Began(c) // the others are not sent again
				}
			}
			is.NoErr(w.timer.Sleep(t.Context(), stormTime))
			w.mu.Lock()
			b := int(float64(w.bytes) / float64(n) / w.timer.Now().Sub(begin).Seconds())
			w.mu.Unlock()
			t.Logf("%d hosts: %d bytes a second and host", n, b)
			is.True(b < hostBudgetBytes)
			_, wrong := w.blocking()
			is.Equal(wrong, 0)
		})
	}
}
