package reachability

import (
	"slices"
	"time"
)

// Unanswered reports whether no gateway is known to any of some upstreams.
func (t *Table) Unanswered(names []string, now time.Time) bool {
	for _, n := range names {
		if len(t.Gateways(n, now)) > 0 {
			return false
		}
	}
	return true
}

// Questions returns the upstreams about which other hosts are asked now: lost ones, and those in doubt.
func (t *Table) Questions(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l []string
	for n, p := range t.lost {
		if !now.Before(p.askAt) {
			l = append(l, n)
		}
	}
	for n, p := range t.doubtful {
		if p.doubted(now) {
			l = append(l, n)
		}
	}
	slices.Sort(l)
	return l
}

// Asked records that other hosts were asked about upstreams. Where none reaches one, they are asked again later and later.
func (t *Table) Asked(names []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range names {
		p := t.paths[n]
		if p == nil || !p.lost {
			continue
		}
		p.expire(now)
		p.asked = true
		if len(p.gateways) > 0 {
			p.askAt, p.askDelay = now.Add(refreshDelay), minAskDelay
			continue
		}
		p.askAt = now.Add(p.askDelay)
		p.askDelay = min(2*p.askDelay, maxAskDelay)
	}
}

// Open reports whether it is an open question which other hosts reach an upstream that this one does not.
func (t *Table) Open(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[name]
	return p != nil && !p.asked
}

// Candidates returns up to n hosts to ask for paths, without those that were asked: known gateways, then half of the others
// from the own failure domain. Hosts that were of no use lately come last.
func (t *Table) Candidates(n int, referred, asked []string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	serving := t.serving()
	var known, local, remote, avoided []string
	for h, d := range t.domains {
		switch {
		case slices.Contains(asked, h):
		case now.Before(t.gateway(h).avoidUntil):
			avoided = append(avoided, h)
		case serving[h] || slices.Contains(referred, h):
			known = append(known, h)
		case d == t.FailureDomain:
			local = append(local, h)
		default:
			remote = append(remote, h)
		}
	}
	for _, l := range [][]string{known, local, remote, avoided} {
		slices.Sort(l)
		t.random.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	}
	l := known[:min(len(known), n)]
	half := (n - len(l) + 1) / 2
	l = append(l, local[:min(len(local), half)]...)
	l = append(l, remote[:min(len(remote), n-len(l))]...)
	rest := local[min(len(local), half):]
	l = append(l, rest[:min(len(rest), n-len(l))]...)
	return append(l, avoided[:min(len(avoided), n-len(l))]...)
}
