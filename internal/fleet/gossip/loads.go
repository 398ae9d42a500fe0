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
	pace       int
	paceAt     time.Time
}

// Report stores the load of an upstream.
func (s *Service) Report(l loadreport.Report) {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.membership.Report(s.Timer.Now(), l)
	s.publishLoads()
}

// Load returns the newest known load of an upstream and when it was measured.
func (s *Service) Load(name string) (loadreport.Report, time.Time, bool) {
	v := s.sampleOf(name)
	return v.report, v.measured, v.reported
}

// SetPace records the pace of an upstream that came with its answer. It reaches the peers with the next count of this host.
func (s *Service) SetPace(name string, pace int) {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.membership.SetPace(name, pace, s.Timer.Now())
	s.publishLoads()
}

// Pace returns the newest known pace of an upstream and when it was measured, zero if there is none.
func (s *Service) Pace(name string) (int, time.Time) {
	v := s.sampleOf(name)
	return v.pace, v.paceAt
}

// Busy sets the number of online requests that this host has in flight at an upstream, for peers to learn.
func (s *Service) Busy(name string, n int) {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.unlock()
	s.membership.SetInFlight(s.Timer.Now(), name, n)
	s.publishLoads()
}

// BusyBatch sets the number of batch requests that this host has in flight at an upstream, for peers to learn.
func (s *Service) BusyBatch(name string, n int) {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.unlock()
	s.membership.SetBatch(s.Timer.Now(), name, n)
	s.publishLoads()
}

// Peers returns how many online requests other hosts are known to have in flight at an upstream.
func (s *Service) Peers(name string) int {
	return s.sampleOf(name).peers
}

// PeersBatch returns how many batch requests other hosts are known to have in flight at an upstream.
func (s *Service) PeersBatch(name string) int {
	return s.sampleOf(name).peersBatch
}

// sampleOf returns the published load and counts of an upstream, all zero if there are none.
func (s *Service) sampleOf(name string) sample {
	v, ok := s.samples.Load(name)
	if !ok {
		return sample{}
	}
	return *v.(*sample)
}

// LoadChanges returns a number that grows whenever what Load, Pace, Peers or PeersBatch returns has changed.
func (s *Service) LoadChanges() uint64 {
	return s.loadChanges.Load()
}

// publishLoads publishes the changed loads and counts for lock-free readers.
func (s *Service) publishLoads() {
	l := s.membership.TakeChangedLoads()
	if len(l) > 0 {
		defer s.loadChanges.Add(1)
	}
	for _, n := range l {
		v := &sample{peers: s.membership.PeersInFlight(n), peersBatch: s.membership.PeersBatch(n)}
		v.report, v.measured, v.reported = s.membership.Load(n)
		v.pace, v.paceAt = s.membership.Pace(n)
		if !v.reported && v.pace == 0 && v.peers+v.peersBatch == 0 {
			s.samples.Delete(n)
			continue
		}
		s.samples.Store(n, v)
	}
}
