package ledger

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/verdict"
)

// ErrUnknown means that this replica has no such file or job.
var ErrUnknown = errors.New("ledger: unknown file or job")

// File returns a file that its owner has not deleted.
func (l *Ledger) File(id string) (*entry.File, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.files[id]
	if f == nil || f.facts.Hidden {
		return nil, ErrUnknown
	}
	return view(f), nil
}

// Job returns a job.
func (l *Ledger) Job(id string) (*entry.Job, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.jobs[id]
	if w == nil {
		return nil, ErrUnknown
	}
	return w.view(), nil
}

// Jobs returns the jobs of a team, the newest first.
func (l *Ledger) Jobs(team string, most int) []*entry.Job {
	l.mu.Lock()
	defer l.mu.Unlock()
	var a []*entry.Job
	for _, id := range slices.Backward(l.owned[team]) {
		if len(a) == most {
			break
		}
		a = append(a, l.jobs[id].view())
	}
	return a
}

// Used returns the bytes that a team stores.
func (l *Ledger) Used(team string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used[team]
}

// Content returns up to most bytes of a file.
func (l *Ledger) Content(id string, offset int64, most int) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.files[id]
	if f == nil || f.facts.Hidden || offset < 0 {
		return nil, ErrUnknown
	}
	n := max(min(int64(most), f.facts.Bytes-offset), 0)
	b := make([]byte, n)
	return b, l.Storage.ReadAt(f.name(), b, offset)
}

// Fill adds the input lines to leased items of running jobs, up to most bytes; items without one are
// to be given back.
func (l *Ledger) Fill(leases []*entry.Lease, most int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range leases {
		w := l.jobs[e.Job]
		if w == nil || w.facts.State != jobRunning || e.Index >= w.facts.Total {
			continue
		}
		b, err := l.input(w, int(e.Index))
		if err != nil {
			return err
		}
		most -= len(b)
		if most < 0 {
			return nil
		}
		e.Line = b
		e.Progress = w.inline.progressOf(e.Index)
	}
	return nil
}

// Backlog returns the targets with ready items; it is a hint and changes nothing.
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
		m[d.work.facts.Target] = struct{}{}
	}
	return slices.Sorted(maps.Keys(m))
}

func (q *queue) ready() bool {
	for _, n := range q.lines {
		if slices.ContainsFunc(n.jobs, (*work).ready) {
			return true
		}
	}
	return false
}

func (l *Ledger) input(w *work, i int) ([]byte, error) {
	s, e := w.file.line(i)
	b := make([]byte, e-s)
	return b, l.Storage.ReadAt(w.file.name(), b, s)
}

// Result returns the end of an item with its input line; the result is nil while the item is open.
func (l *Ledger) Result(id string, index int) ([]byte, *entry.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.jobs[id]
	if w == nil || index < 0 || index >= len(w.slots) {
		return nil, nil, ErrUnknown
	}
	b, err := l.input(w, index)
	if err != nil {
		return nil, nil, err
	}
	r, err := l.result(w, index)
	return b, r, err
}

func (l *Ledger) result(w *work, i int) (*entry.Result, error) {
	s := w.slots[i]
	if s.state <= leased {
		if w.facts.Finished == 0 {
			return nil, nil
		}
		return stopped(s.honest(verdict.NotRun)), nil
	}
	b := make([]byte, s.length)
	if err := l.Storage.ReadAt(w.name(), b, s.offset); err != nil {
		return nil, err
	}
	r := &entry.Result{}
	return r, proto.Unmarshal(b, r)
}

// Due reports whether a lease has run out or a job's window has closed without a command noticing.
func (l *Ledger) Due(now int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.sessions {
		if s.deadline < now {
			return true
		}
	}
	for _, w := range l.jobs {
		if w.facts.State == jobRunning && w.facts.Deadline <= now {
			return true
		}
	}
	return false
}

// Empty reports whether there is nothing that could ever run out.
func (l *Ledger) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.files)+len(l.jobs)+len(l.keys)+l.records.Len() == 0
}
