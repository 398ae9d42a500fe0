package joined

import (
	"fmt"
	"slices"
	"time"

	duration1 "siskinrun/internal/base/duration"
	"siskinrun/internal/data/upstream"
)

const heartbeat = time.Second

// fakeUpstream announces itself, leaves, dies and comes back.
type fakeUpstream struct {
	w           *world
	name        string
	incarnation uint64
	dead        bool
	leaving     bool
	told        int
}

func newFakeUpstream(w *world, i int) *fakeUpstream {
	f := &fakeUpstream{w: w, name: fmt.Sprint("u", i), incarnation: 1}
	f.tick()
	return f
}

func (f *fakeUpstream) announcement() upstream.Upstream {
	return upstream.Upstream{
		Name: f.name, Address: "10.0.0.1:" + f.name, Kind: upstream.Engine, Service: "s",
		Slots: 16, Incarnation: f.incarnation, Models: []string{"m@1"},
	}
}

// reachable returns a random live host on the side of the majority.
func (w *world) reachable(c class) *host {
	i := w.randoms[c].IntN(hostCount)
	for n := range hostCount {
		h := w.hosts[(i+n)%hostCount]
		if !h.dead && !h.cut {
			return h
		}
	}
	return nil
}

func (f *fakeUpstream) tick() {
	w := f.w
	w.after(heartbeat/4, f.tick)
	if f.dead {
		return
	}
	if f.leaving {
		f.tell()
		return
	}
	if h := w.reachable(losses); h != nil && !w.lost() {
		u := f.announcement()
		h.after(w.delay(), func() { h.members.Announce(h.now(), u) })
		if w.chance(leaves, 3) {
			f.late(u)
		}
	}
	switch {
	case w.chance(leaves, 2):
		f.leave()
	case w.chance(leaves, 1):
		f.die(time.Second)
	}
}

// late sends an announcement a second time, long after the first.
func (f *fakeUpstream) late(u upstream.Upstream) {
	w := f.w
	age := time.Duration(w.randoms[leaves].Int64N(int64(8 * time.Second)))
	w.after(age, func() {
		if h := w.reachable(leaves); h != nil {
			u.Age = duration1.Duration(age)
			h.members.Announce(h.now(), u)
		}
	})
}

// leave begins to tell hosts that this incarnation ends.
func (f *fakeUpstream) leave() {
	f.leaving = true
	f.told = 0
	f.w.note(f.name, "incarnation %d leaves", f.incarnation)
	f.tell()
}

func (f *fakeUpstream) tell() {
	w := f.w
	h := w.reachable(leaves)
	if h == nil {
		return
	}
	if w.wrong != ignoreLeave {
		h.members.Leave(h.now(), f.name, f.incarnation)
	}
	w.note(f.name, "tells %s that incarnation %d leaves", h.name, f.incarnation)
	f.told++
	k := fmt.Sprint(f.name, "/", f.incarnation)
	if _, ok := w.left[k]; !ok {
		w.left[k] = w.now
		w.tally["left"]++
	}
	if f.told == 16 {
		f.die(500 * time.Millisecond)
	}
}

// die ends the incarnation; the next one begins after a while.
func (f *fakeUpstream) die(down time.Duration) {
	f.dead = true
	f.w.note(f.name, "incarnation %d dies", f.incarnation)
	f.w.after(down, func() {
		f.dead = false
		f.leaving = false
		f.incarnation++
		f.w.note(f.name, "incarnation %d begins", f.incarnation)
	})
}

// push sends urgent news and takes in what has changed.
func (h *host) push() {
	w := h.w
	if n, ok := h.members.TakeUrgent(h.now()); ok {
		for _, p := range h.members.RandomPeers(4, "") {
			t := w.named(p)
			if !h.reaches(t) || w.lost() {
				continue
			}
			t.after(time.Millisecond, func() { t.members.ApplyPush(t.now(), n) })
		}
	}
	h.refresh()
}

// refresh tells the chooser and the yielder what the membership says.
func (h *host) refresh() {
	n := h.now()
	l := h.members.Upstreams(n)
	h.choose.SetUpstreams(l, n)
	now := map[string]bool{}
	for _, u := range l {
		if !u.Leaving {
			now[u.Name] = true
			h.yield.SetEngine(u.Name, u.Slots, n)
		}
	}
	for u := range h.watched {
		if !now[u] {
			h.yield.RemoveEngine(u)
		}
	}
	h.watched = now
	for _, u := range slices.Sorted(slices.Values(h.members.TakeChangedLoads())) {
		h.choose.SetPeerRequests(u, h.members.PeersInFlight(u), n)
		if now[u] {
			h.worker.yield(u, h.yield.SetPeerOnline(u, h.members.PeersInFlight(u), n))
		}
	}
}

func (w *world) named(n string) *host {
	for _, h := range w.hosts {
		if h.name == n {
			return h
		}
	}
	return nil
}

// question asks peers for their news and judges those that do not answer.
func (h *host) question() {
	h.members.Prune(h.now())
	for _, p := range h.members.Targets() {
		if h.inquire(p) {
			continue
		}
		known := !h.members.Alive(p)
		h.members.Suspect(p)
		if known {
			continue
		}
		vouched := false
		for _, o := range h.members.RandomPeers(3, p) {
			t := h.w.named(o)
			vouched = vouched || h.reaches(t) && t.inquire(p)
		}
		if vouched {
			h.members.MarkAlive(p)
			continue
		}
		h.members.DeclareDead(p)
	}
}

func (h *host) inquire(name string) bool {
	w := h.w
	p := w.named(name)
	if !h.reaches(p) || w.lost() {
		return false
	}
	q := h.members.Digest()
	p.members.MarkAlive(h.name)
	a := p.members.Answer(p.now(), q)
	if w.lost() {
		return false
	}
	h.members.MarkAlive(name)
	h.members.ApplyAnswer(h.now(), h.now().Add(-time.Millisecond), a)
	h.refresh()
	return true
}
