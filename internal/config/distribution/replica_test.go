package distribution_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/rpc"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/config/configcache"
	"siskinrun/internal/config/configstore"
	"siskinrun/internal/config/distribution"
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

// TestHostWithoutAQuorumOpensLaterWithEvacuations guards against a host that has started again with an old replica and, before a
// quorum has confirmed it, opens to upstreams that were evacuated meanwhile; and against a longer wait without evacuations.
func TestHostWithoutAQuorumOpensLaterWithEvacuations(t *testing.T) {
	for _, evacuations := range []bool{false, true} {
		is := is.New(t)
		m := timer.NewManual(time.Unix(1000, 0))
		p := &endpoint{"a0", &network{handlers: map[string]rpc.Handler{}, isolated: map[string]bool{"a0": true}}}
		s := &distribution.Service{Name: "a0", FailureDomain: "0", Domains: map[string]string{"a0": "0"}, Control: []string{"a0"},
			Link: p, Client: p, Lease: 4 * time.Second, Timer: m, Evacuations: evacuations, Store: configstore.NewStore()}
		s.Bind()
		f := &fleet{network: p.network, hosts: map[string]*distribution.Service{"a0": s}}
		f.change(0) // the replica is restored
		is.Equal(s.View().Version, uint64(0))
		m.Advance(configcache.StartupDelay)
		f.change(1)
		is.Equal(s.View().Version > 0, !evacuations)
		m.Advance(configcache.EvacuationDelay - configcache.StartupDelay)
		f.change(2)
		is.Equal(s.View().Version, uint64(3))
		is.True(!s.Fresh())
	}
}
