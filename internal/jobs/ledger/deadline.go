package ledger

import (
	"cmp"
	"maps"
	"slices"

	"siskinrun/internal/jobs/entry"
)

const (
	// overdueInterval is the number of leased items of which one goes to an overdue job while one waits, so that overdue jobs
	// end before their window closes.
	overdueInterval = 8
	// overloadDivisor is the part of the completion time after which a job with items that were never leased shows that the
	// backlog cannot be done in time. The rest of the time must do for the turns of the teams and the runs.
	overloadDivisor = 2
)

// deadlineOrder is the order in which one command leases the items of a target. It follows from the command, the jobs and
// the order of the teams in the queue, all of which snapshots of older builds hold too.
type deadlineOrder struct {
	queue *queue
	// punctual and overdue are the ready jobs of each team before and past their deadlines, the earliest deadline first.
	punctual map[*teamQueue][]*job
	overdue  map[*teamQueue][]*job
	// overloaded says that the backlog of jobs before their deadlines cannot be done in time.
	overloaded bool
}

// leaseByDeadline leases up to count items of a target, those of the job with the earliest deadline first. While the backlog
// cannot be done in time, teams take turns of one item.
func (l *Ledger) leaseByDeadline(s *session, w *entry.Want, count int) {
	q := l.queues[w.Target]
	if q == nil {
		return
	}
	q.prune()
	o := newDeadlineOrder(q, l.now, w.CompletionNanoseconds)
	for i := range uint64(count) {
		n := w.Starts + i
		j := o.next(n%overdueInterval == overdueInterval-1, n/overdueInterval)
		if j == nil {
			break
		}
		l.leaseItem(s, j, j.nextItem())
	}
	q.prune()
	if len(q.teams) == 0 {
		delete(l.queues, w.Target)
	}
}

// prune removes the jobs without ready items and the teams without jobs.
func (q *queue) prune() {
	q.teams = slices.DeleteFunc(q.teams, func(n *teamQueue) bool {
		n.jobs = slices.DeleteFunc(n.jobs, func(w *job) bool {
			w.queued = w.ready()
			return !w.queued
		})
		return len(n.jobs) == 0
	})
}

func newDeadlineOrder(q *queue, now, completion int64) *deadlineOrder {
	o := &deadlineOrder{queue: q, punctual: map[*teamQueue][]*job{}, overdue: map[*teamQueue][]*job{}}
	for _, n := range q.teams {
		for _, w := range n.jobs {
			age := now - w.info.Created
			if age > completion {
				o.overdue[n] = append(o.overdue[n], w)
				continue
			}
			o.punctual[n] = append(o.punctual[n], w)
			// Items that ran before and were preempted say nothing about the backlog.
			o.overloaded = o.overloaded || w.info.Next < w.info.Total && age > completion/overloadDivisor
		}
		slices.SortStableFunc(o.punctual[n], compareCreated)
		slices.SortStableFunc(o.overdue[n], compareCreated)
	}
	return o
}

func compareCreated(a, b *job) int {
	return cmp.Compare(a.info.Created, b.info.Created)
}

// next returns the job whose item is leased next, nil if there is none, and moves its team to the end of the queue. The turn chooses
// the team of an overdue job that goes first: the order of the queue would pass over a team that has other jobs as well.
func (o *deadlineOrder) next(overdueFirst bool, turn uint64) *job {
	var w *job
	if overdueFirst {
		w = o.takeOverdue(turn)
	}
	if w == nil {
		w = o.take(o.punctual, o.overloaded)
	}
	if w == nil {
		w = o.take(o.overdue, true)
	}
	return w
}

// takeOverdue returns the first overdue job of the team whose turn it is, in the order of the teams' names.
func (o *deadlineOrder) takeOverdue(turn uint64) *job {
	first := map[string]*job{}
	for n, l := range o.overdue {
		for len(l) > 0 && !l[0].ready() {
			l = l[1:]
		}
		o.overdue[n] = l
		if len(l) > 0 {
			first[n.team] = l[0]
		}
	}
	if len(first) == 0 {
		return nil
	}
	teams := slices.Sorted(maps.Keys(first))
	return first[teams[turn%uint64(len(teams))]]
}

// take returns the first of the jobs with the earliest deadline, or by turns the first job of the first team that has one.
func (o *deadlineOrder) take(jobs map[*teamQueue][]*job, byTurns bool) *job {
	best := -1
	var found *job
	for i, n := range o.queue.teams {
		l := jobs[n]
		for len(l) > 0 && !l[0].ready() {
			l = l[1:]
		}
		jobs[n] = l
		if len(l) > 0 && (found == nil || l[0].info.Created < found.info.Created) {
			best, found = i, l[0]
		}
		if found != nil && byTurns {
			break
		}
	}
	if found != nil {
		o.queue.moveToEnd(best)
	}
	return found
}

// moveToEnd moves a team to the end of the queue.
func (q *queue) moveToEnd(i int) {
	n := q.teams[i]
	q.teams = append(slices.Delete(q.teams, i, i+1), n)
}
