package coldview

import (
	"time"

	"siskinrun/internal/data/upstream"
)

// Margin is how much longer than it says an upstream is taken for cold: announcements whose ends differ by 400 ms count as
// the same, and what is left is for messages on their way.
const Margin = 600 * time.Millisecond

// View is what one host knows of cold upstreams. Only those of services that name a rate for cold upstreams are kept.
type View struct {
	upstreams map[string]state
	until     time.Time
}

// state is what is known of one incarnation of an upstream.
type state struct {
	incarnation uint64
	rate        float64
	until       time.Time
}

// NewView returns an empty view.
func NewView() *View {
	return &View{upstreams: map[string]state{}}
}

// SetUpstreams replaces the known upstreams, given the rate in requests a second that a cold upstream of a service bears, or
// zero. It returns the names of those that are cold now and were not.
func (v *View) SetUpstreams(now time.Time, l []upstream.Upstream, rate func(service string) float64) (turned []string) {
	before := v.upstreams
	v.upstreams = make(map[string]state, len(before))
	v.until = time.Time{}
	for _, u := range l {
		r := rate(u.Service)
		if r <= 0 || u.Leaving {
			continue
		}
		old, known := before[u.Name]
		if known && old.incarnation > u.Incarnation {
			v.set(u.Name, old) // another host told of a newer one
			continue
		}
		known = known && old.incarnation == u.Incarnation
		k := state{incarnation: u.Incarnation, rate: r}
		if u.Cold > 0 {
			k.until = now.Add((u.Cold - u.Age).Duration() + Margin)
		}
		wasCold := known && old.until.After(now)
		if !wasCold && k.until.After(now) {
			turned = append(turned, u.Name)
		}
		v.set(u.Name, k)
	}
	return turned
}

// Extend records that another host takes an incarnation of an upstream for cold until a time.
func (v *View) Extend(name string, incarnation uint64, until time.Time) {
	k, ok := v.upstreams[name]
	newer := incarnation > k.incarnation
	if !ok || incarnation < k.incarnation || !newer && !until.After(k.until) {
		return
	}
	k.incarnation, k.until = incarnation, until
	v.set(name, k)
}

// Get returns until when an incarnation of an upstream is cold and the rate in requests a second that it bears, and reports
// whether it is cold. An incarnation of zero stands for the current one.
func (v *View) Get(now time.Time, name string, incarnation uint64) (until time.Time, rate float64, cold bool) {
	k, ok := v.upstreams[name]
	cold = ok && k.until.After(now) && k.incarnation >= incarnation
	return k.until, k.rate, cold
}

// Incarnation returns the known incarnation of an upstream, zero if there is none.
func (v *View) Incarnation(name string) uint64 {
	return v.upstreams[name].incarnation
}

// Until returns when no upstream is cold any more.
func (v *View) Until() time.Time {
	return v.until
}

// Cold returns the number of upstreams that are cold.
func (v *View) Cold(now time.Time) int {
	n := 0
	for _, k := range v.upstreams {
		if k.until.After(now) {
			n++
		}
	}
	return n
}

func (v *View) set(name string, k state) {
	v.upstreams[name] = k
	if k.until.After(v.until) {
		v.until = k.until
	}
}
