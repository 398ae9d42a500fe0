package server

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"siskinrun/internal/data/feature"
	"siskinrun/internal/data/gossipmessage"
	"siskinrun/internal/state/groupstatus"
)

// deadlines decides on the leader of a ledger group whether items are leased by deadline.
type deadlines struct {
	components *components
	registry   metrics.Registry

	mu sync.Mutex
	// decided holds the last decision for each group.
	decided map[uint32]deadlineDecision
}

// decisionInterval is the time between two looks at the members of a group.
const decisionInterval = 500 * time.Millisecond

// deadlineDecision says whether all members of a group know the order, and which one does not.
type deadlineDecision struct {
	older string
	all   bool
	at    time.Time
}

// completionTime returns the time from a job's creation to its deadline, 0 if the target has none or a member of the group does not
// know the order, since its replica would lease other items by the same command.
func (d *deadlines) completionTime(group uint32, target string) time.Duration {
	p := d.components
	t := p.distribution.View().Routes[target].JobTarget.Duration()
	if t <= 0 || p.control == nil {
		return 0
	}
	if !d.decide(group).all {
		return 0
	}
	return t
}

// decide returns the last decision for a group, or a new one if that is old.
func (d *deadlines) decide(group uint32) deadlineDecision {
	p := d.components
	now := p.server.timer.Now()
	d.mu.Lock()
	last, ok := d.decided[group]
	d.mu.Unlock()
	if ok && now.Sub(last.at) < decisionInterval {
		d.count(last)
		return last
	}
	older, all := olderMember(p.control.Status(group).Members, p.gossip.Hosts(), feature.JobsByDeadline)
	n := deadlineDecision{older: older, all: all, at: now}
	d.report(group, n)
	return n
}

func (d *deadlines) count(n deadlineDecision) {
	name := "requests"
	if !n.all {
		name = "requests-in-turns-for-older-hosts"
	}
	metrics.GetOrRegisterCounter(name, d.registry).Inc(1)
}

// report counts and keeps a decision, and logs it if it is another than before.
func (d *deadlines) report(group uint32, n deadlineDecision) {
	d.count(n)
	d.mu.Lock()
	defer d.mu.Unlock()
	last, ok := d.decided[group]
	if d.decided == nil {
		d.decided = map[uint32]deadlineDecision{}
	}
	d.decided[group] = n
	if ok && last.all == n.all && last.older == n.older {
		return
	}
	d.components.server.Log.Info().Uint32("group", group).Bool("by-deadline", n.all).Str("older-host", n.older).
		Msg("order of batch items changed")
}

// olderMember reports whether all members of a group, alive or not, are known to know a feature, and names one that is not.
func olderMember(members []groupstatus.Member, hosts []gossipmessage.Host, f feature.Set) (older string, all bool) {
	known := map[string]feature.Set{}
	for _, h := range hosts {
		known[h.Name] = h.Features
	}
	for _, m := range members {
		if !known[m.Identity.Host].Has(f) {
			return m.Identity.Host, false
		}
	}
	return "", len(members) > 0
}
