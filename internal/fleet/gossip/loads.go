package gossip

import (
	"time"

	"siskinrun/internal/data/loadreport"
)

// sample is the known load of one upstream.
type sample struct {
	report     loadreport.Report
	measured   time.Time
	reported   bool
	peers      int
	peersBatch int
}

// Report stores the load of an upstream.
func (r *Service) Report(l loadreport.Report) {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.membership.Report(r.Timer.Now(), l)
	r.publishLoads()
}

// Load returns the newest known load of an upstream and when it was measured.
func (r *Service) Load(name string) (loadreport.Report, time.Time, bool) {
	v, ok := r.samples.Load(name)
	if !ok {
		return loadreport.Report{}, time.Time{}, false
	}
	s := v.(*sample)
	return s.report, s.measured, s.reported
}

// Busy sets the number of online requests that this host has in flight at an upstream, for peers to learn.
func (r *Service) Busy(name string, n int) {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.unlock()
	r.membership.SetInFlight(r.Timer.Now(), name, n)
	r.publishLoads()
}

// BusyBatch sets the number of batch requests that this host has in flight at an upstream, for peers to learn.
func (r *Service) BusyBatch(name string, n int) {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.unlock()
	r.membership.SetBatch(r.Timer.Now(), name, n)
	r.publishLoads()
}

// Peers returns how many online requests other hosts are known to have in flight at an upstream.
func (r *Service) Peers(name string) int {
	v, ok := r.samples.Load(name)
	if !ok {
		return 0
	}
	return v.(*sample).peers
}

// PeersBatch returns how many batch requests other hosts are known to have in flight at an upstream.
func (r *Service) PeersBatch(name string) int {
	v, ok := r.samples.Load(name)
	if !ok {
		return 0
	}
	return v.(*sample).peersBatch
}

// LoadChanges returns a number that grows whenever what Load, Peers or PeersBatch returns has changed.
func (r *Service) LoadChanges() uint64 {
	return r.loadChanges.Load()
}

// publishLoads publishes the changed loads and counts for lock-free readers.
func (r *Service) publishLoads() {
	l := r.membership.TakeChangedLoads()
	if len(l) > 0 {
		defer r.loadChanges.Add(1)
	}
	for _, n := range l {
		s := &sample{peers: r.membership.PeersInFlight(n), peersBatch: r.membership.PeersBatch(n)}
		s.report, s.measured, s.reported = r.membership.Load(n)
		if !s.reported && s.peers+s.peersBatch == 0 {
			r.samples.Delete(n)
			continue
		}
		r.samples.Store(n, s)
	}
}
