package configcache

import (
	"fmt"
	"math/rand/v2"
	"time"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/config/change"
	"siskinrun/internal/config/configstore"
	"siskinrun/internal/config/peerselection"
	"siskinrun/internal/config/update"
	"siskinrun/internal/data/key"
	"siskinrun/internal/data/team"
)

const (
	lease    = 4 * time.Second
	runFor   = 40 * time.Second
	maxDelay = 3 * time.Second
)

// applyFunc is how a simulated host applies an answer; faulty ones replace Cache.ApplyUpdate.
type applyFunc func(v *Cache, now, sent time.Time, a *update.Update) error

func applyCorrectly(v *Cache, now, sent time.Time, a *update.Update) error {
	return v.ApplyUpdate(now, sent, a)
}

// host is a simulated host with its own clock.
type host struct {
	name          string
	control       bool
	rate          float64 // seconds of its clock per second
	cache         *Cache
	selector      *peerselection.Selector
	isolated      bool
	lastPublished uint64
	incarnation   int // number of starts
}

// fleet is a simulated fleet with one store in place of a quorum.
type fleet struct {
	random      *rand.Rand
	timer       *timer.Service
	start       time.Time
	store       *configstore.Store
	madeAt      []time.Time // when each version was made
	hosts       map[string]*host
	names       []string
	domains     map[string]string
	control     []string
	apply       applyFunc
	err         error
	freshChecks int
	checks      int
}

func newFleet(seed uint64, apply applyFunc) *fleet {
	f := &fleet{
		random:  rand.New(rand.NewPCG(seed, 7)),
		start:   time.Unix(1, 0),
		store:   configstore.NewStore(),
		hosts:   map[string]*host{},
		domains: map[string]string{},
		apply:   apply,
	}
	f.timer = timer.NewManual(f.start)
	f.madeAt = []time.Time{f.start}
	for _, d := range []string{"a", "b", "c"} {
		for i := range 3 {
			n := fmt.Sprint(d, i)
			f.names = append(f.names, n)
			f.domains[n] = d
			if i == 2 {
				f.control = append(f.control, n)
			}
			f.hosts[n] = &host{name: n, control: i == 2, rate: 1 + (f.random.Float64()-0.5)/1000}
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
	h.incarnation++
	h.lastPublished = 0
	h.cache = NewCache(f.clock(h), lease)
	h.selector = peerselection.NewSelector(h.name, f.domains, f.control)
}

func (f *fleet) delay() time.Duration {
	if f.random.IntN(8) > 0 {
		return time.Duration(f.random.Int64N(int64(20 * time.Millisecond)))
	}
	return time.Duration(f.random.Int64N(int64(maxDelay)))
}

// send delivers a message after a delay, and may lose or duplicate it.
func (f *fleet) send(from, to *host, deliver func()) {
	if f.random.IntN(20) == 0 {
		return
	}
	for range 1 + f.random.IntN(8)/7 {
		f.timer.After(f.delay(), func(time.Time) {
			if !from.isolated && !to.isolated {
				deliver()
			}
		})
	}
}

func (f *fleet) ask(h, peer *host) {
	sent, incarnation, version := f.clock(h), h.incarnation, h.cache.HeldVersion()
	f.send(h, peer, func() {
		arrived := f.clock(peer)
		f.timer.After(f.delay()/8, func(time.Time) {
			n := f.clock(peer)
			a, err := peer.cache.Answer(n, version, n.Sub(arrived))
			if err != nil {
				f.err = err
				return
			}
			f.send(peer, h, func() {
				if h.incarnation == incarnation {
					_ = f.apply(h.cache, f.clock(h), sent, a)
					f.check(h)
				}
			})
		})
	})
}

// confirm asks the quorum, which any host that is not isolated can reach.
func (f *fleet) confirm(h *host) {
	sent, incarnation := f.clock(h), h.incarnation
	f.send(h, h, func() {
		if h.incarnation == incarnation {
			f.recordError(h.cache.Confirm(f.clock(h), sent, f.store.View()))
		}
	})
}

func (f *fleet) recordError(err error) {
	if err != nil && f.err == nil {
		f.err = err
	}
}

func (f *fleet) step(h *host) {
	switch f.random.IntN(60) {
	case 0:
		f.restart(h)
	case 1:
		h.isolated = true
	case 2, 3, 4:
		h.isolated = false
	}
	if h.control {
		f.confirm(h)
		return
	}
	for _, p := range h.selector.Next(f.clock(h)) {
		f.ask(h, f.hosts[p])
		if f.random.IntN(4) == 0 {
			h.selector.MarkFailed(f.clock(h), p)
		}
	}
	f.check(h)
}

// check makes sure that a host never goes back in versions, and that a fresh one serves no version that was replaced more than a lease ago.
func (f *fleet) check(h *host) {
	now := f.timer.Now()
	p := h.cache.Published().Version
	if p < h.lastPublished {
		f.recordError(fmt.Errorf("%v %s: version %d after %d", now.Sub(f.start), h.name, p, h.lastPublished))
	}
	h.lastPublished = p
	f.checks++
	if !f.clock(h).Before(h.cache.LeaseEnd()) {
		return
	}
	f.freshChecks++
	for v, t := range f.madeAt {
		if uint64(v) > p && now.Sub(t) > lease+lease/500 {
			f.recordError(fmt.Errorf("%v %s: fresh at version %d although version %d is older than the lease", now.Sub(f.start), h.name, p, v))
		}
	}
	f.checkKeys(h)
}

// checkKeys makes sure that a fresh host admits no key that was withdrawn more than a lease ago.
func (f *fleet) checkKeys(h *host) {
	for k := range h.cache.Published().Keys {
		if _, ok := f.store.View().Keys[k]; ok {
			continue
		}
		withdrawnAt := f.madeAt[len(f.madeAt)-1]
		for _, r := range f.store.Versions(len(f.madeAt)) {
			if r.Kind == change.WithdrawKey && len(r.Fields) > 0 && r.Fields[0] == "keys."+k {
				withdrawnAt = f.madeAt[r.Version]
				break
			}
		}
		if age := f.timer.Now().Sub(withdrawnAt); age > lease+lease/500 {
			f.recordError(fmt.Errorf("%s: admits key %s, withdrawn %v ago", h.name, k, age))
		}
	}
}

func (f *fleet) proposeChange(time.Time) {
	v := f.store.View()
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
	f.recordError(err)
	f.store.Apply(0, b)
	for uint64(len(f.madeAt)) <= f.store.View().Version {
		f.madeAt = append(f.madeAt, f.timer.Now())
	}
}

func (f *fleet) run() error {
	for _, n := range f.names {
		h := f.hosts[n]
		f.timer.Every(400*time.Millisecond+time.Duration(f.random.Int64N(int64(200*time.Millisecond))), func(time.Time) { f.step(h) })
	}
	f.timer.Every(1700*time.Millisecond, f.proposeChange)
	for range runFor / time.Second {
		f.timer.Advance(time.Second)
		if f.err != nil {
			return f.err
		}
	}
	return nil
}
