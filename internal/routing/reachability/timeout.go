package reachability

import (
	"slices"
	"time"
)

// maxOverrun is how many times its limit a connection may take. The host that waits longer has stood still meanwhile.
const maxOverrun = 1.5

// TimedOut records that a connection of this host to an upstream, begun at a time, took longer than its limit, and reports
// whether the path was not lost before, and whether it is certainly lost only now. That is so where a second connection, which
// began after the loss, took too long as well: the host may have stood still over the end of one. A connection that began before
// the last one that came about says nothing.
func (t *Table) TimedOut(name string, began, now time.Time, limit time.Duration) (lost, certain bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[name]
	if p == nil || p.workedAt.After(began) {
		return false, false
	}
	lost = t.lose(name, p, now)
	stood := now.Sub(began) > time.Duration(maxOverrun*float64(limit))
	certain = !lost && !p.certain && !stood && !began.Before(p.lostAt)
	p.certain = p.certain || certain
	return lost, certain
}

// Uncertain returns the upstreams that other hosts reach and to which the path of this one is lost, though not certainly.
func (t *Table) Uncertain() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l []string
	for n, p := range t.lost {
		if p.proven && !p.certain {
			l = append(l, n)
		}
	}
	slices.Sort(l)
	return l
}
