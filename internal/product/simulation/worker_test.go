package simulation

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/outcome"
	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/verdict"
)

const (
	sessionLength = 4 * time.Second
	// sessionUse is how long a host uses a session, counted from when it sent the last renewal.
	sessionUse = 3900 * time.Millisecond
)

// task is a host's lease on one item.
type task struct {
	lease    *entry.Lease
	session  int
	upstream string
	ended    bool
	order    int
}

func (t *task) itemID() itemID { return itemID{t.lease.Job, t.lease.Index} }

// worker leases items for one host, runs them and reports their ends to the ledger.
type worker struct {
	host     *host
	session  int
	sequence uint64
	until    time.Time
	asking   bool
	tasks    map[uint64]*task
	order    int
}

func newWorker(h *host) *worker {
	return &worker{host: h, session: 1, tasks: map[uint64]*task{}}
}

func (k *worker) holder(session int) string {
	return fmt.Sprint(k.host.name, "/", k.host.boot, "/", session)
}

func (k *worker) tick() {
	h := k.host
	if h.w.excluded[items] {
		return
	}
	if k.sequence > 0 && !h.now().Before(k.until) {
		k.resetSession()
	}
	free := -k.running("")
	for _, u := range slices.Sorted(maps.Keys(h.limitedUpstreams)) {
		n := h.batchLimiter.Window(u, h.now())
		free += n
		k.stopNewest(u, k.running(u)-n)
	}
	if k.asking || free <= 0 && k.sequence == 0 {
		return
	}
	k.asking = true
	if free <= 0 {
		k.renew()
		return
	}
	k.leaseItems(min(free, 8))
}

// resetSession gives up all leases, since their session may have ended.
func (k *worker) resetSession() {
	k.host.w.logEvent("fleet", "%s gives up session %d", k.host.name, k.session)
	for _, t := range k.tasks {
		t.ended = true
	}
	k.tasks = map[uint64]*task{}
	k.session++
	k.sequence = 0
}

func (k *worker) renew() {
	h, session, sent := k.host, k.session, k.host.now()
	c := &entry.Renew{Holder: k.holder(session), LeaseNanoseconds: int64(sessionLength)}
	h.w.ledger.call(h, &entry.Command{Kind: &entry.Command_Renew{Renew: c}}, func(a *entry.Answer) {
		k.asking = false
		if a == nil || session != k.session {
			return
		}
		if a.Renewed.Lapsed {
			k.resetSession()
			return
		}
		k.until = sent.Add(sessionUse)
	})
}

func (k *worker) leaseItems(n int) {
	h, session, sent := k.host, k.session, k.host.now()
	if k.sequence == 0 {
		k.until = sent.Add(sessionUse)
	}
	k.sequence++
	c := &entry.Take{
		Holder: k.holder(session), Sequence: k.sequence, LeaseNanoseconds: int64(sessionLength),
		Wants: []*entry.Want{{Target: "m", Count: uint32(n)}},
	}
	h.w.ledger.call(h, &entry.Command{Kind: &entry.Command_Take{Take: c}}, func(a *entry.Answer) {
		k.asking = false
		if a == nil || session != k.session {
			return
		}
		if a.Refused != nil {
			k.resetSession()
			return
		}
		k.until = sent.Add(sessionUse)
		for _, l := range a.Taken.Leases {
			if k.tasks[l.Fence] == nil {
				k.start(l)
			}
		}
	})
}

func (k *worker) start(l *entry.Lease) {
	k.order++
	t := &task{lease: l, session: k.session, order: k.order}
	k.tasks[l.Fence] = t
	k.host.w.logEvent(t.itemID().object(), "%s holds lease %d on it", k.host.name, l.Fence)
	if l.Repeatable || k.host.w.injected == skipIntent {
		k.run(t)
		return
	}
	k.intend(t)
}

// intend records in the ledger that an item that may not be repeated is about to be sent.
func (k *worker) intend(t *task) {
	c := &entry.Intend{Holder: k.holder(t.session), Fences: []uint64{t.lease.Fence}}
	k.host.w.ledger.call(k.host, &entry.Command{Kind: &entry.Command_Intend{Intend: c}}, func(a *entry.Answer) {
		switch {
		case t.ended:
		case a == nil:
			k.finish(t, entry.Outcome_YIELD, verdict.NotRun)
		case len(a.Granted) == 1:
			k.run(t)
		default:
			t.ended = true
			delete(k.tasks, t.lease.Fence)
		}
	})
}

// run sends an item to an upstream.
func (k *worker) run(t *task) {
	h := k.host
	u, ok := h.pick(demand.Demand{Service: "s", Model: "m", Batch: true, Repeatable: t.lease.Repeatable})
	if !ok {
		k.finish(t, entry.Outcome_YIELD, verdict.NotRun)
		return
	}
	t.upstream = u.Name
	k.updateBatchCount(u.Name)
	p := t.itemID()
	h.w.logEvent(p.object(), "%s sends it to %s/%d", h.name, u.Name, u.Incarnation)
	h.send(u, func() { h.w.ledger.recordReceived(p) }, func(v verdict.Verdict, o outcome.Outcome) {
		h.retry.Observe(o)
		switch {
		case t.ended:
		case v == verdict.Ran:
			k.finish(t, entry.Outcome_COMPLETE, v)
		default:
			k.finish(t, entry.Outcome_RETRY, v)
		}
	})
}

// finish reports the end of a lease to the ledger, again until the ledger answers.
func (k *worker) finish(t *task, kind entry.Outcome_Kind, v verdict.Verdict) {
	if !t.ended {
		t.ended = true
		delete(k.tasks, t.lease.Fence)
		if t.upstream != "" {
			k.updateBatchCount(t.upstream)
		}
	}
	h := k.host
	c := &entry.Finish{Holder: k.holder(t.session), Outcomes: []*entry.Outcome{{
		Fence: t.lease.Fence, Kind: kind, Result: &entry.Result{Status: 200, Verdict: uint32(v)},
	}}}
	h.w.logEvent(t.itemID().object(), "%s ends lease %d with %v as %s", h.name, t.lease.Fence, kind, v)
	h.w.ledger.call(h, &entry.Command{Kind: &entry.Command_Finish{Finish: c}}, func(a *entry.Answer) {
		if a == nil {
			k.finish(t, kind, v)
			return
		}
		if len(a.Dropped) == 0 && kind == entry.Outcome_COMPLETE {
			h.w.ledger.recordCompleted(t.itemID())
		}
	})
}

// running returns the number of tasks on an upstream, or of all tasks if u is empty.
func (k *worker) running(u string) int {
	n := 0
	for _, t := range k.tasks {
		if u == "" || t.upstream == u {
			n++
		}
	}
	return n
}

func (k *worker) updateBatchCount(u string) {
	n := k.running(u)
	k.host.picker.SetBatch(u, n)
	k.host.batchLimiter.SetBatch(u, n)
}

// stopNewest stops the n newest items on an upstream, skipping those that may not be repeated.
func (k *worker) stopNewest(u string, n int) {
	if n <= 0 || k.host.w.excluded[items] {
		return
	}
	l := slices.SortedFunc(maps.Values(k.tasks), func(a, b *task) int { return b.order - a.order })
	for _, t := range l {
		if n > 0 && t.upstream == u && t.lease.Repeatable {
			n--
			k.host.w.counts["items-yielded"]++
			k.finish(t, entry.Outcome_YIELD, verdict.MayHaveRun)
		}
	}
}
