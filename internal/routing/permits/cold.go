package permits

import (
	"math"
	"time"

	"github.com/rcrowley/go-metrics"

	"siskinrun/internal/base/host"
	"siskinrun/internal/data/permit"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/data/upstreamlimit"
	"siskinrun/internal/limits/meter"
)

const (
	// coldWindow is the length of the spans in which requests to a cold upstream are counted: 1 s there, and 400 ms by which
	// the time from a permit to the arrival of its request varies, of which a permit holds for 250 ms and its answer takes up to 150 ms.
	coldWindow = 1400 * time.Millisecond
	// coldSettleTime is how long a new meter of a cold upstream lets nothing through: hosts may have sent requests without a
	// permit, or with one of another coordinator, in the window before, and learn of changes up to 500 ms after this host.
	coldSettleTime = coldWindow + 500*time.Millisecond
	// coldSpare is the number of requests in a window that are kept for one that is late beyond that.
	coldSpare = 1
	// resumeTime is how long a host that stood still asks for permits of all upstreams that may have turned cold meanwhile.
	resumeTime = time.Second
	// unmergedAge makes what an ask says of an upstream without a limit older than all that its coordinator knows.
	unmergedAge = time.Hour
)

// SetUpstreams applies how long the known upstreams stay cold. It does nothing without ColdRate.
func (s *Service) SetUpstreams(l []upstream.Upstream) {
	if s.ColdRate == nil {
		return
	}
	n := s.Timer.Now()
	s.mu.Lock()
	turned := s.cold.SetUpstreams(n, l, s.ColdRate)
	for name := range s.coldMeters {
		if _, _, ok := s.cold.Get(n, name, 0); !ok {
			delete(s.coldMeters, name)
		}
	}
	s.publishCold(n)
	s.mu.Unlock()
	for _, name := range turned {
		if c, _ := s.coordinator(name); c != s.Name {
			continue
		}
		s.mu.Lock()
		until, rate, ok := s.cold.Get(n, name, 0)
		if ok {
			s.coldMeter(n, name, rate)
		}
		s.mu.Unlock()
		s.Log.Info().Str("upstream", name).Float64("per-second", rate).Dur("for-ms", until.Sub(n)).Msg("upstream is cold")
	}
}

// publishCold shows how long any upstream is cold to readers without the lock, and to operators. The caller holds s.mu.
func (s *Service) publishCold(now time.Time) {
	t := s.cold.Until()
	s.coldUntil.Store(&t)
	metrics.GetOrRegisterGauge("cold-upstreams", s.Metrics).Update(int64(s.cold.Cold(now)))
}

// anyCold reports whether any upstream may be cold.
func (s *Service) anyCold() bool {
	t := s.coldUntil.Load()
	return t != nil && s.Timer.Now().Before(*t)
}

// Cold reports whether an upstream is known to be cold now.
func (s *Service) Cold(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _, ok := s.cold.Get(s.Timer.Now(), name, 0)
	return ok
}

// bound returns the limit that holds for an incarnation of an upstream: the one that it names, and the rate that it bears
// while it is cold. The caller holds s.mu.
func (s *Service) bound(name string, incarnation uint64) (upstreamlimit.Limit, bool) {
	l, named := s.view.Get(name, incarnation)
	n := s.Timer.Now()
	_, rate, cold := s.cold.Get(n, name, incarnation)
	switch {
	case !cold:
		return l, named
	case !named:
		l = s.unnamed(n, name)
		l.Value.Named, l.Value.PerSecond = true, rate
	default:
		l.Value.PerSecond = min(l.Value.PerSecond, rate)
	}
	return l, true
}

// unnamed returns what an ask says of an upstream that names no limit.
func (s *Service) unnamed(now time.Time, name string) upstreamlimit.Limit {
	t := now.Add(-unmergedAge)
	return upstreamlimit.Limit{Upstream: name, Incarnation: s.cold.Incarnation(name), Sent: t, Received: t, Host: s.Name}
}

// told returns what an ask for a permit tells its coordinator: the limit that the upstream names, and how much longer it is
// cold.
func (s *Service) told(name string) (l upstreamlimit.Limit, cold time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.Timer.Now()
	if until, _, ok := s.cold.Get(n, name, 0); ok {
		cold = until.Sub(n)
	}
	if l, ok := s.view.Get(name, 0); ok {
		return l, cold
	}
	return s.unnamed(n, name), cold
}

// hearCold records for how much longer an asking host takes an upstream for cold.
func (s *Service) hearCold(l upstreamlimit.Limit, cold time.Duration) {
	if cold <= 0 || s.ColdRate == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.Timer.Now()
	s.cold.Extend(l.Upstream, l.Incarnation, n.Add(min(cold, upstream.MaxCold)))
	s.publishCold(n)
}

// isCold reports whether an upstream is cold.
func (s *Service) isCold(name string) bool {
	if !s.anyCold() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _, ok := s.cold.Get(s.Timer.Now(), name, 0)
	return ok
}

// coldMeter returns the meter of a cold upstream. A new one is blocked. The caller holds s.mu.
func (s *Service) coldMeter(now time.Time, name string, rate float64) *meter.Meter {
	m := s.coldMeters[name]
	if m == nil {
		m = &meter.Meter{}
		m.Block(now.Add(coldSettleTime))
		s.coldMeters[name] = m
	}
	most := max(int(math.Floor(rate*s.ColdOverrun+s.ColdSlack))-coldSpare, 1)
	m.SetWindow(now, rate, rate*max(s.ColdOverrun, 1), most, coldWindow)
	return m
}

// grantCold hands out a permit of a cold upstream, which may name a limit as well. The caller holds s.mu.
func (s *Service) grantCold(now time.Time, l upstreamlimit.Limit, rate float64, r request) permit.Permit {
	p := permit.Permit{Limit: l}
	if r.batch || s.standsStill(now) || s.minority() {
		s.count("cold-permits-refused")
		p.Wait, p.CommittedIn, p.PeakIn = silentTime, silentTime, silentTime
		return p
	}
	m := s.coldMeter(now, l.Upstream, rate)
	committed, peak := m.Delays(now)
	var named *meter.Meter
	if k, ok := s.view.Get(l.Upstream, 0); ok {
		named = s.meter(now, k)
		c, d := named.Delays(now)
		committed, peak = max(committed, c), max(peak, d)
	}
	p.Wait = committed
	if r.peak {
		p.Wait = peak
	}
	if p.Granted = p.Wait <= r.wait; p.Granted {
		m.Take(now, r.peak, r.wait)
		if named != nil {
			named.Take(now, r.peak, r.wait)
		}
		s.count("cold-permits-granted")
		committed, peak = m.Delays(now)
	} else {
		s.count("cold-permits-refused")
		p.Wait = peak
	}
	p.CommittedIn, p.PeakIn = committed, peak
	_, p.Room = m.Room(now)
	return p
}

// standsStill reports whether this host stood still until just now: others may coordinate its upstreams. The caller holds
// s.mu.
func (s *Service) standsStill(now time.Time) bool {
	return now.Sub(s.watched) > maxStandstill || now.Before(s.resumed)
}

// uncertain reports whether an upstream that is warm as far as this host knows may have turned cold while the host stood still.
func (s *Service) uncertain(u upstream.Upstream) bool {
	if s.ColdRate == nil || s.SingleHost || s.ColdRate(u.Service) <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.watched.IsZero() && s.standsStill(s.Timer.Now())
}

// countLostHosts takes hosts out of the count of which it is known only now that they left on purpose.
func (s *Service) countLostHosts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen.Missing() > 0 {
		s.countHosts(s.hosts)
	}
}

// countHosts counts the hosts that are seen now. The caller holds s.mu.
func (s *Service) countHosts(l []host.Host) {
	names := make([]string, 0, len(l))
	for _, h := range l {
		names = append(names, h.Name)
	}
	s.seen.Observe(names, func() map[string]bool {
		if s.Stopped == nil {
			return nil
		}
		return s.Stopped()
	})
}

// minority reports whether this host may be cut off from as many hosts as it reaches, which then coordinate the same
// upstreams. The caller holds s.mu.
func (s *Service) minority() bool {
	if s.SingleHost {
		return false
	}
	return !s.compared.Load() || s.seen.Minority()
}
