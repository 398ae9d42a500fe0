package distribution_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestControlHostsWithoutAReplicaDoNotAskEachOther guards against a change that reaches a failure domain late, since two
// control hosts that hold no replica take each other's answers for fresh ones.
func TestControlHostsWithoutAReplicaDoNotAskEachOther(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 3)
	f.withoutReplica("a0", "b0")
	f.run(t)
	f.change(0)
	f.await(t, 1, "")
	for v := uint64(1); v < 14; v++ {
		is.NoErr(f.timer.Sleep(t.Context(), 300*time.Millisecond)) // a host that failed is asked again after 3 s
		began := f.timer.Now()
		f.change(v)
		f.await(t, v+1, "")
		is.True(f.timer.Now().Sub(began) < time.Second)
	}
}

// withoutReplica takes the replica from control hosts: no quorum confirms it, and no change is applied to it.
func (f *fleet) withoutReplica(names ...string) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	for _, n := range names {
		f.network.withoutReplica[n] = true
	}
}
