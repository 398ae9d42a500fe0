package choose

import (
	"math"
	"slices"
	"time"

	"siskinrun/internal/data/report"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/peak"
	"siskinrun/internal/routing/want"
)

const (
	latencyWeight   = 0.2
	latencyHalfLife = 5 * time.Second
	freshLifeLeast  = time.Millisecond
	warmShare       = 0.1
	ratioMin        = 0.5
	ratioMax        = 16
)

// member is one upstream as this host knows it.
type member struct {
	upstream upstream.Upstream
	// models are the names under which the upstream is looked up, the empty one for any.
	models []string
	slots  float64
	since  time.Time
	cold   bool

	own   int
	peers int
	batch int

	// unknown is the load of the last report that no count of late explained.
	unknown  float64
	reported time.Time
	total    peak.Peak

	// fresh is the computing that requests which wait for their first byte still need, in whole prompts.
	fresh   float64
	freshAt time.Time

	latency  float64
	measured time.Time
}

// announce takes in what the upstream says of itself.
func (m *member) announce(u upstream.Upstream) {
	m.upstream = u
	m.slots = float64(max(u.Slots, 1))
	m.models = append(m.models[:0], "")
	for _, s := range u.Models {
		m.models = append(m.models, s, want.Unversioned(s))
	}
	slices.Sort(m.models)
	m.models = slices.Compact(m.models)
}

func (m *member) observe(latency time.Duration, at time.Time) {
	m.measured = at
	if m.latency == 0 {
		m.latency = float64(latency)
		return
	}
	m.latency += (float64(latency) - m.latency) * latencyWeight
}

// report takes in what the counts of its time do not explain; of an engine only what waits, since batch may run there.
func (m *member) report(r report.Report, at, now time.Time) {
	taken := at.Add(-r.Age.Duration())
	if !taken.After(m.reported) {
		return
	}
	m.reported = taken
	n := max(r.Running+r.Waiting-m.total.Around(taken, now), 0)
	if m.upstream.Kind == upstream.Engine {
		n = min(n, r.Waiting)
	}
	m.unknown = float64(n)
}

// add notes prompts that were just sent.
func (m *member) add(prompts float64, now time.Time) {
	m.fresh = m.freshNow(now) + prompts
	m.freshAt = now
}

// freshNow lets the prompts that were sent fade as their first bytes come.
func (m *member) freshNow(now time.Time) float64 {
	if m.fresh == 0 {
		return 0
	}
	age := now.Sub(m.freshAt)
	if age <= 0 {
		return m.fresh
	}
	return m.fresh * math.Exp(-float64(age)/max(m.latency, float64(freshLifeLeast)))
}

// counted returns the requests that this host knows of.
func (m *member) counted() int {
	return m.own + m.peers + m.batch
}

// load returns the online requests that run or wait; unexplained ones fade in the second half of a report's life.
func (m *member) load(now time.Time, life time.Duration) float64 {
	n := float64(m.own + m.peers)
	left := life - now.Sub(m.reported)
	if m.unknown == 0 || left <= 0 {
		return n
	}
	return n + m.unknown*min(2*float64(left)/float64(life), 1)
}

// room returns the slots that count, which are few while the upstream is new.
func (m *member) room(now time.Time, warm time.Duration) float64 {
	if !m.cold {
		return m.slots
	}
	age := now.Sub(m.since)
	if age >= warm {
		m.cold = false
		return m.slots
	}
	return m.slots * (warmShare + (1-warmShare)*float64(age)/float64(warm))
}

// ratio returns how slow the upstream is against the median, drifting to one when it is not measured.
func (m *member) ratio(now time.Time, median float64) float64 {
	if m.latency == 0 || median == 0 {
		return 1
	}
	r := min(max(m.latency/median, ratioMin), ratioMax)
	age := now.Sub(m.measured)
	if age <= latencyHalfLife {
		return r
	}
	return 1 + (r-1)*float64(latencyHalfLife)/float64(age)
}
