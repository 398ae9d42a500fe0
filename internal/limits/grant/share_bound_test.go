package grant

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// overload runs three failure domains of hosts with far more requests than the rate, so that any unit that accrues twice is spent,
// while domains are cut off, hosts hear nothing, start anew, and owners are lost.
func overload(seed uint64) *fleet {
	f := newFleetOf(seed, 9, 3, 400, 100)
	f.lossy = seed%2 == 0
	f.refusedLater = float64(seed%3) / 5
	r := f.random
	var arrive func()
	arrive = func() {
		if h := f.hosts[r.IntN(9)]; !h.dead {
			f.request(h)
		}
		f.after(time.Duration(r.ExpFloat64()/1500*float64(time.Second)), arrive)
	}
	f.after(0, arrive)
	for t := 2 * time.Second; t < 14*time.Second; t += time.Duration(r.Int64N(int64(6 * time.Second))) {
		f.after(t, func() {
			switch r.IntN(5) {
			case 0:
				f.cutOff((f.leader+1+r.IntN(2))%3, 0)
			case 1:
				f.cutOff(f.leader%3, time.Duration(r.Int64N(int64(3*time.Second))))
			case 2:
				h := f.hosts[r.IntN(9)]
				h.deaf = !h.deaf
			case 3:
				f.hosts[r.IntN(9)].limiter.resign()
			case 4:
				f.heal()
			}
		})
	}
	f.run(16 * time.Second)
	return f
}

// TestSharesStayWithinRateAndBurst guards against shares of a rate that accrue at an owner and at a deputy.
func TestSharesStayWithinRateAndBurst(t *testing.T) {
	const parts = 5
	for p := range parts {
		t.Run(fmt.Sprint("part-", p), func(t *testing.T) {
			t.Parallel()
			n := *seeds / 10 / parts
			stoodIn := 0
			for i := range n {
				seed := uint64(p*n + i)
				f := overload(seed)
				if f.err != nil {
					t.Fatalf("seed %d: %v", seed, f.err)
				}
				for _, h := range f.hosts {
					if h.stoodIn {
						stoodIn++
					}
				}
			}
			is.New(t).True(stoodIn > n/2)
		})
	}
}
