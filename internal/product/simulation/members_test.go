package simulation

import (
	"fmt"
	"slices"
	"time"

	duration1 "siskinrun/internal/base/duration"
	"siskinrun/internal/data/upstream"
)

const heartbeat = time.Second

// fakeUpstream is a simulated upstream that announces itself, leaves, dies and restarts.
type fakeUpstream struct {
	w           *simulation
	name        string
	incarnation uint64
	dead        bool
	leaving     bool
	leavesSent  int
}

func newFakeUpstream(w *simulation, i int) *fakeUpstream {
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

// reachable returns a random live host on the majority side of the partition, or nil.
func (w *simulation) reachable(c class) *host {
	i := w.randoms[c].IntN(hostCount)
	for n := range hostCount {
		h := w.hosts[(i+n)%hostCount]
		if !h.dead && !h.partitioned {
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
		f.sendLeave()
		return
	}
	if h := w.reachable(messageFaults); h != nil && !w.lost() {
		u := f.announcement()
		h.after(w.delay(), func() { h.members.Announce(h.now(), u) })
		if w.chance(leaves, 3) {
			f.resendLate(u)
		}
	}
	switch {
	case w.chance(leaves, 2):
		f.leave()
	case w.chance(leaves, 1):
		f.die(time.Second)
	}
}

// resendLate sends an announcement a second time, up to 8 s after the first.
func (f *fakeUpstream) resendLate(u upstream.Upstream) {
	w := f.w
	age := time.Duration(w.randoms[leaves].Int64N(int64(8 * time.Second)))
	w.after(age, func() {
		if h := w.reachable(leaves); h != nil {
			u.Age = duration1.Duration(age)
			h.members.Announce(h.now(), u)
		}
	})
}

// leave starts to tell hosts that this incarnation ends.
func (f *fakeUpstream) leave() {
	f.leaving = true
	f.leavesSent = 0
	f.w.logEvent(f.name, "incarnation %d leaves", f.incarnation)
	f.sendLeave()
}

func (f *fakeUpstream) sendLeave() {
	w := f.w
	h := w.reachable(leaves)
	if h == nil {
		return
	}
	if w.injected != ignoreLeave {
		h.members.Leave(h.now(), f.name, f.incarnation)
	}
	w.logEvent(f.name, "tells %s that incarnation %d leaves", h.name, f.incarnation)
	f.leavesSent++
	k := fmt.Sprint(f.name, "/", f.incarnation)
	if _, ok := w.leftAt[k]; !ok {
		w.leftAt[k] = w.now
		w.counts["left"]++
	}
	if f.leavesSent == 16 {
		f.die(500 * time.Millisecond)
	}
}

// die ends the incarnation; the next one starts after the time down.
func (f *fakeUpstream) die(down time.Duration) {
	f.dead = true
	f.w.logEvent(f.name, "incarnation %d dies", f.incarnation)
	f.w.after(down, func() {
		f.dead = false
		f.leaving = false
		f.incarnation++
		f.w.logEvent(f.name, "incarnation %d begins", f.incarnation)
	})
}

// pushGossip sends urgent news to random peers and applies what has changed.
func (h *host) pushGossip() {
	w := h.w
	if n, ok := h.members.TakeUrgent(h.now()); ok {
		for _, p := range h.members.RandomPeers(4, "") {
			t := w.hostNamed(p)
			if !h.canReach(t) || w.lost() {
				continue
			}
			t.after(time.Millisecond, func() { t.members.ApplyPush(t.now(), n) })
		}
	}
	h.applyMembership()
}

// applyMembership applies the membership's upstreams and request counts to the picker and the batch limiter.
func (h *host) applyMembership() {
	n := h.now()
	l := h.members.Upstreams(n)
	h.picker.SetUpstreams(l, n)
	now := map[string]bool{}
	for _, u := range l {
		if !u.Leaving {
			now[u.Name] = true
			h.batchLimiter.SetEngine(u.Name, u.Slots, n)
		}
	}
	for u := range h.limitedUpstreams {
		if !now[u] {
			h.batchLimiter.RemoveEngine(u)
		}
	}
	h.limitedUpstreams = now
	for _, u := range slices.Sorted(slices.Values(h.members.TakeChangedLoads())) {
		h.picker.SetPeerRequests(u, h.members.PeersInFlight(u), n)
		if now[u] {
			h.worker.stopNewest(u, h.batchLimiter.SetPeerOnline(u, h.members.PeersInFlight(u), n))
		}
	}
}

func (w *simulation) hostNamed(n string) *host {
	for _, h := range w.hosts {
		if h.name == n {
			return h
		}
	}
	return nil
}

// pullGossip requests news from peers. A peer that answers neither this host nor any of three others is declared dead.
func (h *host) pullGossip() {
	h.members.Prune(h.now())
	for _, p := range h.members.Targets() {
		if h.pullFrom(p) {
			continue
		}
		alreadyDead := !h.members.Alive(p)
		h.members.Suspect(p)
		if alreadyDead {
			continue
		}
		confirmed := false
		for _, o := range h.members.RandomPeers(3, p) {
			t := h.w.hostNamed(o)
			confirmed = confirmed || h.canReach(t) && t.pullFrom(p)
		}
		if confirmed {
			h.members.MarkAlive(p)
			continue
		}
		h.members.DeclareDead(p)
	}
}

func (h *host) pullFrom(name string) bool {
	w := h.w
	p := w.hostNamed(name)
	if !h.canReach(p) || w.lost() {
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
	h.applyMembership()
	return true
}
