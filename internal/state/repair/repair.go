package repair

import (
	"slices"
	"strings"
	"time"

	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/memberchange"
	"siskinrun/internal/state/standing"
)

// Repair plans the changes of one group, one at a time, so that any leader can go on where another stopped.
//
// A voter is lost when its host shows another disk, or when it was silent for too long. It is
// replaced by a control host that is present: learner, caught up, voter; only then the lost one goes.
type Repair struct {
	// Voters is the number of voters that the group should have.
	Voters int
	// Silence is how long a voter may be silent, or zero if only changed disks count.
	Silence time.Duration
	// CaughtUp is the number of entries that a learner may lack when it is promoted.
	CaughtUp uint64
	// Retiring, if set, reports whether a host gives up its place as soon as another has taken it.
	Retiring func(host string) bool
	// Domain returns the failure domain of a host, empty if unknown.
	Domain func(host string) string
}

// Next returns the next step for a group as its leader sees it, given the disks of the control hosts that answer.
func (r *Repair) Next(s standing.Standing, present []identity.Identity) memberchange.Change {
	lost := r.lost(s, present)
	for _, m := range s.Members {
		if !m.Voter && replaced(m.Identity, present) {
			return memberchange.Change{Member: m.Identity, Remove: true}
		}
	}
	if voters(s) > r.Voters && len(lost) > 0 {
		return memberchange.Change{Member: lost[0], Remove: true}
	}
	if voters(s) < r.Voters {
		return r.add(s, present, identity.Identity{})
	}
	if len(lost) == 0 || voters(s) > r.Voters {
		return memberchange.Change{}
	}
	return r.add(s, present, lost[0])
}

// add brings the best spare one step nearer to its vote.
func (r *Repair) add(s standing.Standing, present []identity.Identity, lost identity.Identity) memberchange.Change {
	l := r.spares(s, present, lost)
	if len(l) == 0 {
		return memberchange.Change{}
	}
	best := l[0]
	for _, m := range s.Members {
		if m.Identity != best {
			continue
		}
		if m.Lag > r.CaughtUp {
			return memberchange.Change{}
		}
		return memberchange.Change{Member: best, Promote: true}
	}
	return memberchange.Change{Member: best, AddLearner: true}
}

// lost returns the voters that must be replaced, those with changed disks first.
func (r *Repair) lost(s standing.Standing, present []identity.Identity) []identity.Identity {
	var changed, silent []identity.Identity
	for _, m := range s.Members {
		switch {
		case !m.Voter:
		case r.retires(m.Identity.Host):
			changed = append(changed, m.Identity)
		case m.Identity == s.Self:
		case replaced(m.Identity, present):
			changed = append(changed, m.Identity)
		case r.Silence > 0 && m.Silence >= r.Silence && !slices.Contains(present, m.Identity):
			silent = append(silent, m.Identity)
		}
	}
	return append(changed, silent...)
}

// spares returns the present disks without a vote, the one that fits the lost voter best first.
func (r *Repair) spares(s standing.Standing, present []identity.Identity, lost identity.Identity) []identity.Identity {
	taken := map[string]int{}
	for _, m := range s.Members {
		if m.Voter && m.Identity != lost {
			taken[r.domain(m.Identity.Host)]++
		}
	}
	var l []identity.Identity
	for _, p := range present {
		if r.retires(p.Host) {
			continue
		}
		if !slices.ContainsFunc(s.Members, func(m standing.Member) bool { return m.Voter && m.Identity == p }) {
			l = append(l, p)
		}
	}
	slices.SortStableFunc(l, func(a, b identity.Identity) int {
		if a.Host == lost.Host || b.Host == lost.Host {
			return rank(a.Host == lost.Host) - rank(b.Host == lost.Host)
		}
		if d := taken[r.domain(a.Host)] - taken[r.domain(b.Host)]; d != 0 {
			return d
		}
		return strings.Compare(a.String(), b.String())
	})
	return l
}

func (r *Repair) retires(host string) bool {
	return r.Retiring != nil && r.Retiring(host)
}

func (r *Repair) domain(host string) string {
	if r.Domain == nil {
		return ""
	}
	return r.Domain(host)
}

// rank sorts what is preferred first.
func rank(preferred bool) int {
	if preferred {
		return 0
	}
	return 1
}

// replaced reports whether the host of a member shows another disk.
func replaced(i identity.Identity, present []identity.Identity) bool {
	return slices.ContainsFunc(present, func(p identity.Identity) bool { return p.Host == i.Host && p.Disk != i.Disk })
}

func voters(s standing.Standing) int {
	n := 0
	for _, m := range s.Members {
		if m.Voter {
			n++
		}
	}
	return n
}
