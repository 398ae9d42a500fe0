package simulation

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
	pushInterval       = 100 * time.Millisecond
	pullInterval       = 200 * time.Millisecond
	leaderLease        = time.Second
)

// host is one run of a host; a restart creates another.
type host struct {
	w     *simulation
	index int
	name  string
	boot  uint64
	// driftPPM is how much faster the host's clock runs than virtual time, in parts per million.
	driftPPM    int64
	dead        bool
	partitioned bool
	// started is when this run started, in virtual time without clock drift.
	started          time.Time
	members          *membership.Membership
	picker           *picker.Picker
	batchLimiter     *batchlimit.Limiter
	retry            *retry.Budget
	cache            *configcache.Cache
	limitedUpstreams map[string]bool

	allowances map[string]*allowance.Allowance
	term       uint64
	asking     map[string]bool
	waiting    []*call
	owner      *owner

	// toldOfLeave are the upstreams that have told this host with an answer that they leave.
	toldOfLeave map[upstreamRun]bool

	version    uint64
	knownTeams map[string]string
	worker     *worker
}

// upstreamRun is one run of an upstream.
type upstreamRun struct {
	name        string
	incarnation uint64
}

func hostName(i int) string { return fmt.Sprint("h", i) }

// restart starts a host without any state.
func (w *simulation) restart(i int) {
	w.boots[i]++
	var peers []string
	for j := range hostCount {
		peers = append(peers, hostName(j))
	}
	r := w.randoms[crashes]
	h := &host{
		w: w, started: w.now, index: i, name: hostName(i), boot: w.boots[i], driftPPM: int64(i-2) * 200,
		allowances: map[string]*allowance.Allowance{}, asking: map[string]bool{},
		knownTeams: map[string]string{}, limitedUpstreams: map[string]bool{}, toldOfLeave: map[upstreamRun]bool{},
	}
	h.members = membership.NewMembership(h.name, fmt.Sprint("d", i%3), h.boot, peers, r.Uint64())
	h.picker = picker.NewPicker(r.Uint64())
	h.batchLimiter = batchlimit.NewLimiter()
	h.retry = retry.NewBudget()
	h.cache = configcache.NewCache(h.now(), configurationLease)
	h.worker = newWorker(h)
	w.hosts[i] = h
	w.logEvent("fleet", "%s starts, run %d", h.name, h.boot)
	h.every(requestInterval, h.requestRates)
	h.every(pushInterval, h.pushGossip)
	h.every(pullInterval, h.pullGossip)
	h.every(200*time.Millisecond, h.refreshConfiguration)
	h.every(15*time.Millisecond, h.arrive)
	h.every(60*time.Millisecond, h.worker.tick)
}

// now returns the time on the host's own clock.
func (h *host) now() time.Time {
	d := h.w.now.Sub(h.w.start)
	return h.w.start.Add(d + d*time.Duration(h.driftPPM)/1_000_000)
}

func (h *host) every(d time.Duration, do func()) {
	h.after(time.Duration(h.w.randoms[messageFaults].Int64N(int64(d))), func() {
		do()
		h.repeat(d, do)
	})
}

func (h *host) repeat(d time.Duration, do func()) {
	h.after(d, func() {
		do()
		h.repeat(d, do)
	})
}

// after calls do after a delay unless this run has ended by then.
func (h *host) after(d time.Duration, do func()) {
	h.w.after(d, func() {
		if !h.dead {
			do()
		}
	})
}

// canReach reports whether both hosts are alive and on the same side of the partition.
func (h *host) canReach(o *host) bool {
	return !h.dead && !o.dead && h.partitioned == o.partitioned
}

// crash ends a run of a host and its open calls; their callers cannot know whether the calls ran.
func (w *simulation) crash(i int, down time.Duration) {
	h := w.hosts[i]
	if h.dead {
		return
	}
	h.dead = true
	w.logEvent("fleet", "%s crashes", h.name)
	for _, c := range w.calls {
		if c.host == h && c.verdicts == 0 {
			c.abandon()
		}
	}
	w.after(down, func() { w.restart(i) })
	if i == w.leader {
		w.electAfter(leaderLease)
	}
}

// partition partitions one or two hosts from the others, which keep the majority.
func (w *simulation) partition() {
	r := w.randoms[partitions]
	w.partitionChanged = w.now
	a, b := r.IntN(hostCount), r.IntN(hostCount)
	for i, h := range w.hosts {
		h.partitioned = i == a || i == b
	}
	w.logEvent("fleet", "h%d and h%d are partitioned off", a, b)
	if w.hosts[w.leader].partitioned {
		w.electAfter(leaderLease)
	}
}

func (w *simulation) heal() {
	if !slices.ContainsFunc(w.hosts, func(h *host) bool { return h.partitioned }) {
		return
	}
	w.partitionChanged = w.now
	w.logEvent("fleet", "the network heals")
	for _, h := range w.hosts {
		h.partitioned = false
	}
}

// check verifies the invariants of each decision package of the host, and that its configuration version never goes back.
func (h *host) check() {
	if h.dead {
		return
	}
	h.w.check(h.name, h.members.CheckInvariants())
	h.w.check(h.name, h.picker.Check())
	if h.owner != nil {
		h.owner.check()
	}
	v := h.cache.Published().Version
	if v < h.version {
		h.w.fail(h.name, "version %d after %d", v, h.version)
	}
	h.version = v
}
