package ledger

import (
	"bytes"
	"math"

	"google.golang.org/protobuf/proto"

	"siskinrun/internal/jobs/entry"
)

// States of an item.
const (
	waiting uint8 = iota
	leased
	completed
	failed
	mayHaveRun
	cancelled
)

// States of a job.
const (
	jobRunning uint32 = iota
	jobCancelling
	jobCancelled
	jobCompleted
	jobExpired
)

const (
	// maxItems is the most items of a job.
	maxItems = 1_000_000
	// defaultAttempts bounds the failed attempts at an item.
	defaultAttempts = 5
	// maxLapses bounds the leases of an item that ended without a word of their holder.
	maxLapses = 20
)

// slot is the state of one item.
type slot struct {
	offset   int64
	length   uint32
	state    uint8
	attempts uint8
	lapses   uint8
	// sent is 1 once an attempt may have reached an upstream.
	sent uint8
}

// work is a job with its items.
type work struct {
	facts    *entry.Job
	file     *file
	slots    []slot
	returned []uint32
	// queued says that the job stands in the queue of its target.
	queued bool
	// inline is set where the items came with the job.
	inline *inline
}

func (w *work) name() string {
	return resultPrefix + w.facts.Id
}

// ready reports whether an item may be leased now.
func (w *work) ready() bool {
	return w.facts.State == jobRunning && (len(w.returned) > 0 || w.facts.Next < w.facts.Total)
}

// pop removes the next item to lease.
func (w *work) pop() uint32 {
	if n := len(w.returned); n > 0 {
		i := w.returned[0]
		w.returned = w.returned[1:]
		return i
	}
	i := w.facts.Next
	w.facts.Next++
	return i
}

// ended returns the number of items with a recorded end.
func (w *work) ended() uint32 {
	j := w.facts
	return j.Completed + j.Failed + j.MayHaveRun + j.Cancelled
}

func (l *Ledger) reserve(r *entry.Reserve) *entry.Answer {
	k := owner{r.Team, r.Key}
	e := l.keys[k]
	if e != nil && (e.Until <= l.now || e.Job == r.Replaces) {
		e = nil
	}
	if e != nil && !bytes.Equal(e.Content, r.Content) {
		return refused(409, "key-conflict", "the idempotency key was used for another job")
	}
	if e == nil {
		e = &entry.Key{
			Team:    r.Team,
			Key:     r.Key,
			Content: r.Content,
			Job:     r.Job,
			File:    r.File,
			Until:   l.now + r.KeepNanoseconds,
		}
		l.keys[k] = e
	}
	return &entry.Answer{Reserved: &entry.Reserved{Job: e.Job, File: e.File}}
}

func (l *Ledger) accept(a *entry.Accept) *entry.Answer {
	if w := l.jobs[a.Job]; w != nil {
		return &entry.Answer{Job: w.view()}
	}
	if !validID(a.Job) {
		return badID()
	}
	f := l.files[a.File]
	if f == nil || f.facts.Hidden || f.facts.Team != a.Team {
		return noFile()
	}
	if !f.facts.Sealed || len(f.starts) == 0 || len(f.starts) > maxItems {
		return refused(400, "unusable-file", "the file holds no items or too many")
	}
	if a.Limit > 0 && l.used[a.Team]+a.Elsewhere >= a.Limit {
		return overQuota()
	}
	w := newWork(a, f, l.now)
	must(l.Storage.Create(w.name()))
	f.facts.Uses++
	l.jobs[a.Job] = w
	l.owned[a.Team] = append(l.owned[a.Team], a.Job)
	l.enqueue(w)
	return &entry.Answer{Job: w.view()}
}

func newWork(a *entry.Accept, f *file, now int64) *work {
	j := &entry.Job{
		Id:              a.Job,
		Team:            a.Team,
		File:            a.File,
		Endpoint:        a.Endpoint,
		Target:          a.Target,
		Repeatable:      a.Repeatable,
		Total:           uint32(len(f.starts)),
		Created:         now,
		Deadline:        now + a.WindowNanoseconds,
		KeepNanoseconds: a.KeepNanoseconds,
		Attempts:        min(a.Attempts, math.MaxUint8),
		Metadata:        a.Metadata,
	}
	if j.Attempts == 0 {
		j.Attempts = defaultAttempts
	}
	return &work{facts: j, file: f, slots: make([]slot, len(f.starts))}
}

func (w *work) view() *entry.Job {
	return proto.Clone(w.facts).(*entry.Job)
}

// settle ends a job that has nothing left to do.
func (l *Ledger) settle(w *work) {
	j := w.facts
	switch {
	case j.Leased > 0:
		return
	case j.State == jobRunning && w.ended() == j.Total:
		j.State = jobCompleted
	case j.State == jobCancelling && j.Expired:
		j.State = jobExpired
	case j.State == jobCancelling:
		j.State = jobCancelled
	default:
		return
	}
	if w.inline != nil && j.State == jobExpired {
		l.giveUp(w)
	}
	j.Cancelled = j.Total - j.Completed - j.Failed - j.MayHaveRun
	j.Finished = l.now
	w.returned = nil
}

// dropJob deletes a job with its results.
func (l *Ledger) dropJob(w *work) {
	j := w.facts
	must(l.Storage.Remove(w.name()))
	delete(l.jobs, j.Id)
	l.uncount(w)
	l.disown(j.Team, j.Id)
	l.use(j.Team, -j.ResultBytes)
	w.file.facts.Uses--
	l.dropHidden(w.file)
}

func (l *Ledger) disown(team, id string) {
	o := l.owned[team]
	for i := range o {
		if o[i] == id {
			l.owned[team] = append(o[:i:i], o[i+1:]...)
			break
		}
	}
	if len(l.owned[team]) == 0 {
		delete(l.owned, team)
	}
}
