package ejection

import (
	"slices"
	"time"

	"siskinrun/internal/data/outcome"
)

const (
	// DefaultConsecutiveFailures is the default number of consecutive failures that eject an upstream.
	DefaultConsecutiveFailures = 3
	// DefaultSilenceTimeout is the default time without evidence of life after which an upstream is ejected.
	DefaultSilenceTimeout = 5 * time.Second
	// DefaultSlowRatio is the default multiple of the median latency above which an upstream is ejected.
	DefaultSlowRatio = 8.0
	// DefaultMaxEjectedShare is the default share of ejected upstreams of a service above which ejections are suspended.
	DefaultMaxEjectedShare = 0.5
	// DefaultBaseEjectionTime is the default time of a first ejection.
	DefaultBaseEjectionTime = time.Second
	// DefaultMaxEjectionTime is the default maximum time of an ejection.
	DefaultMaxEjectionTime = 30 * time.Second
	// DefaultRestoreProbes is the default number of consecutive successful probes that end an ejection.
	DefaultRestoreProbes = 2
)

const (
	// A slow upstream is ejected only if, with it, at most this share of its service is ejected.
	maxSlowEjectedShare = 0.2
	// minSlowSamples is the number of samples from which on the latency of an upstream counts as measured.
	minSlowSamples = 20
	// latencyWeight and failureRateWeight are the weights of one sample in the moving averages.
	latencyWeight     = 0.1
	failureRateWeight = 0.05
	// An upstream is ejected above maxFailureRate, once it has minFailureRateSamples samples.
	maxFailureRate        = 0.5
	minFailureRateSamples = 20
	// A request that must not be retried serves as a probe after this multiple of the ejection time in addition.
	unrepeatableDelayFactor = 4
	// probeTimeout is the time after which another probe may be sent although the last one has not ended.
	probeTimeout = 10 * time.Second
)

type member struct {
	service             *service
	consecutiveFailures int
	failureRate         float64
	samples             int
	latency             float64
	lastAlive           time.Time
	ejected             bool
	// unreachable means that the last connection attempt failed.
	unreachable bool
	// slow means that the upstream was ejected for its latency.
	slow bool
	// silentSince is when the upstream was ejected for its silence, zero if it was not or has failed a request since.
	silentSince    time.Time
	ejectedUntil   time.Time
	ejectionTime   time.Duration
	probeSuccesses int
	probeSent      time.Time
}

type service struct {
	members   []*member
	ejected   int
	suspended bool
	median    float64
	latencies []float64
}

// Detector detects and ejects outliers among the upstreams of each service; it is not safe for concurrent use.
type Detector struct {
	// ConsecutiveFailures is the number of consecutive failures that eject an upstream.
	ConsecutiveFailures int
	// SilenceTimeout is the time without evidence of life after which an upstream is ejected.
	SilenceTimeout time.Duration
	// SlowRatio is the multiple of the service's median latency above which an upstream is ejected.
	SlowRatio float64
	// MaxEjectedShare is the share of a service's upstreams above which ejections are suspended, since the fault is probably this host's.
	MaxEjectedShare float64
	// BaseEjectionTime is the time of a first ejection; it doubles with each failed probe.
	BaseEjectionTime time.Duration
	// MaxEjectionTime is the maximum time of an ejection.
	MaxEjectionTime time.Duration
	// RestoreProbes is the number of consecutive successful probes that end an ejection.
	RestoreProbes int

	services map[string]*service
	members  map[string]*member
}

// NewDetector returns a Detector without upstreams.
func NewDetector() *Detector {
	return &Detector{
		ConsecutiveFailures: DefaultConsecutiveFailures,
		SilenceTimeout:      DefaultSilenceTimeout,
		SlowRatio:           DefaultSlowRatio,
		MaxEjectedShare:     DefaultMaxEjectedShare,
		BaseEjectionTime:    DefaultBaseEjectionTime,
		MaxEjectionTime:     DefaultMaxEjectionTime,
		RestoreProbes:       DefaultRestoreProbes,
		services:            make(map[string]*service),
		members:             make(map[string]*member),
	}
}

// Add adds an upstream, without its history if it was known.
func (e *Detector) Add(name, serviceName string) {
	e.Remove(name)
	s, ok := e.services[serviceName]
	if !ok {
		s = &service{}
		e.services[serviceName] = s
	}
	m := &member{service: s}
	s.members = append(s.members, m)
	e.members[name] = m
}

// Remove removes an upstream.
func (e *Detector) Remove(name string) {
	m, ok := e.members[name]
	if !ok {
		return
	}
	e.restore(m)
	s := m.service
	s.members = slices.DeleteFunc(s.members, func(o *member) bool { return o == m })
	s.updateSuspended(e.MaxEjectedShare)
	delete(e.members, name)
}

// MarkAlive records evidence that an upstream is alive, such as a report. It ends an ejection whose only cause was silence:
// after a partition many upstreams are heard again at once, and probes would bring them back one by one.
func (e *Detector) MarkAlive(name string, at time.Time) {
	m, ok := e.members[name]
	if !ok || !at.After(m.lastAlive) {
		return
	}
	m.lastAlive = at
	if !m.silentSince.IsZero() && at.After(m.silentSince) {
		e.restore(m)
	}
}

// Observe records the outcome of a request; latency is its time to the first byte and counts only for a success.
func (e *Detector) Observe(name string, o outcome.Outcome, latency time.Duration, at time.Time) {
	m, ok := e.members[name]
	if !ok {
		return
	}
	m.probeSent = time.Time{}
	if o == outcome.Cancelled || o == outcome.PathLost {
		return
	}
	if o == outcome.Unreachable {
		m.unreachable = true
		return
	}
	m.unreachable = false
	if o == outcome.Succeeded {
		e.recordSuccess(m, latency, at)
		return
	}
	m.consecutiveFailures++
	m.silentSince = time.Time{}
	m.probeSuccesses = 0
	m.failureRate += (1 - m.failureRate) * failureRateWeight
	m.samples++
	failing := m.samples >= minFailureRateSamples && m.failureRate > maxFailureRate
	if m.ejected {
		e.extend(m, at)
	} else if m.consecutiveFailures >= e.ConsecutiveFailures || failing {
		e.eject(m, at)
	}
}

// Allowed reports whether an upstream may get ordinary requests.
func (e *Detector) Allowed(name string) bool {
	m, ok := e.members[name]
	return ok && !m.unreachable && (!m.ejected || m.service.suspended)
}

// Ejected reports whether an upstream is ejected, even while ejections are suspended.
func (e *Detector) Ejected(name string) bool {
	m, ok := e.members[name]
	return ok && m.ejected
}

// Suspended reports whether ejections of a service are suspended: so many upstreams look dead that the fault is probably this host's.
func (e *Detector) Suspended(serviceName string) bool {
	s, ok := e.services[serviceName]
	return ok && s.suspended
}

// Probe reports whether an ejected upstream is due a probe request, and records the probe as sent.
//
// A request that must not be retried serves as a probe only after a longer ejection.
func (e *Detector) Probe(name string, repeatable bool, now time.Time) bool {
	m, ok := e.members[name]
	if !ok || !m.ejected || m.unreachable || now.Before(m.ejectedUntil) {
		return false
	}
	if !repeatable && now.Before(m.ejectedUntil.Add(unrepeatableDelayFactor*m.ejectionTime)) {
		return false
	}
	if !m.probeSent.IsZero() && now.Before(m.probeSent.Add(probeTimeout)) {
		return false
	}
	m.probeSent = now
	return true
}

// Sweep ejects silent and slow upstreams and updates whether ejections are suspended; its cost grows with the upstreams.
func (e *Detector) Sweep(now time.Time) {
	for _, s := range e.services {
		s.median = s.medianLatency()
		for _, m := range s.members {
			e.evaluate(m, now)
		}
		s.updateSuspended(e.MaxEjectedShare)
	}
}
