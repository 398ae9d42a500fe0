package grant

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// freshFor is how long a host that is cut off goes on to accept keys.
const freshFor = 3 * time.Second

// cutOff runs a team at 62 % of its rate, in steps of 0.38 and 1.87 times its mean, and cuts three of nine
// hosts off for as long as they accept keys. It returns the shares refused there and elsewhere meanwhile.
func cutOff(seed uint64, at time.Duration, leader bool) (f *fleet, inside, outside float64) {
	const rate, burst, perSecond = 58, 58 + 38, 36
	f = newFleet(seed, 9, rate, burst)
	r := f.random
	cut := false
	sent := map[bool]int{}
	lost := map[bool]int{}
	var arrive func()
	arrive = func() {
		h := f.hosts[r.IntN(9)]
		if cut {
			sent[h.side == 1]++
		}
		f.request(h)
		x := 0.383
		if f.now.Sub(time.Unix(1000, 0))%(5800*time.Millisecond) > 3400*time.Millisecond {
			x = 1.87
		}
		f.at(time.Duration(r.ExpFloat64()/(x*perSecond)*float64(time.Second)), arrive)
	}
	f.lost = func(h *fakeHost) {
		if cut {
			lost[h.side == 1]++
		}
	}
	f.at(2*time.Second, arrive)
	f.at(at, func() {
		cut = true
		first := 1
		if leader {
			first = 0
			f.hosts[0].lead.Until = f.hosts[0].local(f.now.Add(election))
			f.at(election, func() { f.elect(8) })
		}
		for _, h := range f.hosts[first : first+3] {
			h.side = 1
		}
	})
	f.run(at + freshFor)
	share := func(in bool) float64 { return float64(lost[in]) / float64(max(sent[in], 1)) }
	return f, share(true), share(false)
}

// TestHostsThatAreCutOffServeOn holds that a cut between failure domains refuses few requests within the
// rate, on either side, while keys are still accepted.
func TestHostsThatAreCutOffServeOn(t *testing.T) {
	for _, c := range []struct {
		name   string
		leader bool
	}{
		{"owner elsewhere", false},
		{"owner cut off", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var in, out float64
			const runs = 30
			for seed := range uint64(runs) {
				f, i, o := cutOff(seed, 12*time.Second+time.Duration(seed)*400*time.Millisecond, c.leader)
				is.NoErr(f.err)
				in += i / runs
				out += o / runs
			}
			t.Logf("refused: %.1f%% of the hosts that are cut off, %.1f%% elsewhere", 100*in, 100*out)
			is.True(in < 0.1)
			is.True(out < 0.02)
		})
	}
}
