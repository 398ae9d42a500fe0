package ledger

import (
	"cmp"
	"slices"
	"time"
)

const (
	// turn is how many items a team gets before the next team's turn.
	turn = 8
	// retryPause is the time between a failed attempt and the next.
	retryPause = time.Second
	// lostPause is the time between an attempt that got no answer and the next.
	lostPause = 100 * time.Millisecond
)

// queue holds the jobs of one target, teams taking turns.
type queue struct {
	lines []*line
}

// line holds the jobs of one team in the order of their acceptance.
type line struct {
	team string
	jobs []*work
}

// deferral is an item that waits for its next attempt.
type deferral struct {
	work  *work
	index uint32
	at    int64
}

// enqueue puts a job with ready items into the queue of its target.
func (l *Ledger) enqueue(w *work) {
	if w.queued {
		return
	}
	w.queued = true
	q := l.queues[w.facts.Target]
	if q == nil {
		q = &queue{}
		l.queues[w.facts.Target] = q
	}
	n := q.line(w.facts.Team)
	n.jobs = append(n.jobs, w)
}

func (q *queue) line(team string) *line {
	for _, n := range q.lines {
		if n.team == team {
			return n
		}
	}
	n := &line{team: team}
	q.lines = append(q.lines, n)
	return n
}

// head returns the first job with a ready item, dropping those without.
func (n *line) head() *work {
	for len(n.jobs) > 0 {
		w := n.jobs[0]
		if w.ready() {
			return w
		}
		w.queued = false
		n.jobs = n.jobs[1:]
	}
	return nil
}

// head returns the first job of the team whose turn it is, dropping teams without.
func (q *queue) head() *work {
	for len(q.lines) > 0 {
		if w := q.lines[0].head(); w != nil {
			return w
		}
		q.lines = q.lines[1:]
	}
	return nil
}

// rotate ends the turn of the first team.
func (q *queue) rotate() {
	q.lines = append(q.lines[1:], q.lines[0])
}

// deferItem makes an item ready after a pause.
func (l *Ledger) deferItem(w *work, i uint32, pause time.Duration) {
	d := deferral{work: w, index: i, at: l.now + int64(pause)}
	n, _ := slices.BinarySearchFunc(l.deferred, d.at+1, func(o deferral, at int64) int { return cmp.Compare(o.at, at) })
	l.deferred = slices.Insert(l.deferred, n, d)
}

// release makes the deferred items ready whose time has come.
func (l *Ledger) release() {
	n := 0
	for n < len(l.deferred) && l.deferred[n].at <= l.now {
		d := l.deferred[n]
		l.giveBack(d.work, d.index)
		n++
	}
	l.deferred = l.deferred[n:]
}

// giveBack makes an item ready again.
func (l *Ledger) giveBack(w *work, i uint32) {
	if w.facts.State != jobRunning {
		return
	}
	w.returned = append(w.returned, i)
	l.enqueue(w)
}
