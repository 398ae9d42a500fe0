package membership

import (
	"time"

	"siskinrun/internal/data/gossipmessage"
	"siskinrun/internal/data/loadreport"
)

// paceExpiry is the age from which on a pace is neither kept nor passed on. It changes many times a second.
const paceExpiry = 4 * time.Second

// pace is the pace that an upstream reported to any host.
type pace struct {
	value      int
	measuredAt time.Time
}

// SetPace records the pace that an upstream reported at a time. It is passed on with the counts of this host and with
// occupancies, which are sent anyway, so its cost does not grow with the number of reports.
func (m *Membership) SetPace(name string, value int, at time.Time) {
	value = loadreport.BoundPace(value)
	old, ok := m.paces[name]
	if value == 0 || ok && !at.After(old.measuredAt) || !ok && len(m.paces) >= maxUpstreams {
		return
	}
	m.paces[name] = pace{value, at}
	m.changedLoads[name] = struct{}{}
}

// Pace returns the newest known pace of an upstream and when it was measured, zero if there is none.
func (m *Membership) Pace(name string) (int, time.Time) {
	p := m.paces[name]
	return p.value, p.measuredAt
}

func (m *Membership) applyPace(sent time.Time, name string, value int, age time.Duration) {
	if age >= 0 && age <= paceExpiry {
		m.SetPace(name, value, sent.Add(-age))
	}
}

// paceNews returns the newest known pace of an upstream and its age, to pass on.
func (m *Membership) paceNews(now time.Time, name string) (int, time.Duration) {
	p, ok := m.paces[name]
	if a := now.Sub(p.measuredAt); ok && a >= 0 && a <= paceExpiry {
		return p.value, a
	}
	return 0, 0
}

// withPace adds the newest known pace to a count of this host.
func (m *Membership) withPace(now time.Time, c gossipmessage.Count) gossipmessage.Count {
	c.Pace, c.PaceAge = m.paceNews(now, c.Upstream)
	return c
}

// prunePaces removes paces that have expired.
func (m *Membership) prunePaces(now time.Time) {
	for n, p := range m.paces {
		if now.Sub(p.measuredAt) > paceExpiry {
			delete(m.paces, n)
			m.changedLoads[n] = struct{}{}
		}
	}
}
