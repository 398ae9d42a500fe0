package ledger

import "github.com/cockroachdb/errors"

// tally counts the items of a job by their state.
type tally [cancelled + 1]uint32

// Check verifies that the counts, queues and leases agree with the items; it reads all of them.
func (l *Ledger) Check() error {
	for _, w := range l.jobs {
		if err := w.check(); err != nil {
			return errors.Wrapf(err, "job %s", w.facts.Id)
		}
	}
	for f, e := range l.leases {
		if e.work.slots[e.index].state != leased || e.fence != f {
			return errors.Newf("lease %d is on an item that is not leased", f)
		}
		if f > l.fence {
			return errors.Newf("lease %d is beyond the last fencing number", f)
		}
	}
	return l.checkUse()
}

func (w *work) check() error {
	j := w.facts
	var t tally
	var bytes int64
	for i := range w.slots {
		s := w.slots[i]
		if int(s.state) >= len(t) {
			return errors.Newf("item %d has an unknown state", i)
		}
		t[s.state]++
		if s.state > leased && (s.offset < 0 || s.offset+int64(s.length) > j.ResultBytes) {
			return errors.Newf("the result of item %d is beyond the stored ones", i)
		}
		bytes += int64(s.length)
	}
	if bytes != j.ResultBytes {
		return errors.Newf("results take %d bytes, %d are stored", bytes, j.ResultBytes)
	}
	if t[completed] != j.Completed || t[failed] != j.Failed || t[mayHaveRun] != j.MayHaveRun || t[leased] != j.Leased {
		return errors.Newf("the items count %v, the job says %v", t, j)
	}
	return w.checkState(t)
}

func (w *work) checkState(t tally) error {
	j := w.facts
	if j.State == jobRunning {
		if t[cancelled] != j.Cancelled || w.ended() == j.Total {
			return errors.New("a running job has cancelled items or nothing left")
		}
		return nil
	}
	if j.State != jobCancelling && (j.Leased > 0 || w.ended() != j.Total) {
		return errors.New("an ended job has leased or open items")
	}
	return nil
}

func (l *Ledger) checkUse() error {
	m := map[string]int64{}
	for _, f := range l.files {
		m[f.facts.Team] += f.facts.Bytes
	}
	for _, w := range l.jobs {
		m[w.facts.Team] += w.facts.ResultBytes
	}
	for t, n := range m {
		if l.used[t] != n {
			return errors.Newf("team %s stores %d bytes, %d are counted", t, n, l.used[t])
		}
	}
	return nil
}
