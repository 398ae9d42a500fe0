package membership_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/data/gossipmessage"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/fleet/membership"
)

const (
	period = 200 * time.Millisecond
	step   = 20 * time.Millisecond
)

// fleet simulates the views of many hosts in virtual time: exchanges each period, urgent pushes each step.
type fleet struct {
	random    *rand.Rand
	now       time.Time
	views     []*membership.Membership
	boots     []uint64
	dead      map[int]bool
	partition map[int]int
	loss      float64
	count     traffic
	// leftAt holds when each incarnation of an upstream was ended, by name/incarnation.
	leftAt map[string]time.Time
	// healedAt is when the last network partition ended.
	healedAt     time.Time
	incarnations map[string]uint64
}

// traffic counts what the hosts send.
type traffic struct {
	messages int
	news     int
	hosts    int
}

func (t *traffic) add(n gossipmessage.Message) {
	t.messages++
	t.news += len(n.Announcements) + len(n.Reports) + len(n.Counts)
	t.hosts += len(n.Hosts)
}

func name(i int) string { return fmt.Sprintf("h%03d", i) }

func newFleet(seed uint64, hosts int) *fleet {
	f := &fleet{
		random:       rand.New(rand.NewPCG(seed, 3)),
		now:          time.Unix(1000, 0),
		dead:         map[int]bool{},
		partition:    map[int]int{},
		leftAt:       map[string]time.Time{},
		incarnations: map[string]uint64{},
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

func (f *fleet) reachable(a, b int) bool {
	return !f.dead[a] && !f.dead[b] && f.partition[a] == f.partition[b] && f.random.Float64() >= f.loss
}

// run advances time by d; in each period the hosts exchange in a random order.
func (f *fleet) run(d time.Duration) error {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		f.pushUrgent()
		if f.now.UnixNano()%int64(period) == 0 {
			for _, i := range f.random.Perm(len(f.views)) {
				f.exchange(i)
			}
		}
		if err := f.check(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) pushUrgent() {
	for i, v := range f.views {
		if f.dead[i] {
			continue
		}
		n, ok := v.TakeUrgent(f.now)
		if !ok {
			continue
		}
		for _, p := range v.RandomPeers(4, "") {
			f.count.add(n)
			if j := f.index(p); f.reachable(i, j) {
				f.views[j].ApplyPush(f.now, n)
			}
		}
	}
}

func (f *fleet) exchange(i int) {
	v := f.views[i]
	if f.dead[i] {
		return
	}
	v.Prune(f.now)
	for _, p := range v.Targets() {
		if f.exchangeWith(i, f.index(p)) {
			continue
		}
		suspected := !v.Alive(p)
		v.Suspect(p)
		if suspected {
			continue
		}
		confirmed := false
		for _, o := range v.RandomPeers(3, p) {
			confirmed = confirmed || f.reachable(i, f.index(o)) && f.exchangeWith(f.index(o), f.index(p))
		}
		if confirmed {
			v.MarkAlive(p)
			continue
		}
		v.DeclareDead(p)
	}
}

func (f *fleet) exchangeWith(i, j int) bool {
	if !f.reachable(i, j) {
		return false
	}
	sent := f.now.Add(-time.Duration(f.random.Int64N(int64(5 * time.Millisecond))))
	q := f.views[i].Digest()
	f.count.add(q)
	f.views[j].MarkAlive(name(i))
	a := f.views[j].Answer(f.now, q)
	f.count.add(a)
	if !f.reachable(i, j) {
		return false
	}
	f.views[i].MarkAlive(name(j))
	f.views[i].ApplyAnswer(f.now, sent, a)
	return true
}

// announce sends the announcement of an upstream to a host.
func (f *fleet) announce(i int, u string, age time.Duration) bool {
	return f.views[i].Announce(f.now, upstream.Upstream{
		Name: u, Address: "10.0.0.1:" + u, Kind: upstream.Engine, Service: "s", Slots: 8,
		Incarnation: f.incarnations[u], Age: duration.Duration(age),
	})
}

func (f *fleet) leave(i int, u string) {
	f.views[i].Leave(f.now, u, f.incarnations[u])
	f.leftAt[fmt.Sprint(u, "/", f.incarnations[u])] = f.now
}

// check returns an error if a host still uses an upstream three seconds after it left, or after the last partition ended.
func (f *fleet) check() error {
	for i, v := range f.views {
		if err := v.CheckInvariants(); err != nil {
			return err
		}
		if f.dead[i] || f.partition[i] != 0 || f.now.UnixNano()%int64(period) != 0 {
			continue
		}
		for _, u := range v.Upstreams(f.now) {
			t, ok := f.leftAt[fmt.Sprint(u.Name, "/", u.Incarnation)]
			if ok && t.Before(f.healedAt) {
				t = f.healedAt
			}
			if ok && !u.Leaving && f.now.Sub(t) > 3*time.Second {
				return errors.Newf("host %s still uses upstream %s %v after it left", name(i), u.Name, f.now.Sub(t))
			}
		}
	}
	return nil
}

// checkAgreement returns an error if the live hosts differ in the upstreams that they know.
func (f *fleet) checkAgreement(want int) error {
	for i, v := range f.views {
		if f.dead[i] {
			continue
		}
		n := 0
		for _, u := range v.Upstreams(f.now) {
			if u.Incarnation != f.incarnations[u.Name] {
				return errors.Newf("host %s knows upstream %s at incarnation %d, want %d", name(i), u.Name, u.Incarnation, f.incarnations[u.Name])
			}
			if !u.Leaving {
				n++
			}
		}
		if n != want {
			return errors.Newf("host %s knows %d upstreams, want %d", name(i), n, want)
		}
		for j := range f.views {
			if i != j && v.Alive(name(j)) == f.dead[j] {
				return errors.Newf("host %s has the wrong liveness of host %s", name(i), name(j))
			}
		}
	}
	return nil
}

// anyUses reports whether any host takes an upstream to accept work.
func (f *fleet) anyUses(u string) bool {
	for _, v := range f.views {
		for _, k := range v.Upstreams(f.now) {
			if k.Name == u && !k.Leaving {
				return true
			}
		}
	}
	return false
}
