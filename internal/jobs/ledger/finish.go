package ledger

import (
	"math"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/verdict"
)

// finish records the ends of attempts; those whose lease has passed on are dropped.
func (l *Ledger) finish(f *entry.Finish) *entry.Answer {
	a := &entry.Answer{}
	for _, o := range f.Outcomes {
		e := l.leases[o.Fence]
		if e == nil || e.session.holder != f.Holder {
			a.Dropped = append(a.Dropped, o.Fence)
			continue
		}
		l.end(e, o)
	}
	return a
}

func (l *Ledger) end(e *lease, o *entry.Outcome) {
	w := e.work
	r := o.Result
	if r == nil {
		r = &entry.Result{}
	}
	l.drop(e)
	w.inline.advance(e.index, o.Progress)
	switch o.Kind {
	case entry.Outcome_COMPLETE:
		l.record(w, e.index, completed, r)
	case entry.Outcome_FAIL:
		l.record(w, e.index, failed, r)
	default:
		l.again(e, o.Kind, r)
	}
}

// again decides on an item that was given back.
func (l *Ledger) again(e *lease, k entry.Outcome_Kind, r *entry.Result) {
	w := e.work
	s := &w.slots[e.index]
	if r.Verdict != uint32(verdict.NotRun) {
		s.sent = 1
	}
	if !w.facts.Repeatable && e.intended && r.Verdict != uint32(verdict.NotRun) {
		l.record(w, e.index, onceState(r), r)
		return
	}
	if w.facts.State != jobRunning {
		l.record(w, e.index, cancelled, stopped(verdict.Verdict(r.Verdict)))
		return
	}
	if k == entry.Outcome_YIELD {
		l.giveBack(w, e.index)
		return
	}
	if w.inline != nil && r.Status == 0 {
		// Only an upstream's own answer counts as a failed attempt.
		l.deferItem(w, e.index, lostPause)
		return
	}
	if s.attempts < math.MaxUint8 {
		s.attempts++
	}
	if uint32(s.attempts) >= w.facts.Attempts {
		l.record(w, e.index, failed, r)
		return
	}
	l.deferItem(w, e.index, retryPause)
}

// onceState is the end of an item that was sent and may not be sent again.
func onceState(r *entry.Result) uint8 {
	if r.Verdict == uint32(verdict.Ran) {
		return failed
	}
	return mayHaveRun
}

// record stores the end of an item, which never changes afterwards.
func (l *Ledger) record(w *work, i uint32, state uint8, r *entry.Result) {
	s := &w.slots[i]
	if s.state > leased {
		panic(errors.AssertionFailedf("item %d of %s ends a second time", i, w.facts.Id))
	}
	r.Verdict = uint32(s.honest(verdict.Verdict(r.Verdict)))
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "encode result"))
	}
	must(l.Storage.Append(w.name(), b))
	s.state = state
	s.offset = w.facts.ResultBytes
	s.length = uint32(len(b))
	w.facts.ResultBytes += int64(len(b))
	l.use(w.facts.Team, int64(len(b)))
	w.count(state)
	l.list(w, i)
	l.settle(w)
}

// honest returns the verdict of an item, of which the last attempt may not have been the first.
func (s *slot) honest(v verdict.Verdict) verdict.Verdict {
	if v == verdict.NotRun && s.sent > 0 {
		return verdict.MayHaveRun
	}
	return v
}

func (w *work) count(state uint8) {
	switch state {
	case completed:
		w.facts.Completed++
	case failed:
		w.facts.Failed++
	case mayHaveRun:
		w.facts.MayHaveRun++
	case cancelled:
		w.facts.Cancelled++
	}
}
