package joined

import (
	"fmt"
	"slices"
	"time"

	"siskinrun/internal/config/configcache"
	"siskinrun/internal/fleet/membership"
	"siskinrun/internal/limits/allowance"
	"siskinrun/internal/routing/batchlimit"
	"siskinrun/internal/routing/picker"
	"siskinrun/internal/routing/retry"
)

const (
	configurationLease = 4 * time.Second
	gossipStep         = 100 * time.Millisecond
	gossipPeriod       = 200 * time.Millisecond
	leadLease          = time.Second
)

// host is one run of a host; a restart makes another.
type host struct {
	w     *world
	index int
	name  string
	boot  uint64
	drift int64
	dead  bool
	cut   bool
	// began is when this run started, in true time.
	began   time.Time
	members *membership.Membership
	choose  *picker.Picker
	yield   *batchlimit.Limiter
	retry   *retry.Budget
	view    *configcache.Cache
	watched map[string]bool

	allowances map[string]*allowance.Allowance
	term       uint64
	asking     map[string]bool
	waiting    []*call
	owner      *owner

	version uint64
	known   map[string]string
	worker  *worker
}

func hostName(i int) string { return fmt.Sprint("h", i) }

// restart begins a run of a host that knows nothing.
func (w *world) restart(i int) {
	w.boots[i]++
	var peers []string
	for j := range hostCount {
		peers = append(peers, hostName(j))
	}
	r := w.randoms[crashes]
	h := &host{
		w: w, began: w.now, index: i, name: hostName(i), boot: w.boots[i], drift: int64(i-2) * 200,
		allowances: map[string]*allowance.Allowance{}, asking: map[string]bool{},
		known: map[string]string{}, watched: map[string]bool{},
	}
	h.members = membership.NewMembership(h.name, fmt.Sprint("d", i%3), h.boot, peers, r.Uint64())
	h.choose = picker.NewPicker(r.Uint64())
	h.yield = batchlimit.NewLimiter()
	h.retry = retry.NewBudget()
	h.view = configcache.NewCache(h.now(), configurationLease)
	h.worker = newWorker(h)
	w.hosts[i] = h
	w.note("fleet", "%s starts, run %d", h.name, h.boot)
	h.every(askInterval, h.rates)
	h.every(gossipStep, h.push)
	h.every(gossipPeriod, h.question)
	h.every(200*time.Millisecond, h.follow)
	h.every(15*time.Millisecond, h.arrive)
	h.every(60*time.Millisecond, h.worker.tick)
}

// now returns the time on the host's own clock.
func (h *host) now() time.Time {
	d := h.w.now.Sub(h.w.start)
	return h.w.start.Add(d + d*time.Duration(h.drift)/1_000_000)
}

func (h *host) every(d time.Duration, do func()) {
	h.after(time.Duration(h.w.randoms[losses].Int64N(int64(d))), func() {
		do()
		h.again(d, do)
	})
}

func (h *host) again(d time.Duration, do func()) {
	h.after(d, func() {
		do()
		h.again(d, do)
	})
}

// after does something later unless this run has ended by then.
func (h *host) after(d time.Duration, do func()) {
	h.w.after(d, func() {
		if !h.dead {
			do()
		}
	})
}

// reaches reports whether a message gets from one live host to another.
func (h *host) reaches(o *host) bool {
	return !h.dead && !o.dead && h.cut == o.cut
}

// crash ends a run of a host and its calls, whose callers cannot know whether they ran.
func (w *world) crash(i int, down time.Duration) {
	h := w.hosts[i]
	if h.dead {
		return
	}
	h.dead = true
	w.note("fleet", "%s crashes", h.name)
	for _, c := range w.calls {
		if c.host == h && c.exits == 0 {
			c.abandon()
		}
	}
	w.after(down, func() { w.restart(i) })
	if i == w.leader {
		w.succeed(leadLease)
	}
}

// cut parts some hosts from the others, which have the majority.
func (w *world) cut() {
	r := w.randoms[cuts]
	w.disturbed = w.now
	a, b := r.IntN(hostCount), r.IntN(hostCount)
	for i, h := range w.hosts {
		h.cut = i == a || i == b
	}
	w.note("fleet", "h%d and h%d are cut off", a, b)
	if w.hosts[w.leader].cut {
		w.succeed(leadLease)
	}
}

func (w *world) heal() {
	if !slices.ContainsFunc(w.hosts, func(h *host) bool { return h.cut }) {
		return
	}
	w.disturbed = w.now
	w.note("fleet", "the network heals")
	for _, h := range w.hosts {
		h.cut = false
	}
}

// check asks every decision package of the host whether it contradicts itself.
func (h *host) check() {
	if h.dead {
		return
	}
	h.w.check(h.name, h.members.CheckInvariants())
	h.w.check(h.name, h.choose.Check())
	if h.owner != nil {
		h.owner.check()
	}
	v := h.view.Published().Version
	if v < h.version {
		h.w.fail(h.name, "version %d after %d", v, h.version)
	}
	h.version = v
}
