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
func (p *Planner) Next(s groupstatus.Status, present []identity.Identity) memberchange.Change {
	lost := p.lostVoters(s, present)
	for _, m := range s.Members {
		if !m.Voter && diskReplaced(m.Identity, present) {
			return memberchange.Change{Member: m.Identity, Remove: true}
		}
	}
	if countVoters(s) > p.Voters && len(lost) > 0 {
		return memberchange.Change{Member: lost[0], Remove: true}
	}
	if countVoters(s) < p.Voters {
		return p.advanceSpare(s, present, identity.Identity{})
	}
	if len(lost) == 0 || countVoters(s) > p.Voters {
		return memberchange.Change{}
	}
	return p.advanceSpare(s, present, lost[0])
}

// advanceSpare adds the best spare as a learner, or promotes it once it has caught up.
func (p *Planner) advanceSpare(s groupstatus.Status, present []identity.Identity, lost identity.Identity) memberchange.Change {
	l := p.rankedSpares(s, present, lost)
	if len(l) == 0 {
		return memberchange.Change{}
	}
	best := l[0]
	for _, m := range s.Members {
		if m.Identity != best {
			continue
		}
		if m.Lag > p.MaxPromotionLag {
			return memberchange.Change{}
		}
		return memberchange.Change{Member: best, Promote: true}
	}
	return memberchange.Change{Member: best, AddLearner: true}
}

// lostVoters returns the voters to replace, retiring hosts and changed disks before silent hosts.
func (p *Planner) lostVoters(s groupstatus.Status, present []identity.Identity) []identity.Identity {
	var changed, silent []identity.Identity
	for _, m := range s.Members {
		switch {
		case !m.Voter:
		case p.retiring(m.Identity.Host):
			changed = append(changed, m.Identity)
		case m.Identity == s.Self:
		case diskReplaced(m.Identity, present):
			changed = append(changed, m.Identity)
		case p.MaxSilence > 0 && m.Silence >= p.MaxSilence && !slices.Contains(present, m.Identity):
			silent = append(silent, m.Identity)
		}
	}
	return append(changed, silent...)
}

// rankedSpares returns the present identities that are no voters and whose hosts are not retiring, best first: the host
// of the lost voter, then failure domains with the fewest other voters.
func (p *Planner) rankedSpares(s groupstatus.Status, present []identity.Identity, lost identity.Identity) []identity.Identity {
	votersPerDomain := map[string]int{}
	for _, m := range s.Members {
		if m.Voter && m.Identity != lost {
			votersPerDomain[p.domain(m.Identity.Host)]++
		}
	}
	var l []identity.Identity
	for _, i := range present {
		if p.retiring(i.Host) {
			continue
		}
		if !slices.ContainsFunc(s.Members, func(m groupstatus.Member) bool { return m.Voter && m.Identity == i }) {
			l = append(l, i)
		}
	}
	slices.SortStableFunc(l, func(a, b identity.Identity) int {
		if a.Host == lost.Host || b.Host == lost.Host {
			return rank(a.Host == lost.Host) - rank(b.Host == lost.Host)
		}
		if d := votersPerDomain[p.domain(a.Host)] - votersPerDomain[p.domain(b.Host)]; d != 0 {
			return d
		}
		return strings.Compare(a.String(), b.String())
	})
	return l
}

func (p *Planner) retiring(host string) bool {
	return p.Retiring != nil && p.Retiring(host)
}

func (p *Planner) domain(host string) string {
	if p.Domain == nil {
		return ""
	}
	return p.Domain(host)
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
