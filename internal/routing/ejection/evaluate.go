package ejection

import (
	"slices"
	"time"
)

func (e *Detector) evaluate(m *member, now time.Time) {
	silent := !m.lastAlive.IsZero() && now.Sub(m.lastAlive) > e.SilenceTimeout
	if m.ejected {
		if silent && now.After(m.ejectedUntil) {
			m.ejectedUntil = now.Add(m.ejectionTime)
		}
		return
	}
	if silent {
		e.eject(m, now)
		m.silentSince = now
		return
	}
	s := m.service
	slow := m.samples >= minSlowSamples && s.median > 0 && m.latency > e.SlowRatio*s.median
	if slow && float64(s.ejected+1) <= maxSlowEjectedShare*float64(len(s.members)) {
		e.eject(m, now)
		m.slow = true
	}
}

func (e *Detector) eject(m *member, at time.Time) {
	m.ejected = true
	m.ejectionTime = e.BaseEjectionTime
	m.ejectedUntil = at.Add(m.ejectionTime)
	m.probeSuccesses = 0
	m.probeSent = time.Time{}
	m.service.ejected++
	m.service.updateSuspended(e.MaxEjectedShare)
}

func (e *Detector) extend(m *member, at time.Time) {
	if at.Before(m.ejectedUntil) {
		return
	}
	m.ejectionTime = min(2*m.ejectionTime, e.MaxEjectionTime)
	m.ejectedUntil = at.Add(m.ejectionTime)
}

func (e *Detector) recordSuccess(m *member, latency time.Duration, at time.Time) {
	m.consecutiveFailures = 0
	m.failureRate -= m.failureRate * failureRateWeight
	m.lastAlive = later(m.lastAlive, at)
	e.recordLatency(m, latency)
	if !m.ejected {
		return
	}
	if m.slow && float64(latency) > e.SlowRatio*m.service.median {
		e.extend(m, at)
		return
	}
	m.probeSuccesses++
	if m.probeSuccesses >= e.RestoreProbes {
		e.restore(m)
	}
}

func (e *Detector) recordLatency(m *member, latency time.Duration) {
	m.samples++
	if latency <= 0 {
		return
	}
	if m.latency == 0 {
		m.latency = float64(latency)
		return
	}
	m.latency += (float64(latency) - m.latency) * latencyWeight
}

func (e *Detector) restore(m *member) {
	if !m.ejected {
		return
	}
	m.ejected = false
	m.slow = false
	m.silentSince = time.Time{}
	m.consecutiveFailures = 0
	m.failureRate = 0
	m.samples = 0
	m.latency = 0
	m.service.ejected--
	m.service.updateSuspended(e.MaxEjectedShare)
}

func (s *service) updateSuspended(share float64) {
	s.suspended = float64(s.ejected) > share*float64(len(s.members))
}

func (s *service) medianLatency() float64 {
	s.latencies = s.latencies[:0]
	for _, m := range s.members {
		if !m.ejected && m.latency > 0 {
			s.latencies = append(s.latencies, m.latency)
		}
	}
	if len(s.latencies) == 0 {
		return 0
	}
	slices.Sort(s.latencies)
	return s.latencies[len(s.latencies)/2]
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
