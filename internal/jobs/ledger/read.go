package ledger

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/verdict"
)

// ErrNotFound means that this replica has no such file or job.
var ErrNotFound = errors.New("ledger: unknown file or job")

// File returns a file that its owner has not deleted.
func (l *Ledger) File(id string) (*entry.File, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.files[id]
	if f == nil || f.info.Hidden {
		return nil, ErrNotFound
	}
	return fileView(f), nil
}

// Job returns a job.
func (l *Ledger) Job(id string) (*entry.Job, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.jobs[id]
	if w == nil {
		return nil, ErrNotFound
	}
	return w.view(), nil
}

// Jobs returns up to maxJobs jobs of a team, newest first.
func (l *Ledger) Jobs(team string, maxJobs int) []*entry.Job {
	l.mu.Lock()
	defer l.mu.Unlock()
	var a []*entry.Job
	for _, id := range slices.Backward(l.jobsByTeam[team]) {
		if len(a) == maxJobs {
			break
		}
		a = append(a, l.jobs[id].view())
	}
	return a
}

// StoredBytes returns the size of a team's files and results.
func (l *Ledger) StoredBytes(team string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.storedBytes[team]
}

// Content returns up to maxBytes of a file from an offset on.
func (l *Ledger) Content(id string, offset int64, maxBytes int) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.files[id]
	if f == nil || f.info.Hidden || offset < 0 {
		return nil, ErrNotFound
	}
	n := max(min(int64(maxBytes), f.info.Bytes-offset), 0)
	b := make([]byte, n)
	return b, l.Storage.ReadAt(f.name(), b, offset)
}

// FillInputs adds the input lines to leased items of running jobs, up to maxBytes; the holder must give
// back the items without one.
func (l *Ledger) FillInputs(leases []*entry.Lease, maxBytes int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range leases {
		w := l.jobs[e.Job]
		if w == nil || w.info.State != jobRunning || e.Index >= w.info.Total {
			continue
		}
		b, err := l.input(w, int(e.Index))
		if err != nil {
			return err
		}
		maxBytes -= len(b)
		if maxBytes < 0 {
			return nil
		}
		e.Line = b
		e.Progress = w.inline.progressOf(e.Index)
	}
	return nil
}

// Backlog returns the targets with ready items. It is a hint: it leases nothing.
func (l *Ledger) Backlog(now int64) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := map[string]struct{}{}
	for t, q := range l.queues {
		if q.ready() {
			m[t] = struct{}{}
		}
	}
	for _, d := range l.deferred {
		if d.at > now {
			break
		}
		m[d.job.info.Target] = struct{}{}
	}
	return slices.Sorted(maps.Keys(m))
}

func (q *queue) ready() bool {
	for _, n := range q.teams {
		if slices.ContainsFunc(n.jobs, (*job).ready) {
			return true
		}
	}
	return false
}

func (l *Ledger) input(w *job, i int) ([]byte, error) {
	s, e := w.file.lineBounds(i)
	b := make([]byte, e-s)
	return b, l.Storage.ReadAt(w.file.name(), b, s)
}

// Result returns the input line and the result of an item; the result is nil while the item is open.
func (l *Ledger) Result(id string, index int) ([]byte, *entry.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.jobs[id]
	if w == nil || index < 0 || index >= len(w.items) {
		return nil, nil, ErrNotFound
	}
	b, err := l.input(w, index)
	if err != nil {
		return nil, nil, err
	}
	r, err := l.result(w, index)
	return b, r, err
}

func (l *Ledger) result(w *job, i int) (*entry.Result, error) {
	s := w.items[i]
	if s.state <= itemLeased {
		if w.info.Finished == 0 {
			return nil, nil
		}
		return jobEnded(s.itemVerdict(verdict.NotRun)), nil
	}
	b := make([]byte, s.length)
	if err := l.Storage.ReadAt(w.name(), b, s.offset); err != nil {
		return nil, err
	}
	r := &entry.Result{}
	return r, proto.Unmarshal(b, r)
}

// SweepDue reports whether a session has expired or a job's window has closed and no command has processed it yet.
func (l *Ledger) SweepDue(now int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.sessions {
		if s.deadline < now {
			return true
		}
	}
	for _, w := range l.jobs {
		if w.info.State == jobRunning && w.info.Deadline <= now {
			return true
		}
	}
	return false
}

// Empty reports whether the ledger holds nothing that can expire.
func (l *Ledger) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.files)+len(l.jobs)+len(l.keys)+l.records.Len() == 0
}
