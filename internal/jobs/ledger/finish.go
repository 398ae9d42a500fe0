package ledger

import (
	"math"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/verdict"
)

// finish records the outcomes of attempts; it drops those whose lease the holder no longer has.
func (l *Ledger) finish(f *entry.Finish) *entry.Answer {
	a := &entry.Answer{}
	for _, o := range f.Outcomes {
		e := l.leases[o.Fence]
		if e == nil || e.session.holder != f.Holder {
			a.Dropped = append(a.Dropped, o.Fence)
			continue
		}
		l.endAttempt(e, o)
	}
	return a
}

func (l *Ledger) endAttempt(e *lease, o *entry.Outcome) {
	w := e.job
	r := o.Result
	if r == nil {
		r = &entry.Result{}
	}
	l.removeLease(e)
	w.inline.updateProgress(e.index, o.Progress)
	switch o.Kind {
	case entry.Outcome_COMPLETE:
		l.recordResult(w, e.index, itemCompleted, r)
	case entry.Outcome_FAIL:
		l.recordResult(w, e.index, itemFailed, r)
	default:
		l.retryOrEnd(e, o.Kind, r)
	}
}

// retryOrEnd requeues an item whose attempt ended without a final outcome, or records how it ended.
func (l *Ledger) retryOrEnd(e *lease, k entry.Outcome_Kind, r *entry.Result) {
	w := e.job
	s := &w.items[e.index]
	if r.Verdict != uint32(verdict.NotRun) {
		s.sent = 1
	}
	if !w.info.Repeatable && e.intended && r.Verdict != uint32(verdict.NotRun) {
		l.recordResult(w, e.index, unrepeatableState(r), r)
		return
	}
	if w.info.State != jobRunning {
		l.recordResult(w, e.index, itemCancelled, jobEnded(verdict.Verdict(r.Verdict)))
		return
	}
	if k == entry.Outcome_YIELD {
		l.requeue(w, e.index)
		return
	}
	if w.inline != nil && r.Status == 0 {
		// Only an answer of an upstream counts as a failed attempt.
		l.deferItem(w, e.index, noAnswerDelay)
		return
	}
	if s.attempts < math.MaxUint8 {
		s.attempts++
	}
	if uint32(s.attempts) >= w.info.Attempts {
		l.recordResult(w, e.index, itemFailed, r)
		return
	}
	l.deferItem(w, e.index, retryDelay)
}

// unrepeatableState returns the final state of an item that was sent and must not be sent again.
func unrepeatableState(r *entry.Result) uint8 {
	if r.Verdict == uint32(verdict.Ran) {
		return itemFailed
	}
	return itemMayHaveRun
}

// recordResult stores the final result of an item, which never changes afterwards.
func (l *Ledger) recordResult(w *job, i uint32, state uint8, r *entry.Result) {
	s := &w.items[i]
	if s.state > itemLeased {
		panic(errors.AssertionFailedf("item %d of %s ends a second time", i, w.info.Id))
	}
	r.Verdict = uint32(s.itemVerdict(verdict.Verdict(r.Verdict)))
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "encode result"))
	}
	must(l.Storage.Append(w.name(), b))
	s.state = state
	s.offset = w.info.ResultBytes
	s.length = uint32(len(b))
	w.info.ResultBytes += int64(len(b))
	l.addStoredBytes(w.info.Team, int64(len(b)))
	w.countEnded(state)
	l.addRecorded(w, i)
	l.finishIfDone(w)
}

// itemVerdict returns the verdict on an item, which is NotRun only if no earlier attempt may have run it.
func (s *item) itemVerdict(v verdict.Verdict) verdict.Verdict {
	if v == verdict.NotRun && s.sent > 0 {
		return verdict.MayHaveRun
	}
	return v
}

func (w *job) countEnded(state uint8) {
	switch state {
	case itemCompleted:
		w.info.Completed++
	case itemFailed:
		w.info.Failed++
	case itemMayHaveRun:
		w.info.MayHaveRun++
	case itemCancelled:
		w.info.Cancelled++
	}
}
