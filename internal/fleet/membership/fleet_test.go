package membership_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/base/span"
	"siskinrun/internal/data/news"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/fleet/membership"
)

const (
	period = 200 * time.Millisecond
	step   = 20 * time.Millisecond
)

// fleet runs the views of many hosts in virtual time: questions each period, urgent news each step.
type fleet struct {
	random *rand.Rand
	now    time.Time
	views  []*membership.Membership
	boots  []uint64
	dead   map[int]bool
	side   map[int]int
	loss   float64
	count  traffic
	// left holds when an incarnation of an upstream was told to have ended.
	left map[string]time.Time
	// healed is when all hosts could last reach each other again.
	healed time.Time
	inc    map[string]uint64
}

// traffic counts what the hosts send.
type traffic struct {
	messages int
	news     int
	hosts    int
}

func (t *traffic) add(n news.News) {
	t.messages++
	t.news += len(n.Announcements) + len(n.Reports) + len(n.Counts)
	t.hosts += len(n.Hosts)
}

func name(i int) string { return fmt.Sprintf("h%03d", i) }

func newFleet(seed uint64, hosts int) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 3)),
		now:    time.Unix(1000, 0),
		dead:   map[int]bool{},
		side:   map[int]int{},
		left:   map[string]time.Time{},
		inc:    map[string]uint64{},
	}
	f.views = make([]*membership.Membership, hosts)
	for i := range hosts {
		f.boots = append(f.boots, 1)
		f.start(i)
	}
	return f
}

func (f *fleet) start(i int) {
	var names []string
	for j := range f.views {
		names = append(names, name(j))
	}
	f.views[i] = membership.NewMembership(name(i), fmt.Sprint("d", i%3), f.boots[i], names, f.random.Uint64())
}

func (f *fleet) index(n string) int {
	var i int
	_, _ = fmt.Sscanf(n, "h%d", &i)
	return i
}

func (f *fleet) reach(a, b int) bool {
	return !f.dead[a] && !f.dead[b] && f.side[a] == f.side[b] && f.random.Float64() >= f.loss
}

// run passes time; hosts act in a random order each period.
func (f *fleet) run(d time.Duration) error {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		f.push()
		if f.now.UnixNano()%int64(period) == 0 {
			for _, i := range f.random.Perm(len(f.views)) {
				f.question(i)
			}
		}
		if err := f.check(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) push() {
	for i, v := range f.views {
		if f.dead[i] {
			continue
		}
		n, ok := v.Urgent(f.now)
		if !ok {
			continue
		}
		for _, p := range v.Fan(4, "") {
			f.count.add(n)
			if j := f.index(p); f.reach(i, j) {
				f.views[j].Hear(f.now, n)
			}
		}
	}
}

func (f *fleet) question(i int) {
	v := f.views[i]
	if f.dead[i] {
		return
	}
	v.Prune(f.now)
	for _, p := range v.Targets() {
		if f.ask(i, f.index(p)) {
			continue
		}
		known := !v.Alive(p)
		v.Suspect(p)
		if known {
			continue
		}
		vouched := false
		for _, o := range v.Fan(3, p) {
			vouched = vouched || f.reach(i, f.index(o)) && f.ask(f.index(o), f.index(p))
		}
		if vouched {
			v.Trust(p)
			continue
		}
		v.Condemn(p)
	}
}

func (f *fleet) ask(i, j int) bool {
	if !f.reach(i, j) {
		return false
	}
	sent := f.now.Add(-time.Duration(f.random.Int64N(int64(5 * time.Millisecond))))
	q := f.views[i].Question()
	f.count.add(q)
	f.views[j].Trust(name(i))
	a := f.views[j].Answer(f.now, q)
	f.count.add(a)
	if !f.reach(i, j) {
		return false
	}
	f.views[i].Trust(name(j))
	f.views[i].Learn(f.now, sent, a)
	return true
}

// announce sends the heartbeat of an upstream to a host.
func (f *fleet) announce(i int, u string, age time.Duration) bool {
	return f.views[i].Announce(f.now, upstream.Upstream{
		Name: u, Address: "10.0.0.1:" + u, Kind: upstream.Engine, Service: "s", Slots: 8,
		Incarnation: f.inc[u], Age: span.Span(age),
	})
}

func (f *fleet) leave(i int, u string) {
	f.views[i].Leave(f.now, u, f.inc[u])
	f.left[fmt.Sprint(u, "/", f.inc[u])] = f.now
}

// check returns an error if a host still uses an upstream three seconds after it left, or after it could hear of it.
func (f *fleet) check() error {
	for i, v := range f.views {
		if err := v.Check(); err != nil {
			return err
		}
		if f.dead[i] || f.side[i] != 0 || f.now.UnixNano()%int64(period) != 0 {
			continue
		}
		for _, u := range v.Upstreams(f.now) {
			t, ok := f.left[fmt.Sprint(u.Name, "/", u.Incarnation)]
			if ok && t.Before(f.healed) {
				t = f.healed
			}
			if ok && !u.Leaving && f.now.Sub(t) > 3*time.Second {
				return errors.Newf("%s uses %s %v after it left", name(i), u.Name, f.now.Sub(t))
			}
		}
	}
	return nil
}

// agree returns an error if the live hosts differ in the upstreams that they know.
func (f *fleet) agree(want int) error {
	for i, v := range f.views {
		if f.dead[i] {
			continue
		}
		n := 0
		for _, u := range v.Upstreams(f.now) {
			if u.Incarnation != f.inc[u.Name] {
				return errors.Newf("%s knows %s at %d instead of %d", name(i), u.Name, u.Incarnation, f.inc[u.Name])
			}
			if !u.Leaving {
				n++
			}
		}
		if n != want {
			return errors.Newf("%s knows %d upstreams instead of %d", name(i), n, want)
		}
		for j := range f.views {
			if i != j && v.Alive(name(j)) == f.dead[j] {
				return errors.Newf("%s is wrong about %s", name(i), name(j))
			}
		}
	}
	return nil
}

// uses reports whether some host takes an upstream for one that accepts work.
func (f *fleet) uses(u string) bool {
	for _, v := range f.views {
		for _, k := range v.Upstreams(f.now) {
			if k.Name == u && !k.Leaving {
				return true
			}
		}
	}
	return false
}
