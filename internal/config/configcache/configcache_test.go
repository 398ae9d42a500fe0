package configcache

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/config/update"
	"siskinrun/internal/data/configuration"
)

var seeds = flag.Uint64("seeds", 1000, "number of seeded runs")

// Guards against hosts that go back in versions or admit withdrawn keys past their lease, with messages lost,
// late or repeated, hosts restarted or isolated, and clocks that drift.
func TestRandomFleets(t *testing.T) {
	fresh, checks := 0, 0
	for seed := range *seeds {
		f := newFleet(seed, applyCorrectly)
		if err := f.run(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		fresh += f.freshChecks
		checks += f.checks
	}
	if fresh*2 < checks {
		t.Fatalf("hosts were fresh in only %d of %d checks", fresh, checks)
	}
}

// Guards against a simulation that passes faulty caches: some seed must detect each of these faults.
func TestFaultsAreCaught(t *testing.T) {
	for name, apply := range map[string]applyFunc{
		"age counted from arrival": func(v *Cache, now, _ time.Time, a *update.Update) error {
			return v.ApplyUpdate(now, now, a)
		},
		"age ignored": func(v *Cache, now, sent time.Time, a *update.Update) error {
			b := *a
			b.Age = 0
			return v.ApplyUpdate(now, sent, &b)
		},
		"older version accepted": func(v *Cache, now, sent time.Time, a *update.Update) error {
			v.held, v.published = &configuration.Configuration{}, &configuration.Configuration{}
			return v.ApplyUpdate(now, sent, a)
		},
		"lease renewed without the version": func(v *Cache, now, sent time.Time, a *update.Update) error {
			b := *a
			b.Version, b.Deltas = 0, nil
			return v.ApplyUpdate(now, sent, &b)
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(50) {
				if newFleet(seed, apply).run() != nil {
					return
				}
			}
			t.Fatal("no seed detected the fault")
		})
	}
}

// Guards against deltas that are applied to the wrong base or twice when answers arrive out of order.
func TestOutOfOrder(t *testing.T) {
	is := is.New(t)
	n := time.Unix(1, 0)
	c := func(v uint64) *configuration.Configuration { return &configuration.Configuration{Version: v} }
	s, h := NewCache(n, lease), NewCache(n, lease)
	is.NoErr(s.Confirm(n, n, c(1)))
	whole, err := s.Answer(n, 0, 0)
	is.NoErr(err)
	is.NoErr(s.Confirm(n, n, c(3)))
	next, err := s.Answer(n, 1, 0)
	is.NoErr(err)
	is.True(h.ApplyUpdate(n, n, next) != nil)
	is.Equal(h.HeldVersion(), uint64(0))
	is.NoErr(h.ApplyUpdate(n, n, whole))
	is.NoErr(h.ApplyUpdate(n, n, next))
	is.NoErr(h.ApplyUpdate(n, n, whole))
	is.Equal(h.Published().Version, uint64(3))
}

// Guards against a host that serves an unconfirmed version before StartupDelay has passed.
func TestUnconfirmedVersionWaits(t *testing.T) {
	is := is.New(t)
	n := time.Unix(1, 0)
	s, h := NewCache(n, lease), NewCache(n, lease)
	is.NoErr(s.ApplyLocal(n, &configuration.Configuration{Version: 2}))
	a, err := s.Answer(n, 0, 0)
	is.NoErr(err)
	is.NoErr(h.ApplyUpdate(n, n, a))
	is.Equal(h.Published().Version, uint64(0))
	n = n.Add(StartupDelay)
	is.NoErr(h.ApplyUpdate(n, n, a))
	is.Equal(h.Published().Version, uint64(2))
	is.True(h.LeaseEnd().IsZero())
}

// Guards against a host that, after its start, opens to upstreams on a set of evacuated failure domains that may be older than an
// acknowledged one, and against a host that waits though a version was confirmed.
func TestUnconfirmedVersionWaitsLongerWithEvacuations(t *testing.T) {
	is := is.New(t)
	n := time.Unix(1, 0)
	h, other := NewCache(n, lease), NewCache(n, lease)
	h.Delay, other.Delay = EvacuationDelay, EvacuationDelay
	c := &configuration.Configuration{Version: 2}
	is.NoErr(h.ApplyLocal(n, c))
	is.NoErr(h.ApplyLocal(n.Add(EvacuationDelay-1), c))
	is.Equal(h.Published().Version, uint64(0))
	is.NoErr(h.ApplyLocal(n.Add(EvacuationDelay), c))
	is.Equal(h.Published().Version, uint64(2))
	is.NoErr(other.Confirm(n, n, c))
	is.Equal(other.Published().Version, uint64(2))
}

func FuzzLearn(f *testing.F) {
	f.Add([]byte(`{"from":0,"to":3,"teams":{"set":{"t":{"rate":1}}}}`), uint64(3))
	f.Add([]byte(`{"from":1,"to":2,"keys":{"removed":["k"]}}`), uint64(2))
	f.Fuzz(func(t *testing.T, b []byte, version uint64) {
		n := time.Unix(1, 0)
		v := NewCache(n, lease)
		_ = v.Confirm(n, n, &configuration.Configuration{Version: 1})
		_ = v.ApplyUpdate(n, n, &update.Update{Version: version, Confirmed: true, Deltas: [][]byte{b, b}})
		if v.Published().Version < 1 {
			t.Fatal("went back to an older version")
		}
	})
}
