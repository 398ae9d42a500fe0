package executor

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"siskinrun/internal/data/item"
	"siskinrun/internal/data/itemanswer"
	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/refusal"
)

var (
	seeds     = flag.Uint64("seeds", 1000, "number of seeded runs")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first run")
)

const (
	// poison is the input line of an item that always fails.
	poison = "poison"
	// jobCount is the number of jobs in a run.
	jobCount = 4

	callTimeout = 800 * time.Millisecond
	// partitionDuration is longer than a session, so that the sessions of a partitioned host expire.
	partitionDuration = sessionTTL + 2*time.Second
)

// fakeHost does what Executor does, with events in place of goroutines.
type fakeHost struct {
	simulation       *simulation
	name             string
	scheduler        *scheduler
	dead             bool
	partitionedUntil time.Duration
	polled           time.Duration
	requesting       bool
	reporting        bool
	renewing         bool
}

func newFakeHost(w *simulation, i int) *fakeHost {
	w.seq++
	h := &fakeHost{simulation: w, name: fmt.Sprintf("host-%d/%d", i, w.seq), scheduler: newScheduler(1)}
	return h
}

func (h *fakeHost) session() string {
	return fmt.Sprintf("%s/%d", h.name, h.scheduler.groups[1].session)
}

func (h *fakeHost) crash() {
	h.dead = true
}

// call sends a command to the leader unless the host is partitioned from it.
func (h *fakeHost) call(c *entry.Command, done func(*entry.Answer, error)) {
	if h.simulation.now >= h.partitionedUntil {
		h.simulation.call(c, done)
		return
	}
	h.simulation.after(callTimeout, func() { done(nil, errors.New("host is partitioned from the leader")) })
}

func (h *fakeHost) tick() {
	if h.dead {
		return
	}
	n := h.simulation.time()
	h.updateWindow(n)
	if c := h.scheduler.upstreams["u"]; c != nil && h.simulation.whole {
		c.setPlaces(n.Add(-placeWait), fakePlaces(0))
	}
	h.stopAll(h.scheduler.tasksToStop(n))
	h.scheduler.returnStale(n)
	h.start(h.scheduler.assign(n))
	h.report()
	h.poll()
	h.requestItems()
	h.renew()
	h.simulation.after(40*time.Millisecond, h.tick)
}

// updateWindow stands in for the routing packages, with bursts of online requests that shrink the window to zero.
func (h *fakeHost) updateWindow(n time.Time) {
	c := h.scheduler.upstreams["u"]
	k := 3
	if h.simulation.chance(5) {
		k = 0
	}
	if c == nil || !h.simulation.chance(5) {
		h.scheduler.setUpstream("u", []string{"m"}, k, n.Add(localClaimTTL))
		return
	}
	c.window = k
}

func (h *fakeHost) stopAll(tasks []*task) {
	for _, t := range tasks {
		if t.preempting {
			h.simulation.preempted++
		}
		t.stopping = true
		if t.stop != nil {
			t.stop()
		}
	}
}

func (h *fakeHost) start(tasks []*task) {
	i := &entry.Intend{Holder: h.session()}
	nonRepeatable := map[uint64]*task{}
	for _, t := range tasks {
		if t.item.Repeatable {
			h.launch(t)
			continue
		}
		i.Fences = append(i.Fences, t.item.Fence)
		nonRepeatable[t.item.Fence] = t
	}
	if len(nonRepeatable) == 0 {
		return
	}
	h.call(&entry.Command{Kind: &entry.Command_Intend{Intend: i}}, func(a *entry.Answer, err error) {
		if h.dead {
			return
		}
		for _, f := range i.Fences {
			if err == nil && slices.Contains(a.GetGranted(), f) {
				h.launch(nonRepeatable[f])
				continue
			}
			h.scheduler.endTask(nonRepeatable[f], unsentOutcome(f))
		}
	})
}

func (h *fakeHost) launch(t *task) {
	if t.stopping || !h.simulation.time().Before(h.scheduler.groups[t.group].sessionExpires) {
		h.scheduler.endTask(t, unsentOutcome(t.item.Fence))
		return
	}
	if h.simulation.chance(5) {
		e := refusal.NewNotRun(503, "unreachable", "")
		h.scheduler.endTask(t, outcomeOf(t.item.Fence, itemanswer.Answer{}, e, false))
		return
	}
	h.simulation.recordDispatch(t)
	ended := false
	done := func(stopped bool) {
		if ended || h.dead || h.scheduler.groups[t.group].tasks[t.item.Fence] != t {
			return
		}
		ended = true // a preempted task runs again
		a, err := h.result(t, stopped)
		h.scheduler.finishRun(h.simulation.time(), t, outcomeOf(t.item.Fence, a, err, stopped))
	}
	t.stop = func() { done(true) }
	d := time.Duration(20+h.simulation.random.IntN(400)) * time.Millisecond
	if h.simulation.chance(5) {
		d = 8 * time.Second
	}
	h.simulation.after(d, func() { done(false) })
}

func (h *fakeHost) result(t *task, stopped bool) (itemanswer.Answer, error) {
	switch {
	case stopped:
		return itemanswer.Answer{}, refusal.NewMayHaveRun(504, "stopped", "")
	case string(t.item.Line) == poison || h.simulation.chance(5):
		return itemanswer.Answer{Status: 500}, nil
	case h.simulation.chance(5):
		return itemanswer.Answer{}, refusal.NewMayHaveRun(504, "lost", "")
	}
	h.simulation.seq++
	return itemanswer.Answer{Status: 200, Body: fmt.Appendf(nil, "%d", h.simulation.seq)}, nil
}

func (h *fakeHost) report() {
	s := h.scheduler.groups[1]
	if h.reporting || len(s.outcomes) == 0 {
		return
	}
	h.reporting = true
	n := len(s.outcomes)
	f := &entry.Finish{Holder: h.session(), Outcomes: slices.Clone(s.outcomes)}
	h.call(&entry.Command{Kind: &entry.Command_Finish{Finish: f}}, func(_ *entry.Answer, err error) {
		h.reporting = false
		if err == nil {
			h.scheduler.acknowledge(1, n)
		}
	})
}

func (h *fakeHost) poll() {
	if h.simulation.now < h.polled+pollInterval {
		return
	}
	h.polled = h.simulation.now
	l := h.simulation.replicas[h.simulation.leader].ledger
	h.scheduler.groups[1].backlog = l.Backlog(h.simulation.time().Add(h.simulation.skew).UnixNano())
}

func (h *fakeHost) requestItems() {
	if h.requesting {
		return
	}
	w := h.scheduler.wants(h.simulation.time(), 1)
	if len(w) == 0 {
		return
	}
	h.requesting = true
	s := h.scheduler.groups[1]
	s.sequence++
	h.take(&entry.Take{Holder: h.session(), Sequence: s.sequence, LeaseNanoseconds: int64(sessionTTL), Wants: w})
}

func (h *fakeHost) take(k *entry.Take) {
	sent := h.simulation.time()
	h.call(&entry.Command{Kind: &entry.Command_Take{Take: k}}, func(a *entry.Answer, err error) {
		s := h.scheduler.groups[1]
		if err != nil && !h.dead && !s.lapsed(h.simulation.time()) {
			h.take(k)
			return
		}
		h.requesting = false
		if a.GetRefused() != nil {
			s.requested = nil
			s.sessionExpires = time.Time{}
			return
		}
		u := time.Time{}
		if err == nil {
			u = sent.Add(localSessionTTL)
		}
		l := h.leasedItems(a.GetTaken().GetLeases())
		if len(l) < totalCount(k.Wants) {
			s.backlog = nil
		}
		h.scheduler.addLeased(h.simulation.time(), 1, l, u)
	})
}

// leasedItems adds the input lines to leases and returns their items.
func (h *fakeHost) leasedItems(s []*entry.Lease) []item.Item {
	var items []item.Item
	if err := h.simulation.replicas[h.simulation.leader].ledger.FillInputs(s, maxReportBytes); err != nil {
		h.simulation.fail("read input lines: %v", err)
	}
	for _, l := range s {
		items = append(items, itemFromLease(l))
	}
	return items
}

func (h *fakeHost) renew() {
	s := h.scheduler.groups[1]
	if h.renewing || s.idle() || !h.simulation.time().Before(s.sessionExpires) {
		return
	}
	h.renewing = true
	sent := h.simulation.time()
	n := s.session
	r := &entry.Renew{Holder: h.session(), LeaseNanoseconds: int64(sessionTTL)}
	h.call(&entry.Command{Kind: &entry.Command_Renew{Renew: r}}, func(a *entry.Answer, err error) {
		if err == nil {
			h.stopAll(h.scheduler.applyRenewal(h.simulation.time(), 1, n, a.Renewed, sent.Add(localSessionTTL)))
		}
		h.simulation.after(heartbeatInterval, func() { h.renewing = false })
	})
}

// simulate runs one seed: faults for 4 s, then none until all jobs have ended.
func simulate(seed uint64) error {
	return simulateOn(newSimulation(seed))
}

func simulateOn(w *simulation) error {
	w.upload("file-1-a", 12)
	w.upload("file-1-b", 9)
	w.submit("k1", "file-1-a", true)
	w.submit("k2", "file-1-b", false)
	w.submit("k3", "file-1-a", true)
	w.submit("k4", "file-1-b", false)
	for _, h := range w.hosts {
		h.tick()
	}
	w.after(time.Duration(w.random.IntN(1500))*time.Millisecond, func() { w.cancel("k3") })
	w.after(time.Duration(w.random.IntN(1500))*time.Millisecond, func() { w.cancel("k4") })
	w.sweep()
	w.injectFaults()
	w.run(4 * time.Second)
	w.faultFree = true
	w.run(60 * time.Second)
	if w.err != nil {
		return w.err
	}
	return w.checkEnd()
}

// checkEnd verifies that each replica has all jobs, that they have ended and that their counts add up.
func (w *simulation) checkEnd() error {
	if len(w.accepted) != jobCount {
		return errors.Newf("%d jobs were accepted", len(w.accepted))
	}
	for _, r := range w.replicas {
		w.catchUp(r, len(w.log))
		if err := r.ledger.Check(); err != nil {
			return err
		}
		for _, k := range slices.Sorted(maps.Keys(w.accepted)) {
			j, err := r.ledger.Job(w.accepted[k])
			if err != nil {
				return errors.Wrapf(err, "job %s is lost", k)
			}
			if j.Finished == 0 || j.Completed+j.Failed+j.MayHaveRun+j.Cancelled != j.Total {
				return errors.Newf("job %s has not ended: %v", k, j)
			}
		}
	}
	w.checkResults()
	return w.err
}

// TestRandomisedRuns runs seeded simulations with lost messages, crashes, partitions and changes of leadership. They
// guard against lost jobs, items that are completed or sent twice, results that change and replicas that diverge.
func TestRandomisedRuns(t *testing.T) {
	const lanes = 4
	for n := range uint64(lanes) {
		t.Run(fmt.Sprintf("lane %d", n), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			for s := *firstSeed + n; s < *firstSeed+*seeds; s += lanes {
				if err := simulate(s); err != nil {
					t.Logf("seed %d", s)
					is.NoErr(err)
				}
			}
		})
	}
}

// TestRandomisedWholeRuns plays lost hosts, leaders, claims and messages while runs stop only for calls without another place: an
// item still ends once, and none is lost.
func TestRandomisedWholeRuns(t *testing.T) {
	is := is.New(t)
	preempted := 0
	for s := range uint64(100) {
		w := newSimulation(s)
		w.whole = true
		if err := simulateOn(w); err != nil {
			t.Logf("seed %d", s)
			is.NoErr(err)
		}
		preempted += w.preempted
	}
	t.Logf("%d runs preempted", preempted)
	is.True(preempted > 0)
}
