package ledger

import "github.com/cockroachdb/errors"

// stateCounts counts the items of a job by their state.
type stateCounts [itemCancelled + 1]uint32

// Check verifies that the counts, queues and leases agree with the items; it reads all of them.
func (l *Ledger) Check() error {
	for _, w := range l.jobs {
		if err := w.check(); err != nil {
			return errors.Wrapf(err, "job %s", w.info.Id)
		}
	}
	for f, e := range l.leases {
		if e.job.items[e.index].state != itemLeased || e.fence != f {
			return errors.Newf("lease %d refers to an item that is not leased", f)
		}
		if f > l.lastFence {
			return errors.Newf("lease %d is above the last fencing token", f)
		}
	}
	return l.checkStoredBytes()
}

func (w *job) check() error {
	j := w.info
	var t stateCounts
	var bytes int64
	for i := range w.items {
		s := w.items[i]
		if int(s.state) >= len(t) {
			return errors.Newf("item %d has an unknown state", i)
		}
		t[s.state]++
		if s.state > itemLeased && (s.offset < 0 || s.offset+int64(s.length) > j.ResultBytes) {
			return errors.Newf("the result of item %d exceeds the stored results", i)
		}
		bytes += int64(s.length)
	}
	if bytes != j.ResultBytes {
		return errors.Newf("item results add up to %d bytes, the job records %d", bytes, j.ResultBytes)
	}
	if t[itemCompleted] != j.Completed || t[itemFailed] != j.Failed || t[itemMayHaveRun] != j.MayHaveRun || t[itemLeased] != j.Leased {
		return errors.Newf("item counts by state are %v, the job records %v", t, j)
	}
	return w.checkState(t)
}

func (w *job) checkState(t stateCounts) error {
	j := w.info
	if j.State == jobRunning {
		if t[itemCancelled] != j.Cancelled || w.endedItems() == j.Total {
			return errors.New("a running job has cancelled items or no open items")
		}
		return nil
	}
	if j.State != jobCancelling && (j.Leased > 0 || w.endedItems() != j.Total) {
		return errors.New("an ended job has leased or open items")
	}
	return nil
}

func (l *Ledger) checkStoredBytes() error {
	m := map[string]int64{}
	for _, f := range l.files {
		m[f.info.Team] += f.info.Bytes
	}
	for _, w := range l.jobs {
		m[w.info.Team] += w.info.ResultBytes
	}
	for t, n := range m {
		if l.storedBytes[t] != n {
			return errors.Newf("team %s stores %d bytes, the ledger counts %d", t, n, l.storedBytes[t])
		}
	}
	return nil
}
