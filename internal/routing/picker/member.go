package picker

import (
	"math"
	"slices"
	"time"

	"siskinrun/internal/data/loadreport"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/modelspec"
	"siskinrun/internal/routing/peak"
)

const (
	latencyWeight    = 0.2
	latencyFreshTime = 5 * time.Second
	promptDecayFloor = time.Millisecond
	warmUpShareMin   = 0.1
	latencyRatioMin  = 0.5
	latencyRatioMax  = 16
)

// member is the state of one upstream on this host.
type member struct {
	upstream upstream.Upstream
	// models are the sorted names under which the upstream is found; the empty name stands for any model.
	models  []string
	slots   float64
	added   time.Time
	warming bool

	own   int
	peers int
	batch int

	// unexplained is the load in the last report that recent counts do not account for.
	unexplained float64
	reportTaken time.Time
	history     peak.History

	// pendingPrompts is the prompt computation still due before the first byte, in whole prompts.
	pendingPrompts float64
	pendingAt      time.Time

	latency   float64
	latencyAt time.Time
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

// applyReport keeps the reported load that the counts of its time do not explain; for an engine only waiting requests count, since running ones may be batch.
func (m *member) applyReport(r loadreport.Report, at, now time.Time) {
	taken := at.Add(-r.Age.Duration())
	if !taken.After(m.reportTaken) {
		return
	}
	m.reportTaken = taken
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
	return m.own + m.peers + m.batch
}

// load returns the running and waiting online requests; unexplained ones fade in the second half of a report's lifetime.
func (m *member) load(now time.Time, life time.Duration) float64 {
	n := float64(m.own + m.peers)
	left := life - now.Sub(m.reportTaken)
	if m.unexplained == 0 || left <= 0 {
		return n
	}
	return n + m.unexplained*min(2*float64(left)/float64(life), 1)
}

// effectiveSlots returns the slots to count on, which start low and rise while a new upstream warms up.
func (m *member) effectiveSlots(now time.Time, warm time.Duration) float64 {
	if !m.warming {
		return m.slots
	}
	age := now.Sub(m.added)
	if age >= warm {
		m.warming = false
		return m.slots
	}
	return m.slots * (warmUpShareMin + (1-warmUpShareMin)*float64(age)/float64(warm))
}

// latencyRatio returns the upstream's latency relative to the median; it drifts to 1 without new samples.
func (m *member) latencyRatio(now time.Time, median float64) float64 {
	if m.latency == 0 || median == 0 {
		return 1
	}
	r := min(max(m.latency/median, latencyRatioMin), latencyRatioMax)
	age := now.Sub(m.latencyAt)
	if age <= latencyFreshTime {
		return r
	}
	return 1 + (r-1)*float64(latencyFreshTime)/float64(age)
}
