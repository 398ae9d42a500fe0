package ledger

import (
	"bytes"
	"math"

	"google.golang.org/protobuf/proto"

	"siskinrun/internal/jobs/entry"
)

// States of an item.
const (
	itemWaiting uint8 = iota
	itemLeased
	itemCompleted
	itemFailed
	itemMayHaveRun
	itemCancelled
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
	// maxItems is the maximum number of items of a job.
	maxItems = 1_000_000
	// defaultAttempts is the default limit of failed attempts at an item.
	defaultAttempts = 5
	// maxExpiries bounds the leases of an item that expire without an outcome.
	maxExpiries = 20
)

// item holds the state of one item and the position of its result.
type item struct {
	offset   int64
	length   uint32
	state    uint8
	attempts uint8
	expiries uint8
	// sent is 1 once an attempt may have reached an upstream.
	sent uint8
}

// job holds a job and the state of its items.
type job struct {
	info  *entry.Job
	file  *file
	items []item
	// returned are the items that are ready again after a lease.
	returned []uint32
	// queued says that the job is in the queue of its target.
	queued bool
	// inline is set for inline jobs only.
	inline *inlineItems
}

func (w *job) name() string {
	return resultPrefix + w.info.Id
}

// ready reports whether an item may be leased now.
func (w *job) ready() bool {
	return w.info.State == jobRunning && (len(w.returned) > 0 || w.info.Next < w.info.Total)
}

// nextItem removes and returns the next item to lease, with returned ones first.
func (w *job) nextItem() uint32 {
	if n := len(w.returned); n > 0 {
		i := w.returned[0]
		w.returned = w.returned[1:]
		return i
	}
	i := w.info.Next
	w.info.Next++
	return i
}

// endedItems returns the number of items with a recorded result.
func (w *job) endedItems() uint32 {
	j := w.info
	return j.Completed + j.Failed + j.MayHaveRun + j.Cancelled
}

func (l *Ledger) reserve(r *entry.Reserve) *entry.Answer {
	k := teamKey{r.Team, r.Key}
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
		return invalidID()
	}
	f := l.files[a.File]
	if f == nil || f.info.Hidden || f.info.Team != a.Team {
		return noSuchFile()
	}
	if !f.info.Sealed || len(f.lineStarts) == 0 || len(f.lineStarts) > maxItems {
		return refused(400, "unusable-file", "the file is not sealed, holds no items or holds more than 1,000,000")
	}
	if a.Limit > 0 && l.storedBytes[a.Team]+a.Elsewhere >= a.Limit {
		return overQuota()
	}
	w := newJob(a, f, l.now)
	must(l.Storage.Create(w.name()))
	f.info.Uses++
	l.jobs[a.Job] = w
	l.jobsByTeam[a.Team] = append(l.jobsByTeam[a.Team], a.Job)
	l.enqueue(w)
	return &entry.Answer{Job: w.view()}
}

func newJob(a *entry.Accept, f *file, now int64) *job {
	j := &entry.Job{
		Id:              a.Job,
		Team:            a.Team,
		File:            a.File,
		Endpoint:        a.Endpoint,
		Target:          a.Target,
		Repeatable:      a.Repeatable,
		Total:           uint32(len(f.lineStarts)),
		Created:         now,
		Deadline:        now + a.WindowNanoseconds,
		KeepNanoseconds: a.KeepNanoseconds,
		Attempts:        min(a.Attempts, math.MaxUint8),
		Metadata:        a.Metadata,
	}
	if j.Attempts == 0 {
		j.Attempts = defaultAttempts
	}
	return &job{info: j, file: f, items: make([]item, len(f.lineStarts))}
}

func (w *job) view() *entry.Job {
	return proto.Clone(w.info).(*entry.Job)
}

// finishIfDone ends a job that has no leased items and whose items have all ended or that is being stopped.
func (l *Ledger) finishIfDone(w *job) {
	j := w.info
	switch {
	case j.Leased > 0:
		return
	case j.State == jobRunning && w.endedItems() == j.Total:
		j.State = jobCompleted
	case j.State == jobCancelling && j.Expired:
		j.State = jobExpired
	case j.State == jobCancelling:
		j.State = jobCancelled
	default:
		return
	}
	if w.inline != nil && j.State == jobExpired {
		l.expireWaiting(w)
	}
	j.Cancelled = j.Total - j.Completed - j.Failed - j.MayHaveRun
	j.Finished = l.now
	w.returned = nil
}

// deleteJob deletes a job with its results.
func (l *Ledger) deleteJob(w *job) {
	j := w.info
	must(l.Storage.Remove(w.name()))
	delete(l.jobs, j.Id)
	l.uncountTokens(w)
	l.removeFromTeam(j.Team, j.Id)
	l.addStoredBytes(j.Team, -j.ResultBytes)
	w.file.info.Uses--
	l.deleteUnused(w.file)
}

func (l *Ledger) removeFromTeam(team, id string) {
	o := l.jobsByTeam[team]
	for i := range o {
		if o[i] == id {
			l.jobsByTeam[team] = append(o[:i:i], o[i+1:]...)
			break
		}
	}
	if len(l.jobsByTeam[team]) == 0 {
		delete(l.jobsByTeam, team)
	}
}
