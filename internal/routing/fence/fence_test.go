package fence_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/routing/fence"
)

var start = time.Unix(1000, 0)

func TestWhenOrdersMayBeSent(t *testing.T) {
	for _, c := range []struct {
		name   string
		checks bool
		after  time.Duration
		read   bool
		want   bool
	}{
		{"checking engine at once", true, 0, true, true},
		{"checking engine, not read", true, 0, false, false},
		{"other engine too early", false, 14 * time.Second, true, false},
		{"other engine", false, 15 * time.Second, true, true},
		{"other engine, not read", false, 15 * time.Second, false, false},
		{"after the lease", false, 30 * time.Second, true, false},
		{"checking engine after the lease", true, 30 * time.Second, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := fence.NewFence(c.checks)
			f.MaxOrderDelay = 10 * time.Second
			f.Granted(7, start.Add(30*time.Second), start.Add(5*time.Second))
			now := start.Add(c.after)
			if f.BeginRead(now) && c.read {
				f.EndRead(now)
			}
			n, ok := f.Order(now)
			is.Equal(ok, c.want)
			is.Equal(n == 7, c.want)
			is.NoErr(f.Check())
		})
	}
}

func TestReadIsInvalidAfterRestartLossAndLateAnswer(t *testing.T) {
	is := is.New(t)
	f := fence.NewFence(true)
	f.Granted(1, start.Add(time.Minute), start)
	is.True(f.BeginRead(start))
	f.Restarted()
	f.EndRead(start) // the answer from before the restart
	_, ok := f.Order(start)
	is.True(!ok)
	is.True(f.BeginRead(start.Add(1)))
	f.EndRead(start.Add(1))
	_, ok = f.Order(start.Add(1))
	is.True(ok)
	f.Granted(2, start.Add(time.Minute), start)
	_, ok = f.Order(start.Add(1))
	is.True(!ok)
	f.Granted(1, start.Add(time.Hour), start) // an older lease
	f.Renewed(1, start.Add(time.Hour))
	is.True(f.BeginRead(start.Add(2)))
	f.EndRead(start.Add(2))
	_, ok = f.Order(start.Add(time.Minute))
	is.True(!ok)
	f.Renewed(2, start.Add(2*time.Minute))
	_, ok = f.Order(start.Add(time.Minute))
	is.True(ok)
	f.Lost()
	_, ok = f.Order(start.Add(time.Minute))
	is.True(!ok)
}

const (
	lease         = 10 * time.Second
	maxOrderDelay = 8 * time.Second
	tick          = 500 * time.Millisecond
	holders       = 3
)

// inFlightOrder is an order on its way to an engine.
type inFlightOrder struct {
	token uint64
	at    time.Time
}

// TestOrdersTakeEffectInTokenOrder guards against an order of a former holder that takes effect after one of its
// successor: holders with skewed clocks lose their leases unnoticed, and the engine ignores fencing tokens.
func TestOrdersTakeEffectInTokenOrder(t *testing.T) {
	applied, changes := 0, 0
	for seed := range uint64(1000) {
		is := is.New(t)
		r := rand.New(rand.NewPCG(seed, 1))
		var fences [holders]*fence.Fence
		var skew [holders]time.Duration
		for i := range fences {
			fences[i] = fence.NewFence(false)
			fences[i].MaxOrderDelay = maxOrderDelay
			skew[i] = time.Duration(r.IntN(2000)-1000) * time.Second
		}
		var token, highest uint64
		var leaseEnd time.Time // when the last lease ends by the clock of its granter
		holder := 0
		var inFlight []inFlightOrder
		for s := range 300 {
			now := start.Add(time.Duration(s) * tick)
			switch r.IntN(12) {
			case 0: // the holder is partitioned; another takes over after the lease has ended, or earlier if told of its end
				if now.Before(leaseEnd.Add(-lease / 2)) {
					break
				}
				holder = r.IntN(holders)
				token++
				changes++
				local := now.Add(skew[holder])
				former := leaseEnd.Add(skew[holder])
				if former.Before(local) {
					former = local
				}
				leaseEnd = now.Add(lease)
				if former.After(local) {
					leaseEnd = former.Add(-skew[holder]).Add(lease)
				}
				fences[holder].Granted(token, leaseEnd.Add(skew[holder]), former)
			case 1, 2, 3:
				if token > 0 && now.Before(leaseEnd) {
					if e := now.Add(lease); e.After(leaseEnd) {
						leaseEnd = e
					}
					fences[holder].Renewed(token, leaseEnd.Add(skew[holder]))
				}
			}
			for i, f := range fences {
				local := now.Add(skew[i])
				if f.BeginRead(local) && r.IntN(3) > 0 {
					f.EndRead(local)
				}
				if n, ok := f.Order(local); ok {
					inFlight = append(inFlight, inFlightOrder{n, now.Add(time.Duration(r.Int64N(int64(maxOrderDelay))))})
				}
				is.NoErr(f.Check())
			}
			rest := inFlight[:0]
			for _, o := range inFlight {
				if o.at.After(now) {
					rest = append(rest, o)
					continue
				}
				applied++
				if o.token < highest {
					t.Fatalf("seed %d: order with token %d took effect after one with token %d", seed, o.token, highest)
				}
				highest = max(highest, o.token)
			}
			inFlight = rest
		}
	}
	is := is.New(t)
	is.True(applied > 1000)
	is.True(changes > 1000)
}
