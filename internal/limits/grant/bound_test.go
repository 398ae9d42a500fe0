package grant

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var seeds = flag.Int("seeds", 1000, "number of random schedules")

const (
	// electionTime is the longest time in which the replicas elect a new leader in a single round of votes.
	electionTime = 1100 * time.Millisecond
)

// simulate runs a fleet through a random schedule of load, message loss, partitions, elections and changed limits.
func simulate(seed uint64, wrong fault) *fleet {
	f := newFleetOf(seed, 5, 1+2*int(seed%2), 200, 100)
	f.fault = wrong
	f.lossy = true
	r := f.random
	f.cost = func() int64 { return 1 + r.Int64N(10) }
	load := 1.0
	var phase func()
	phase = func() {
		load = []float64{0.05, 0.8, 2, 30}[r.IntN(4)]
		f.after(200*time.Millisecond+time.Duration(r.Int64N(int64(800*time.Millisecond))), phase)
	}
	phase()
	var arrive func()
	arrive = func() {
		h := f.hosts[min(r.IntN(5), r.IntN(5))]
		if !h.dead {
			f.request(h)
		}
		f.after(time.Duration(r.ExpFloat64()/load/40*float64(time.Second)), arrive)
	}
	f.after(0, arrive)
	end := 5 * time.Second
	for t := time.Second; t < end; t += 700*time.Millisecond + time.Duration(r.Int64N(int64(1500*time.Millisecond))) {
		f.after(t, f.disturb)
	}
	f.run(end)
	for _, h := range f.hosts {
		for _, b := range h.limiter.owners[0].buckets {
			if err := b.Check(); err != nil && f.err == nil {
				f.err = err
			}
		}
		if err := h.limiter.limiterFor(testTeam).takeViolation(); err != nil && f.err == nil {
			f.err = err
		}
	}
	return f
}

// disturb changes the limits, starts or ends a partition, or hands the leadership over.
func (f *fleet) disturb() {
	r := f.random
	switch r.IntN(2*min(f.domains, 2) + 2) {
	case 0:
		f.limit(20+r.Int64N(500), 10+r.Int64N(600), 200*time.Millisecond)
	case 1:
		f.isolate(time.Duration(r.Int64N(int64(500 * time.Millisecond))))
	case 2:
		f.heal()
	case 3:
		f.hosts[f.leader].lead.Until = f.hosts[f.leader].local(f.now)
		f.elect((f.leader + 1) % len(f.hosts))
	case 4:
		h := f.hosts[r.IntN(len(f.hosts))]
		h.deaf = !h.deaf
	case 5:
		f.cutOff(f.random.IntN(f.domains), time.Duration(r.Int64N(int64(3*time.Second))))
	}
}

func TestAdmittedStaysWithinRateAndBurst(t *testing.T) {
	const parts = 5
	for p := range parts {
		t.Run(fmt.Sprint("part-", p), func(t *testing.T) {
			t.Parallel()
			admitted, n := 0, *seeds/parts
			for i := range n {
				seed := uint64(p*n + i)
				f := simulate(seed, noFault)
				if f.err != nil {
					t.Fatalf("seed %d: %v", seed, f.err)
				}
				admitted += len(f.waited)
			}
			t.Logf("%d runs, %d admitted", n, admitted)
			is.New(t).True(admitted > n*50)
		})
	}
}

func TestInjectedFaultsAreCaught(t *testing.T) {
	for wrong, name := range map[fault]string{
		forgetOutstanding: "forget-outstanding",
		unfencedOldOwner:  "unfenced-old-owner",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := 0
			for seed := range uint64(150) {
				if simulate(seed, wrong).err != nil {
					n++
				}
			}
			t.Logf("caught in %d of 150 runs", n)
			is.New(t).True(n > 0)
		})
	}
}

// runUnevenLoad runs a team at 90 % of its rate, unevenly spread over nine hosts, with at most one change of owner.
// It returns the refused fraction of its requests.
func runUnevenLoad(seed uint64, burst int64, disruption string) (f *fleet, refused float64) {
	f = newFleet(seed, 9, 1000, burst)
	f.cost = func() int64 { return 5 }
	r := f.random
	var arrive func()
	arrive = func() {
		i := min(r.IntN(9), r.IntN(9), r.IntN(9))
		for f.hosts[i].dead {
			i = min(r.IntN(9), r.IntN(9), r.IntN(9))
		}
		f.request(f.hosts[i])
		f.after(time.Duration(r.ExpFloat64()/180*float64(time.Second)), arrive)
	}
	f.after(4*time.Second, arrive)
	switch disruption {
	case "crash":
		f.after(24*time.Second, func() { f.crash(electionTime) })
	case "handover":
		f.after(24*time.Second, func() {
			f.hosts[f.leader].lead.Leading = false
			f.after(20*time.Millisecond, func() { f.elect(1) })
		})
	}
	f.run(64 * time.Second)
	for _, n := range f.refused {
		refused += float64(n)
	}
	return f, refused / float64(f.asked)
}

func TestFewRefusalsWithinTheRate(t *testing.T) {
	for _, c := range []struct {
		burst      int64
		disruption string
		maxRefused float64
	}{
		{1000, "none", 0.001},
		{2000, "none", 0.001},
		{1000, "handover", 0.001},
		{1000, "crash", 0.02},
		{2000, "crash", 0.02},
	} {
		t.Run(fmt.Sprint(c.burst, "-", c.disruption), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			worst := 0.0
			for seed := range uint64(5) {
				f, s := runUnevenLoad(seed, c.burst, c.disruption)
				is.NoErr(f.err)
				t.Logf("seed %d: %d asked, %.4f%% refused %v", seed, f.asked, 100*s, f.refused)
				worst = max(worst, s)
			}
			is.True(worst < c.maxRefused)
		})
	}
}
