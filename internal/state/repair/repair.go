package repair

import (
	"slices"
	"strings"
	"time"

	"siskinrun/internal/state/groupstatus"
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/memberchange"
)

// Planner plans the membership changes of one group, one at a time, so that a new leader can continue where another
// stopped.
//
// A voter is lost when its host reports another disk, when it has been silent for too long, or when its host is
// retiring. A control host that is present replaces it: it joins as a learner, catches up and becomes a voter. Only
// then is the lost voter removed.
type Planner struct {
	// Voters is the target number of voters.
	Voters int
	// MaxSilence is the silence from which a voter is lost; zero turns this rule off.
	MaxSilence time.Duration
	// MaxPromotionLag is the number of entries that a learner may lack to be promoted.
	MaxPromotionLag uint64
	// Retiring, if set, reports whether a host is to be removed as soon as another has replaced it.
	Retiring func(host string) bool
	// Domain, if set, returns the failure domain of a host, or "" if it is unknown.
	Domain func(host string) string
}

// Next returns the next change for a group in the given status at its leader; present are the control hosts that answer.
func (r *Planner) Next(s groupstatus.Status, present []identity.Identity) memberchange.Change {
	lost := r.lostVoters(s, present)
	for _, m := range s.Members {
		if !m.Voter && diskReplaced(m.Identity, present) {
			return memberchange.Change{Member: m.Identity, Remove: true}
		}
	}
	if countVoters(s) > r.Voters && len(lost) > 0 {
		return memberchange.Change{Member: lost[0], Remove: true}
	}
	if countVoters(s) < r.Voters {
		return r.advanceSpare(s, present, identity.Identity{})
	}
	if len(lost) == 0 || countVoters(s) > r.Voters {
		return memberchange.Change{}
	}
	return r.advanceSpare(s, present, lost[0])
}

// advanceSpare adds the best spare as a learner, or promotes it once it has caught up.
func (r *Planner) advanceSpare(s groupstatus.Status, present []identity.Identity, lost identity.Identity) memberchange.Change {
	l := r.rankedSpares(s, present, lost)
	if len(l) == 0 {
		return memberchange.Change{}
	}
	best := l[0]
	for _, m := range s.Members {
		if m.Identity != best {
			continue
		}
		if m.Lag > r.MaxPromotionLag {
			return memberchange.Change{}
		}
		return memberchange.Change{Member: best, Promote: true}
	}
	return memberchange.Change{Member: best, AddLearner: true}
}

// lostVoters returns the voters to replace, retiring hosts and changed disks before silent hosts.
func (r *Planner) lostVoters(s groupstatus.Status, present []identity.Identity) []identity.Identity {
	var changed, silent []identity.Identity
	for _, m := range s.Members {
		switch {
		case !m.Voter:
		case r.retiring(m.Identity.Host):
			changed = append(changed, m.Identity)
		case m.Identity == s.Self:
		case diskReplaced(m.Identity, present):
			changed = append(changed, m.Identity)
		case r.MaxSilence > 0 && m.Silence >= r.MaxSilence && !slices.Contains(present, m.Identity):
			silent = append(silent, m.Identity)
		}
	}
	return append(changed, silent...)
}

// rankedSpares returns the present identities that are no voters and whose hosts are not retiring, best first: the host
// of the lost voter, then failure domains with the fewest other voters.
func (r *Planner) rankedSpares(s groupstatus.Status, present []identity.Identity, lost identity.Identity) []identity.Identity {
	votersPerDomain := map[string]int{}
	for _, m := range s.Members {
		if m.Voter && m.Identity != lost {
			votersPerDomain[r.domain(m.Identity.Host)]++
		}
	}
	var l []identity.Identity
	for _, p := range present {
		if r.retiring(p.Host) {
			continue
		}
		if !slices.ContainsFunc(s.Members, func(m groupstatus.Member) bool { return m.Voter && m.Identity == p }) {
			l = append(l, p)
		}
	}
	slices.SortStableFunc(l, func(a, b identity.Identity) int {
		if a.Host == lost.Host || b.Host == lost.Host {
			return rank(a.Host == lost.Host) - rank(b.Host == lost.Host)
		}
		if d := votersPerDomain[r.domain(a.Host)] - votersPerDomain[r.domain(b.Host)]; d != 0 {
			return d
		}
		return strings.Compare(a.String(), b.String())
	})
	return l
}

func (r *Planner) retiring(host string) bool {
	return r.Retiring != nil && r.Retiring(host)
}

func (r *Planner) domain(host string) string {
	if r.Domain == nil {
		return ""
	}
	return r.Domain(host)
}

// rank returns the sort key that puts preferred values first.
func rank(preferred bool) int {
	if preferred {
		return 0
	}
	return 1
}

// diskReplaced reports whether the host of a member is present with another disk.
func diskReplaced(i identity.Identity, present []identity.Identity) bool {
	return slices.ContainsFunc(present, func(p identity.Identity) bool { return p.Host == i.Host && p.Disk != i.Disk })
}

func countVoters(s groupstatus.Status) int {
	n := 0
	for _, m := range s.Members {
		if m.Voter {
			n++
		}
	}
	return n
}
