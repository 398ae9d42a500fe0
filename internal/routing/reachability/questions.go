package reachability

import (
	"maps"
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

// Questions returns the upstreams about which other hosts are asked now: all lost ones, if one is new or it is time, and those in
// doubt, if there are several. One connection that takes long says little.
func (t *Table) Questions(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.askedAt.Add(askSpacing)) {
		return nil
	}
	doubted := t.doubted(now)
	due := len(t.lost) > 0 && !now.Before(t.askAt) || len(t.lost)+len(doubted) >= minSuspicious && len(doubted) > 0
	for _, p := range t.lost {
		due = due || !p.asked
	}
	if !due {
		return nil
	}
	t.news = false
	l := append(slices.Collect(maps.Keys(t.lost)), doubted...)
	slices.Sort(l)
	return l
}

// Asked records that other hosts were asked about upstreams. They are asked again at once if one has had links again meanwhile,
// soon if they reach more of the lost ones than before, and else, where they do not reach all of them, later and later. It returns
// the time until then, if it is short.
func (t *Table) Asked(names []string, now time.Time) (soon time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.askedAt = now
	found, missing := t.noteAsked(names, now)
	more := found > t.found
	t.found = found
	switch {
	case missing > 0 && t.news:
		t.askedAt, t.askAt = time.Time{}, now
		return 0, true
	case missing > 0 && more:
		t.askAt, t.askDelay = now.Add(askSpacing), minAskDelay
		return askSpacing, true
	case missing > 0 || found == 0:
		t.askAt = now.Add(t.askDelay)
		t.askDelay = min(2*t.askDelay, refreshDelay)
	default:
		t.askAt, t.askDelay = now.Add(refreshDelay), minAskDelay
	}
	return 0, false
}

// noteAsked marks the lost paths to some upstreams as asked about, and returns to how many of them a gateway is known and to how
// many none is.
func (t *Table) noteAsked(names []string, now time.Time) (found, missing int) {
	for _, n := range names {
		p := t.lost[n]
		if p == nil {
			continue
		}
		p.expire(now)
		p.asked = true
		if len(p.gateways) > 0 {
			found++
		} else {
			missing++
		}
	}
	return found, missing
}

// Search reports whether many hosts may be asked now, which is so once in a while.
func (t *Table) Search(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.searchedAt.IsZero() && now.Before(t.searchedAt.Add(searchSpacing)) {
		return false
	}
	t.searchedAt = now
	return true
}

// Regained records that a host that had no links to upstreams says that it has some again.
func (t *Table) Regained(host string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.gateway(host)
	g.avoidUntil, g.newsAt = time.Time{}, now
	t.askAt = now
	t.news = true
	if t.lacksGateway() {
		t.askedAt = time.Time{}
	}
}

// lacksGateway reports whether a path is lost to which no gateway is known.
func (t *Table) lacksGateway() bool {
	for _, p := range t.lost {
		if len(p.gateways) == 0 {
			return true
		}
	}
	return false
}

// Open reports whether it is an open question which other hosts reach an upstream that this one does not.
func (t *Table) Open(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[name]
	return p != nil && !p.asked
}

// Candidates returns up to n hosts to ask for paths, without those that were asked: known gateways and hosts that have links
// again, then half of the others from the own failure domain. Hosts that were of no use lately come last, and of equal ones those
// that were candidates last.
func (t *Table) Candidates(n int, referred, asked []string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	serving := t.serving()
	var known, local, remote, avoided []string
	for h, d := range t.domains {
		switch {
		case slices.Contains(asked, h):
		case t.gateway(h).told(now):
			known = append(known, h)
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
		t.orderByTurn(l)
	}
	l := known[:min(len(known), n)]
	half := (n - len(l) + 1) / 2
	l = append(l, local[:min(len(local), half)]...)
	l = append(l, remote[:min(len(remote), n-len(l))]...)
	rest := local[min(len(local), half):]
	l = append(l, rest[:min(len(rest), n-len(l))]...)
	l = append(l, avoided[:min(len(avoided), n-len(l))]...)
	for _, h := range l {
		t.gateway(h).candidateAt = now
	}
	return l
}

// orderByTurn orders hosts by when they were last candidates, so that each is asked in turn, and at random where that is equal.
func (t *Table) orderByTurn(l []string) {
	slices.Sort(l)
	t.random.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	slices.SortStableFunc(l, func(a, b string) int { return t.gateway(a).candidateAt.Compare(t.gateway(b).candidateAt) })
}
