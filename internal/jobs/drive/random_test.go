package drive

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
	poison = "poison"
	// keys is the number of jobs of a run.
	keys = 4

	callTimeout = 800 * time.Millisecond
	// cutLength is longer than a session.
	cutLength = sessionLength + 2*time.Second
)

// fakeHost does what Drive does, by events instead of goroutines.
type fakeHost struct {
	world    *world
	name     string
	plan     *plan
	dead     bool
	cutUntil time.Duration
	polled   time.Duration
	asking   bool
	telling  bool
	renewing bool
}

func newFakeHost(w *world, i int) *fakeHost {
	w.seq++
	h := &fakeHost{world: w, name: fmt.Sprintf("host-%d/%d", i, w.seq), plan: newPlan(1)}
	return h
}

func (h *fakeHost) session() string {
	return fmt.Sprintf("%s/%d", h.name, h.plan.sides[1].session)
}

func (h *fakeHost) crash() {
	h.dead = true
}

// call asks the leader unless the host is cut off from it.
func (h *fakeHost) call(c *entry.Command, done func(*entry.Answer, error)) {
	if h.world.now >= h.cutUntil {
		h.world.call(c, done)
		return
	}
	h.world.after(callTimeout, func() { done(nil, errors.New("cut off")) })
}

func (h *fakeHost) tick() {
	if h.dead {
		return
	}
	n := h.world.time()
	h.window(n)
	h.halt(h.plan.overdue(n))
	h.plan.stale(n)
	h.start(h.plan.assign(n))
	h.tell()
	h.poll()
	h.ask()
	h.renew()
	h.world.after(40*time.Millisecond, h.tick)
}

// window plays the routing area, with bursts that leave no room.
func (h *fakeHost) window(n time.Time) {
	c := h.plan.places["u"]
	k := 3
	if h.world.chance(5) {
		k = 0
	}
	if c == nil || !h.world.chance(5) {
		h.plan.setPlace("u", []string{"m"}, k, n.Add(claimUse))
		return
	}
	c.window = k
}

func (h *fakeHost) halt(tasks []*task) {
	for _, t := range tasks {
		t.stopping = true
		if t.stop != nil {
			t.stop()
		}
	}
}

func (h *fakeHost) start(tasks []*task) {
	i := &entry.Intend{Holder: h.session()}
	once := map[uint64]*task{}
	for _, t := range tasks {
		if t.item.Repeatable {
			h.launch(t)
			continue
		}
		i.Fences = append(i.Fences, t.item.Fence)
		once[t.item.Fence] = t
	}
	if len(once) == 0 {
		return
	}
	h.call(&entry.Command{Kind: &entry.Command_Intend{Intend: i}}, func(a *entry.Answer, err error) {
		if h.dead {
			return
		}
		for _, f := range i.Fences {
			if err == nil && slices.Contains(a.GetGranted(), f) {
				h.launch(once[f])
				continue
			}
			h.plan.end(once[f], yielded(f))
		}
	})
}

func (h *fakeHost) launch(t *task) {
	if t.stopping || !h.world.time().Before(h.plan.sides[t.group].until) {
		h.plan.end(t, yielded(t.item.Fence))
		return
	}
	if h.world.chance(5) {
		e := refusal.NewNotRun(503, "unreachable", "")
		h.plan.end(t, judge(t.item.Fence, itemanswer.Answer{}, e, false))
		return
	}
	h.world.dispatch(t)
	over := false
	done := func(stopped bool) {
		if over || h.dead || h.plan.sides[t.group].tasks[t.item.Fence] != t {
			return
		}
		over = true // a task that made room runs again
		a, err := h.result(t, stopped)
		h.plan.finish(h.world.time(), t, judge(t.item.Fence, a, err, stopped))
	}
	t.stop = func() { done(true) }
	d := time.Duration(20+h.world.random.IntN(400)) * time.Millisecond
	if h.world.chance(5) {
		d = 8 * time.Second
	}
	h.world.after(d, func() { done(false) })
}

func (h *fakeHost) result(t *task, stopped bool) (itemanswer.Answer, error) {
	switch {
	case stopped:
		return itemanswer.Answer{}, refusal.NewMayHaveRun(504, "stopped", "")
	case string(t.item.Line) == poison || h.world.chance(5):
		return itemanswer.Answer{Status: 500}, nil
	case h.world.chance(5):
		return itemanswer.Answer{}, refusal.NewMayHaveRun(504, "lost", "")
	}
	h.world.seq++
	return itemanswer.Answer{Status: 200, Body: fmt.Appendf(nil, "%d", h.world.seq)}, nil
}

func (h *fakeHost) tell() {
	s := h.plan.sides[1]
	if h.telling || len(s.outcomes) == 0 {
		return
	}
	h.telling = true
	n := len(s.outcomes)
	f := &entry.Finish{Holder: h.session(), Outcomes: slices.Clone(s.outcomes)}
	h.call(&entry.Command{Kind: &entry.Command_Finish{Finish: f}}, func(_ *entry.Answer, err error) {
		h.telling = false
		if err == nil {
			h.plan.recorded(1, n)
		}
	})
}

func (h *fakeHost) poll() {
	if h.world.now < h.polled+pollInterval {
		return
	}
	h.polled = h.world.now
	l := h.world.replicas[h.world.leader].ledger
	h.plan.sides[1].backlog = l.Backlog(h.world.time().Add(h.world.skew).UnixNano())
}

func (h *fakeHost) ask() {
	if h.asking {
		return
	}
	w := h.plan.wants(h.world.time(), 1)
	if len(w) == 0 {
		return
	}
	h.asking = true
	s := h.plan.sides[1]
	s.sequence++
	h.take(&entry.Take{Holder: h.session(), Sequence: s.sequence, LeaseNanoseconds: int64(sessionLength), Wants: w})
}

func (h *fakeHost) take(k *entry.Take) {
	sent := h.world.time()
	h.call(&entry.Command{Kind: &entry.Command_Take{Take: k}}, func(a *entry.Answer, err error) {
		s := h.plan.sides[1]
		if err != nil && !h.dead && !s.lapsed(h.world.time()) {
			h.take(k)
			return
		}
		h.asking = false
		if a.GetRefused() != nil {
			s.asked = nil
			s.until = time.Time{}
			return
		}
		u := time.Time{}
		if err == nil {
			u = sent.Add(sessionUse)
		}
		l := h.lines(a.GetTaken().GetLeases())
		if len(l) < counted(k.Wants) {
			s.backlog = nil
		}
		h.plan.taken(h.world.time(), 1, l, u)
	})
}

func (h *fakeHost) lines(s []*entry.Lease) []item.Item {
	var items []item.Item
	if err := h.world.replicas[h.world.leader].ledger.FillInputs(s, maxReportBytes); err != nil {
		h.world.fail("line: %v", err)
	}
	for _, l := range s {
		items = append(items, itemOf(l))
	}
	return items
}

func (h *fakeHost) renew() {
	s := h.plan.sides[1]
	if h.renewing || s.idle() || !h.world.time().Before(s.until) {
		return
	}
	h.renewing = true
	sent := h.world.time()
	n := s.session
	r := &entry.Renew{Holder: h.session(), LeaseNanoseconds: int64(sessionLength)}
	h.call(&entry.Command{Kind: &entry.Command_Renew{Renew: r}}, func(a *entry.Answer, err error) {
		if err == nil {
			h.halt(h.plan.renewed(h.world.time(), 1, n, a.Renewed, sent.Add(sessionUse)))
		}
		h.world.after(renewInterval, func() { h.renewing = false })
	})
}

// play runs one seed: faults for a while, then calm until all jobs have ended.
func play(seed uint64) error {
	w := newWorld(seed)
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
	w.disturb()
	w.run(4 * time.Second)
	w.calm = true
	w.run(60 * time.Second)
	if w.err != nil {
		return w.err
	}
	return w.end()
}

// end verifies that all jobs are there, have ended and count alike on all replicas.
func (w *world) end() error {
	if len(w.accepted) != keys {
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
	w.read()
	return w.err
}

func TestRandomisedRuns(t *testing.T) {
	const lanes = 4
	for n := range uint64(lanes) {
		t.Run(fmt.Sprintf("lane %d", n), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			for s := *firstSeed + n; s < *firstSeed+*seeds; s += lanes {
				if err := play(s); err != nil {
					t.Logf("seed %d", s)
					is.NoErr(err)
				}
			}
		})
	}
}
