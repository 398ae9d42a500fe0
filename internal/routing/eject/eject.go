package eject

import (
	"slices"
	"time"

	"siskinrun/internal/data/outcome"
)

const (
	// FailuresDefault is the default number of failures in a row that ejects.
	FailuresDefault = 3
	// SilenceDefault is the default time without a sign of life that ejects.
	SilenceDefault = 5 * time.Second
	// SlownessDefault is the default multiple of the median latency that ejects.
	SlownessDefault = 8.0
	// ShareDefault is the default share of a service above which the observer is doubted.
	ShareDefault = 0.5
	// HoldDefault is the default time of a first ejection.
	HoldDefault = time.Second
	// HoldMaxDefault is the default bound on the time of an ejection.
	HoldMaxDefault = 30 * time.Second
	// ProvingDefault is the default number of successes in a row that ends an ejection.
	ProvingDefault = 2
)

const (
	slowShare      = 0.2
	slowSamplesMin = 20
	latencyWeight  = 0.1
	rateWeight     = 0.05
	rateMax        = 0.5
	rateSamplesMin = 20
	unjudgedFactor = 4
	probePatience  = 10 * time.Second
)

type member struct {
	group    *service
	failures int
	rate     float64
	samples  int
	latency  float64
	heard    time.Time
	ejected  bool
	// unreachable says that no connection came about since the last sign of life.
	unreachable bool
	slow        bool
	until       time.Time
	hold        time.Duration
	proven      int
	probed      time.Time
}

type service struct {
	members   []*member
	ejected   int
	doubted   bool
	median    float64
	latencies []float64
}

// Eject watches the upstreams of each service; it serves one goroutine at a time.
type Eject struct {
	// Failures is the number of failures in a row that ejects.
	Failures int
	// Silence is the time without a sign of life that ejects.
	Silence time.Duration
	// Slowness is the multiple of the service's median latency that ejects.
	Slowness float64
	// Share is the share of a service's upstreams above which ejections are not believed.
	Share float64
	// Hold is the time of a first ejection, which doubles with each failed probe.
	Hold time.Duration
	// HoldMax bounds the time of an ejection.
	HoldMax time.Duration
	// Proving is the number of successful probes in a row that ends an ejection.
	Proving int

	services map[string]*service
	members  map[string]*member
}

// NewEject returns a watcher without upstreams.
func NewEject() *Eject {
	return &Eject{
		Failures: FailuresDefault,
		Silence:  SilenceDefault,
		Slowness: SlownessDefault,
		Share:    ShareDefault,
		Hold:     HoldDefault,
		HoldMax:  HoldMaxDefault,
		Proving:  ProvingDefault,
		services: make(map[string]*service),
		members:  make(map[string]*member),
	}
}

// Add begins to watch an upstream, afresh if it was known.
func (e *Eject) Add(name, group string) {
	e.Remove(name)
	s, ok := e.services[group]
	if !ok {
		s = &service{}
		e.services[group] = s
	}
	m := &member{group: s}
	s.members = append(s.members, m)
	e.members[name] = m
}

// Remove ends the watch over an upstream.
func (e *Eject) Remove(name string) {
	m, ok := e.members[name]
	if !ok {
		return
	}
	e.clear(m)
	s := m.group
	s.members = slices.DeleteFunc(s.members, func(o *member) bool { return o == m })
	s.doubt(e.Share)
	delete(e.members, name)
}

// Heard notes a sign of life, such as a report.
func (e *Eject) Heard(name string, at time.Time) {
	m, ok := e.members[name]
	if ok && at.After(m.heard) {
		m.heard = at
	}
}

// Observe notes the end of an exchange; the latency is that of a success.
func (e *Eject) Observe(name string, o outcome.Outcome, latency time.Duration, at time.Time) {
	m, ok := e.members[name]
	if !ok {
		return
	}
	m.probed = time.Time{}
	if o == outcome.Cancelled {
		return
	}
	if o == outcome.Unreachable {
		m.unreachable = true
		return
	}
	m.unreachable = false
	if o == outcome.Succeeded {
		e.succeed(m, latency, at)
		return
	}
	m.failures++
	m.proven = 0
	m.rate += (1 - m.rate) * rateWeight
	m.samples++
	failing := m.samples >= rateSamplesMin && m.rate > rateMax
	if m.ejected {
		e.extend(m, at)
	} else if m.failures >= e.Failures || failing {
		e.eject(m, at)
	}
}

// Allowed reports whether an upstream may get work like any other.
func (e *Eject) Allowed(name string) bool {
	m, ok := e.members[name]
	return ok && !m.unreachable && (!m.ejected || m.group.doubted)
}

// Unreachable returns the upstreams to which no connection came about; they get no work until one does.
func (e *Eject) Unreachable() []string {
	var l []string
	for n, m := range e.members {
		if m.unreachable {
			l = append(l, n)
		}
	}
	slices.Sort(l)
	return l
}

// Reachable reports whether connections to an upstream come about, as far as known.
func (e *Eject) Reachable(name string) bool {
	m, ok := e.members[name]
	return ok && !m.unreachable
}

// Reached notes that a connection to an upstream came about.
func (e *Eject) Reached(name string) {
	if m, ok := e.members[name]; ok {
		m.unreachable = false
	}
}

// Ejected reports whether an upstream is out, whether or not the observer is doubted.
func (e *Eject) Ejected(name string) bool {
	m, ok := e.members[name]
	return ok && m.ejected
}

// Doubted reports whether so many upstreams of a service look dead that the fault is more likely here.
func (e *Eject) Doubted(group string) bool {
	s, ok := e.services[group]
	return ok && s.doubted
}

// Probe reports whether an ejected upstream is due a single request, and counts it as sent.
//
// A request that may not be repeated is lent only to an upstream that has been out for long.
func (e *Eject) Probe(name string, repeatable bool, now time.Time) bool {
	m, ok := e.members[name]
	if !ok || !m.ejected || m.unreachable || now.Before(m.until) {
		return false
	}
	if !repeatable && now.Before(m.until.Add(unjudgedFactor*m.hold)) {
		return false
	}
	if !m.probed.IsZero() && now.Before(m.probed.Add(probePatience)) {
		return false
	}
	m.probed = now
	return true
}

// Sweep ejects silent and slow upstreams and judges the observer; its cost grows with the upstreams.
func (e *Eject) Sweep(now time.Time) {
	for _, s := range e.services {
		s.median = s.measure()
		for _, m := range s.members {
			e.judge(m, now)
		}
		s.doubt(e.Share)
	}
}

func (e *Eject) judge(m *member, now time.Time) {
	silent := !m.heard.IsZero() && now.Sub(m.heard) > e.Silence
	if m.ejected {
		if silent && now.After(m.until) {
			m.until = now.Add(m.hold)
		}
		return
	}
	if silent {
		e.eject(m, now)
		return
	}
	s := m.group
	slow := m.samples >= slowSamplesMin && s.median > 0 && m.latency > e.Slowness*s.median
	if slow && float64(s.ejected+1) <= slowShare*float64(len(s.members)) {
		e.eject(m, now)
		m.slow = true
	}
}

func (e *Eject) eject(m *member, at time.Time) {
	m.ejected = true
	m.hold = e.Hold
	m.until = at.Add(m.hold)
	m.proven = 0
	m.probed = time.Time{}
	m.group.ejected++
	m.group.doubt(e.Share)
}

func (e *Eject) extend(m *member, at time.Time) {
	if at.Before(m.until) {
		return
	}
	m.hold = min(2*m.hold, e.HoldMax)
	m.until = at.Add(m.hold)
}

func (e *Eject) succeed(m *member, latency time.Duration, at time.Time) {
	m.failures = 0
	m.rate -= m.rate * rateWeight
	m.heard = later(m.heard, at)
	e.measure(m, latency)
	if !m.ejected {
		return
	}
	if m.slow && float64(latency) > e.Slowness*m.group.median {
		e.extend(m, at)
		return
	}
	m.proven++
	if m.proven >= e.Proving {
		e.clear(m)
	}
}

func (e *Eject) measure(m *member, latency time.Duration) {
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

func (e *Eject) clear(m *member) {
	if !m.ejected {
		return
	}
	m.ejected = false
	m.slow = false
	m.failures = 0
	m.rate = 0
	m.samples = 0
	m.latency = 0
	m.group.ejected--
	m.group.doubt(e.Share)
}

func (s *service) doubt(share float64) {
	s.doubted = float64(s.ejected) > share*float64(len(s.members))
}

func (s *service) measure() float64 {
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
