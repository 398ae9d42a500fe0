package picker

import (
	"math"
	"slices"
	"time"

	"siskinrun/internal/data/loadreport"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/modelspec"
	"siskinrun/internal/routing/paceestimate"
	"siskinrun/internal/routing/peak"
)

const (
	// latencyWeight is the weight of one sample in the moving average of latency.
	latencyWeight = 0.2
	// latencyFreshTime is the time after the last sample from which on the latency ratio drifts to 1.
	latencyFreshTime = 5 * time.Second
	// promptDecayFloor is the minimum time constant with which pending prompts decay.
	promptDecayFloor = time.Millisecond
	// minWarmUpShare is the share of its slots with which a new upstream starts.
	minWarmUpShare = 0.1
	// minLatencyRatio and maxLatencyRatio bound the latency ratio.
	minLatencyRatio = 0.5
	maxLatencyRatio = 16
)

// member is the state of one upstream on this host.
type member struct {
	upstream upstream.Upstream
	// models are the sorted names under which the upstream is found; the empty name stands for any model.
	models []string
	slots  float64
	added  time.Time
	// announcedAt is when the upstream last announced itself, brokenAt when a connection to it last broke or failed.
	announcedAt time.Time
	brokenAt    time.Time
	// refusedAt is when a connection to it last failed to come about.
	refusedAt time.Time
	warming   bool
	// closed says that the gate was closed for the upstream when it changed last.
	closed bool

	own   int
	peers int
	batch int
	// peerBatch is the number of batch requests of other hosts.
	peerBatch int

	// unexplained is the load in the last report that recent counts do not account for.
	unexplained float64
	reportTaken time.Time
	history     peak.History

	// pendingPrompts is the prompt computation still due before the first byte, in whole prompts.
	pendingPrompts float64
	pendingAt      time.Time

	latency   float64
	latencyAt time.Time

	pace paceestimate.Estimate
	// work is the moving average of the time that answers take at the usual pace, zero if no pace is reported.
	work float64
	// workAt is when work was last observed.
	workAt time.Time
}

// applyAnnouncement applies the upstream's announcement.
func (m *member) applyAnnouncement(u upstream.Upstream) {
	m.upstream = u
	m.slots = float64(max(u.Slots, 1))
	m.models = append(m.models[:0], "")
	for _, s := range u.Models {
		m.models = append(m.models, s, modelspec.StripVersion(s))
	}
	slices.Sort(m.models)
	m.models = slices.Compact(m.models)
}

func (m *member) observeLatency(latency time.Duration, at time.Time) {
	m.latencyAt = at
	if m.latency == 0 {
		m.latency = float64(latency)
		return
	}
	m.latency += (float64(latency) - m.latency) * latencyWeight
}

// applyReport records the reported load that this host's counts at the time of the report do not account for.
//
// For an engine, only waiting requests count, since running ones may be batch.
func (m *member) applyReport(r loadreport.Report, at, now time.Time) {
	taken := at.Add(-r.Age.Duration())
	if !taken.After(m.reportTaken) {
		return
	}
	m.reportTaken = taken
	m.pace.Observe(r.Pace, taken)
	n := max(r.Running+r.Waiting-m.history.MaxAround(taken, now), 0)
	if m.upstream.Kind == upstream.Engine {
		n = min(n, r.Waiting)
	}
	m.unexplained = float64(n)
}

// addPrompts records prompts that were just sent.
func (m *member) addPrompts(prompts float64, now time.Time) {
	m.pendingPrompts = m.pendingPromptsAt(now) + prompts
	m.pendingAt = now
}

// pendingPromptsAt returns the pending prompts, which decay with the usual time to the first byte.
func (m *member) pendingPromptsAt(now time.Time) float64 {
	if m.pendingPrompts == 0 {
		return 0
	}
	age := now.Sub(m.pendingAt)
	if age <= 0 {
		return m.pendingPrompts
	}
	return m.pendingPrompts * math.Exp(-float64(age)/max(m.latency, float64(promptDecayFloor)))
}

// knownRequests returns the online and batch requests in the counts.
func (m *member) knownRequests() int {
	return m.own + m.peers + m.batch + m.peerBatch
}

// load returns the running and waiting online requests; unexplained ones decay linearly in the second half of the report's TTL.
func (m *member) load(now time.Time, ttl time.Duration) float64 {
	n := float64(m.own + m.peers)
	left := ttl - now.Sub(m.reportTaken)
	if m.unexplained == 0 || left <= 0 {
		return n
	}
	return n + m.unexplained*min(2*float64(left)/float64(ttl), 1)
}

// effectiveSlots returns the slots to count on, which start low and rise while a new upstream warms up.
func (m *member) effectiveSlots(now time.Time, warm time.Duration) float64 {
	age := now.Sub(m.added)
	if !m.warming || age >= warm {
		return m.slots
	}
	return m.slots * (minWarmUpShare + (1-minWarmUpShare)*float64(age)/float64(warm))
}

// latencyRatio returns the upstream's latency relative to the median; it drifts to 1 without new samples.
func (m *member) latencyRatio(now time.Time, median float64) float64 {
	if m.latency == 0 || median == 0 {
		return 1
	}
	r := min(max(m.latency/median, minLatencyRatio), maxLatencyRatio)
	age := now.Sub(m.latencyAt)
	if age <= latencyFreshTime {
		return r
	}
	return 1 + (r-1)*float64(latencyFreshTime)/float64(age)
}
