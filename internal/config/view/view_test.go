package view

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/config/bulletin"
	"siskinrun/internal/config/change"
	"siskinrun/internal/config/register"
	"siskinrun/internal/config/source"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/key"
	"siskinrun/internal/data/team"
)

const (
	lease    = 4 * time.Second
	runFor   = 40 * time.Second
	maxDelay = 3 * time.Second
)

var seeds = flag.Uint64("seeds", 1000, "number of seeded runs")

// fault replaces what a host does with an answer that it got.
type fault func(v *View, now, asked time.Time, a *bulletin.Bulletin) error

func honest(v *View, now, asked time.Time, a *bulletin.Bulletin) error {
	return v.Learn(now, asked, a)
}

// host is one simulated host with a clock of its own.
type host struct {
	name   string
	disk   bool
	rate   float64
	view   *View
	source *source.Source
	cut    bool
	last   uint64
	lives  int
}

// fleet is a simulated fleet around one register that stands for the quorum.
type fleet struct {
	random   *rand.Rand
	timer    *timer.Service
	start    time.Time
	register *register.Register
	made     []time.Time
	hosts    map[string]*host
	names    []string
	domains  map[string]string
	control  []string
	learn    fault
	err      error
	fresh    int
	turns    int
}

func newFleet(seed uint64, learn fault) *fleet {
	f := &fleet{
		random:   rand.New(rand.NewPCG(seed, 7)),
		start:    time.Unix(1, 0),
		register: register.NewRegister(),
		hosts:    map[string]*host{},
		domains:  map[string]string{},
		learn:    learn,
	}
	f.timer = timer.NewManual(f.start)
	f.made = []time.Time{f.start}
	for _, d := range []string{"a", "b", "c"} {
		for i := range 3 {
			n := fmt.Sprint(d, i)
			f.names = append(f.names, n)
			f.domains[n] = d
			if i == 2 {
				f.control = append(f.control, n)
			}
			f.hosts[n] = &host{name: n, disk: i == 2, rate: 1 + (f.random.Float64()-0.5)/1000}
		}
	}
	for _, n := range f.names {
		f.restart(f.hosts[n])
	}
	return f
}

func (f *fleet) clock(h *host) time.Time {
	return f.start.Add(time.Duration(float64(f.timer.Now().Sub(f.start)) * h.rate))
}

func (f *fleet) restart(h *host) {
	h.lives++
	h.last = 0
	h.view = NewView(f.clock(h), lease)
	h.source = source.NewSource(h.name, f.domains, f.control)
}

func (f *fleet) delay() time.Duration {
	if f.random.IntN(8) > 0 {
		return time.Duration(f.random.Int64N(int64(20 * time.Millisecond)))
	}
	return time.Duration(f.random.Int64N(int64(maxDelay)))
}

// send delivers a message after a delay, perhaps never and perhaps twice.
func (f *fleet) send(from, to *host, deliver func()) {
	if f.random.IntN(20) == 0 {
		return
	}
	for range 1 + f.random.IntN(8)/7 {
		f.timer.After(f.delay(), func(time.Time) {
			if !from.cut && !to.cut {
				deliver()
			}
		})
	}
}

func (f *fleet) ask(h, peer *host) {
	asked, life, version := f.clock(h), h.lives, h.view.Held()
	f.send(h, peer, func() {
		came := f.clock(peer)
		f.timer.After(f.delay()/8, func(time.Time) {
			n := f.clock(peer)
			a, err := peer.view.Answer(n, version, n.Sub(came))
			if err != nil {
				f.err = err
				return
			}
			f.send(peer, h, func() {
				if h.lives == life {
					_ = f.learn(h.view, f.clock(h), asked, a)
					f.check(h)
				}
			})
		})
	})
}

// confirm asks the quorum, which any host that is not cut off can reach.
func (f *fleet) confirm(h *host) {
	sent, life := f.clock(h), h.lives
	f.send(h, h, func() {
		if h.lives == life {
			f.note(h.view.Confirm(f.clock(h), sent, f.register.View()))
		}
	})
}

func (f *fleet) note(err error) {
	if err != nil && f.err == nil {
		f.err = err
	}
}

func (f *fleet) turn(h *host) {
	switch f.random.IntN(60) {
	case 0:
		f.restart(h)
	case 1:
		h.cut = true
	case 2, 3, 4:
		h.cut = false
	}
	if h.disk {
		f.confirm(h)
		return
	}
	for _, p := range h.source.Next(f.clock(h)) {
		f.ask(h, f.hosts[p])
		if f.random.IntN(4) == 0 {
			h.source.Fail(f.clock(h), p)
		}
	}
	f.check(h)
}

// check compares what a host serves with what the quorum had acknowledged a lease ago.
func (f *fleet) check(h *host) {
	now := f.timer.Now()
	p := h.view.Published().Version
	if p < h.last {
		f.note(fmt.Errorf("%v %s: version %d after %d", now.Sub(f.start), h.name, p, h.last))
	}
	h.last = p
	f.turns++
	if !f.clock(h).Before(h.view.Until()) {
		return
	}
	f.fresh++
	for v, t := range f.made {
		if uint64(v) > p && now.Sub(t) > lease+lease/500 {
			f.note(fmt.Errorf("%v %s: fresh at version %d although %d is older than the lease", now.Sub(f.start), h.name, p, v))
		}
	}
	f.checkKeys(h)
}

// checkKeys makes sure that a fresh host admits no key that was withdrawn more than a lease ago.
func (f *fleet) checkKeys(h *host) {
	for k := range h.view.Published().Keys {
		if _, ok := f.register.View().Keys[k]; ok {
			continue
		}
		gone := f.made[len(f.made)-1]
		for _, r := range f.register.Versions(len(f.made)) {
			if r.Kind == change.WithdrawKey && len(r.Fields) > 0 && r.Fields[0] == "keys."+k {
				gone = f.made[r.Version]
				break
			}
		}
		if age := f.timer.Now().Sub(gone); age > lease+lease/500 {
			f.note(fmt.Errorf("%s: admits key %s, withdrawn %v ago", h.name, k, age))
		}
	}
}

func (f *fleet) operate(time.Time) {
	v := f.register.View()
	name := fmt.Sprint("k-", f.random.IntN(5))
	c := change.Change{ID: fmt.Sprint("change-", v.Version), Base: v.Version}
	_, granted := v.Keys[name]
	switch {
	case v.Version == 0:
		c.Kind, c.Name, c.Team = change.SetTeam, "t", &team.Team{Rate: 1, Burst: 1, Weight: 1}
	case granted:
		c.Kind, c.Name = change.WithdrawKey, name
	default:
		c.Kind = change.GrantKey
		c.Key = &key.Key{ID: name, Team: "t", Hash: key.Hash(fmt.Sprint(name, v.Version))}
	}
	b, err := c.Encode()
	f.note(err)
	f.register.Apply(0, b)
	for uint64(len(f.made)) <= f.register.View().Version {
		f.made = append(f.made, f.timer.Now())
	}
}

func (f *fleet) run() error {
	for _, n := range f.names {
		h := f.hosts[n]
		f.timer.Every(400*time.Millisecond+time.Duration(f.random.Int64N(int64(200*time.Millisecond))), func(time.Time) { f.turn(h) })
	}
	f.timer.Every(1700*time.Millisecond, f.operate)
	for range runFor / time.Second {
		f.timer.Advance(time.Second)
		if f.err != nil {
			return f.err
		}
	}
	return nil
}

func TestRandomFleets(t *testing.T) {
	fresh, turns := 0, 0
	for seed := range *seeds {
		f := newFleet(seed, honest)
		if err := f.run(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		fresh += f.fresh
		turns += f.turns
	}
	if fresh*2 < turns {
		t.Fatalf("hosts were fresh in %d of %d turns only", fresh, turns)
	}
}

func TestFaultsAreCaught(t *testing.T) {
	for name, learn := range map[string]fault{
		"age from arrival": func(v *View, now, _ time.Time, a *bulletin.Bulletin) error {
			return v.Learn(now, now, a)
		},
		"age ignored": func(v *View, now, asked time.Time, a *bulletin.Bulletin) error {
			b := *a
			b.Age = 0
			return v.Learn(now, asked, &b)
		},
		"older version accepted": func(v *View, now, asked time.Time, a *bulletin.Bulletin) error {
			v.held, v.published = &configuration.Configuration{}, &configuration.Configuration{}
			return v.Learn(now, asked, a)
		},
		"freshness without the version": func(v *View, now, asked time.Time, a *bulletin.Bulletin) error {
			b := *a
			b.Version, b.Deltas = 0, nil
			return v.Learn(now, asked, &b)
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(50) {
				if newFleet(seed, learn).run() != nil {
					return
				}
			}
			t.Fatal("no seed noticed the fault")
		})
	}
}

func TestOutOfOrder(t *testing.T) {
	is := is.New(t)
	n := time.Unix(1, 0)
	c := func(v uint64) *configuration.Configuration { return &configuration.Configuration{Version: v} }
	s, h := NewView(n, lease), NewView(n, lease)
	is.NoErr(s.Confirm(n, n, c(1)))
	whole, err := s.Answer(n, 0, 0)
	is.NoErr(err)
	is.NoErr(s.Confirm(n, n, c(3)))
	next, err := s.Answer(n, 1, 0)
	is.NoErr(err)
	is.True(h.Learn(n, n, next) != nil)
	is.Equal(h.Held(), uint64(0))
	is.NoErr(h.Learn(n, n, whole))
	is.NoErr(h.Learn(n, n, next))
	is.NoErr(h.Learn(n, n, whole))
	is.Equal(h.Published().Version, uint64(3))
}

func TestUnconfirmedVersionWaits(t *testing.T) {
	is := is.New(t)
	n := time.Unix(1, 0)
	s, h := NewView(n, lease), NewView(n, lease)
	is.NoErr(s.Offer(n, &configuration.Configuration{Version: 2}))
	a, err := s.Answer(n, 0, 0)
	is.NoErr(err)
	is.NoErr(h.Learn(n, n, a))
	is.Equal(h.Published().Version, uint64(0))
	n = n.Add(Settle)
	is.NoErr(h.Learn(n, n, a))
	is.Equal(h.Published().Version, uint64(2))
	is.True(h.Until().IsZero())
}

func FuzzLearn(f *testing.F) {
	f.Add([]byte(`{"from":0,"to":3,"teams":{"set":{"t":{"rate":1}}}}`), uint64(3))
	f.Add([]byte(`{"from":1,"to":2,"keys":{"removed":["k"]}}`), uint64(2))
	f.Fuzz(func(t *testing.T, b []byte, version uint64) {
		n := time.Unix(1, 0)
		v := NewView(n, lease)
		_ = v.Confirm(n, n, &configuration.Configuration{Version: 1})
		_ = v.Learn(n, n, &bulletin.Bulletin{Version: version, Confirmed: true, Deltas: [][]byte{b, b}})
		if v.Published().Version < 1 {
			t.Fatal("the version went back")
		}
	})
}
