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
	// older is the member of each group for which the order was last withheld, empty if it is in force.
	older map[uint32]string
}

// completionTime returns the time from a job's creation to its deadline, 0 if the target has none or a member of the group does not
// know the order, since its replica would lease other items by the same command.
func (d *deadlines) completionTime(group uint32, target string) time.Duration {
	p := d.components
	t := p.distribution.View().Routes[target].JobTarget.Duration()
	if t <= 0 || p.control == nil {
		return 0
	}
	older, all := olderMember(p.control.Status(group).Members, p.gossip.Hosts(), feature.JobsByDeadline)
	d.report(group, older, all)
	if !all {
		return 0
	}
	return t
}

// report counts a decision and logs it if it is another than before.
func (d *deadlines) report(group uint32, older string, all bool) {
	name := "requests"
	if !all {
		name = "requests-in-turns-for-older-hosts"
	}
	metrics.GetOrRegisterCounter(name, d.registry).Inc(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	last, ok := d.older[group]
	if ok && last == older {
		return
	}
	if d.older == nil {
		d.older = map[uint32]string{}
	}
	d.older[group] = older
	d.components.server.Log.Info().Uint32("group", group).Bool("by-deadline", all).Str("older-host", older).
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
