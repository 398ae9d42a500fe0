package reachability

import (
	"maps"
	"slices"
	"time"
)

// path is what is known of the path to one upstream.
type path struct {
	service string
	address string
	// lost means that the last connection by this host itself failed.
	lost bool
	// workedAt and failedAt are when a connection by this host itself last came about or failed.
	workedAt, failedAt time.Time
	// gateways holds when each host last said that it reaches the upstream.
	gateways map[string]time.Time
	// doubtedAt is when a connection last took long.
	doubtedAt time.Time
	// asked says that other hosts were asked since the path was lost, and proven that one of them has connected to the upstream.
	asked, proven bool
	// lostAt is when the path was lost, and certain says that it was not for a pause of this host.
	lostAt  time.Time
	certain bool
}

// Worked records a connection of this host to an upstream, and reports whether the path was lost before.
func (t *Table) Worked(name string, now time.Time) (regained bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[name]
	if p == nil {
		return false
	}
	regained = p.lost
	p.lost, p.asked, p.proven, p.certain = false, false, false, false
	p.workedAt, t.linkedAt = now, now
	delete(t.lost, name)
	delete(t.doubtful, name)
	if len(t.lost) == 0 {
		t.askDelay, t.searchedAt, t.found = minAskDelay, time.Time{}, 0
	}
	t.updateTroubled()
	clear(p.gateways)
	return regained
}

// Failed records that a connection of this host to an upstream failed, and reports whether the path was not lost before.
func (t *Table) Failed(name string, now time.Time) (lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[name]
	if p == nil {
		return false
	}
	lost = t.lose(name, p, now)
	p.certain = true
	return lost
}

// lose records that a path is lost, and reports whether it was not before. The caller holds the lock.
func (t *Table) lose(name string, p *path, now time.Time) bool {
	p.failedAt = now
	if p.lost {
		return false
	}
	p.lost = true
	t.lost[name] = p
	delete(t.doubtful, name)
	t.updateTroubled()
	t.troubledAt = now
	p.lostAt = now
	p.asked, p.proven, p.certain = false, false, false
	return true
}

// Doubt records that a connection of this host to an upstream takes long.
func (t *Table) Doubt(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.paths[name]; p != nil && !p.lost {
		p.doubtedAt = now
		t.doubtful[name] = p
		t.updateTroubled()
		t.troubledAt = now
	}
}

// Doubted returns the upstreams to which a connection took long moments ago and none has come about since, if there are several.
func (t *Table) Doubted(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.doubted(now); len(l) >= minSuspicious {
		return l
	}
	return nil
}

func (t *Table) doubted(now time.Time) []string {
	maps.DeleteFunc(t.doubtful, func(_ string, p *path) bool { return !p.doubted(now) })
	t.updateTroubled()
	return slices.Sorted(maps.Keys(t.doubtful))
}

// Suspect reports whether the path to an upstream may be lost like others: some were lost or came in doubt moments ago, which
// other hosts reach, and no connection has come about to this one since.
func (t *Table) Suspect(name string, now time.Time) bool {
	if !t.troubled.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[name]
	if p == nil || !t.fresh(now) || p.workedAt.After(t.troubledAt) {
		return false
	}
	n := 0
	for _, m := range []map[string]*path{t.lost, t.doubtful} {
		for _, o := range m {
			if len(o.gateways) > 0 {
				n++
			}
		}
	}
	return n >= minSuspicious
}

// Fresh reports whether a path was lost or came in doubt moments ago.
func (t *Table) Fresh(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fresh(now)
}

// Refuted records that a connection that was tried for another host failed, which does not lose the path of this one.
func (t *Table) Refuted(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.paths[name]; p != nil {
		p.failedAt = now
	}
}

// Direct reports whether this host connects to an upstream by itself.
func (t *Table) Direct(name string) bool {
	if !t.troubled.Load() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[name]
	return p == nil || !p.lost
}

// Proof tells whether this host reaches an upstream by itself, and whether it knows that from the last moments.
func (t *Table) Proof(name string, now time.Time) (reached, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[name]
	switch {
	case p == nil:
		return false, true
	case p.failedAt.After(p.workedAt) && (p.lost || now.Sub(p.failedAt) < proofTTL):
		return false, true
	case p.workedAt.IsZero() || now.Sub(p.workedAt) >= proofTTL:
		return false, false
	}
	return true, true
}

// Denied reports whether a connection of this host to an upstream failed and none has come about since.
func (t *Table) Denied(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[name]
	return p == nil || p.lost || p.failedAt.After(p.workedAt)
}

// Lost returns the upstreams that this host does not reach by itself, in order.
func (t *Table) Lost() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.lost))
}

// Unproven returns up to n random upstreams that this host has not connected to since a time and does not hold for lost.
func (t *Table) Unproven(since time.Time, n int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l []string
	for name, p := range t.paths {
		if !p.lost && p.workedAt.Before(since) {
			l = append(l, name)
		}
	}
	slices.Sort(l)
	t.random.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l[:min(n, len(l))]
}

// Linked reports whether this host has connected to some upstream moments ago.
func (t *Table) Linked(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.linked(now)
}

func (t *Table) linked(now time.Time) bool {
	return !t.linkedAt.IsZero() && now.Sub(t.linkedAt) < proofTTL
}

// fresh reports whether a path was lost or came in doubt moments ago.
func (t *Table) fresh(now time.Time) bool {
	return !t.troubledAt.IsZero() && now.Sub(t.troubledAt) < freshTime
}

// doubted reports whether a connection took long moments ago.
func (p *path) doubted(now time.Time) bool {
	return now.Sub(p.doubtedAt) < doubtTTL
}

// expire forgets the gateways that have not said for long that they reach the upstream.
func (p *path) expire(now time.Time) {
	for h, at := range p.gateways {
		if now.Sub(at) > gatewayTTL {
			delete(p.gateways, h)
		}
	}
}
