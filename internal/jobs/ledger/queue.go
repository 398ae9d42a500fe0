package ledger

import (
	"cmp"
	"slices"
	"time"
)

const (
	// itemsPerTurn is the number of items that a team gets before the next team has its turn.
	itemsPerTurn = 8
	// retryDelay is the delay before the next attempt after a failed one.
	retryDelay = time.Second
	// noAnswerDelay is the delay before the next attempt after one without an answer.
	noAnswerDelay = 100 * time.Millisecond
)

// queue holds the jobs of one target and serves the teams in round-robin order.
type queue struct {
	teams []*teamQueue
}

// teamQueue holds the jobs of one team in the order in which they were queued.
type teamQueue struct {
	team string
	jobs []*job
}

// deferredItem is an item that waits until its next attempt is due.
type deferredItem struct {
	job   *job
	index uint32
	at    int64
}

// enqueue puts a job with ready items into the queue of its target.
func (l *Ledger) enqueue(w *job) {
	if w.queued {
		return
	}
	w.queued = true
	q := l.queues[w.info.Target]
	if q == nil {
		q = &queue{}
		l.queues[w.info.Target] = q
	}
	n := q.ensureTeam(w.info.Team)
	n.jobs = append(n.jobs, w)
}

// ensureTeam returns the queue of a team and adds it if there is none.
func (q *queue) ensureTeam(team string) *teamQueue {
	for _, n := range q.teams {
		if n.team == team {
			return n
		}
	}
	n := &teamQueue{team: team}
	q.teams = append(q.teams, n)
	return n
}

// head returns the first job with a ready item and removes the jobs before it.
func (n *teamQueue) head() *job {
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

// head returns the next job of the team whose turn it is and removes teams without ready items.
func (q *queue) head() *job {
	for len(q.teams) > 0 {
		if w := q.teams[0].head(); w != nil {
			return w
		}
		q.teams = q.teams[1:]
	}
	return nil
}

// rotate moves the first team to the end.
func (q *queue) rotate() {
	q.teams = append(q.teams[1:], q.teams[0])
}

// deferItem makes an item ready after a delay.
func (l *Ledger) deferItem(w *job, i uint32, delay time.Duration) {
	d := deferredItem{job: w, index: i, at: l.now + int64(delay)}
	n, _ := slices.BinarySearchFunc(l.deferred, d.at+1, func(o deferredItem, at int64) int { return cmp.Compare(o.at, at) })
	l.deferred = slices.Insert(l.deferred, n, d)
}

// releaseDeferred requeues the deferred items whose delay has passed.
func (l *Ledger) releaseDeferred() {
	n := 0
	for n < len(l.deferred) && l.deferred[n].at <= l.now {
		d := l.deferred[n]
		l.requeue(d.job, d.index)
		n++
	}
	l.deferred = l.deferred[n:]
}

// requeue makes an item ready again.
func (l *Ledger) requeue(w *job, i uint32) {
	if w.info.State != jobRunning {
		return
	}
	w.returned = append(w.returned, i)
	l.enqueue(w)
}
