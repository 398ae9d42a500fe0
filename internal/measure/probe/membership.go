package probe

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/data/news"
	"siskinrun/internal/data/report"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/fleet/membership"
	"siskinrun/internal/measure/slope"
)

const (
	// TargetHosts is the number of hosts at the target.
	TargetHosts = 320

	questionPeriod  = 200 * time.Millisecond
	fixedHosts      = 40
	fixedUpstreams  = 150
	warmSeconds     = 3
	measuredSeconds = 3
)

// fleet is a number of hosts that ask one another.
type fleet struct {
	views  []*membership.Membership
	byName map[string]*membership.Membership
	ups    []upstream.Upstream
	now    time.Time
	// hosts and upstreams count pieces of news of each kind.
	hosts     int
	upstreams int
}

// membership counts the pieces of news sent, with hosts and upstreams varied one at a time.
func (p *Probe) membership() error {
	byHosts := []*slope.Slope{
		p.slope("membership", "pieces on hosts/s a host", "hosts", TargetHosts),
		p.slope("membership", "pieces on upstreams/s a host", "hosts", TargetHosts),
	}
	for _, n := range []int{20, 40, 80, 160} {
		if err := p.pieces(byHosts, n, fixedUpstreams, n); err != nil {
			return err
		}
	}
	byUpstreams := []*slope.Slope{
		p.slope("membership", "pieces on hosts/s a host", "upstreams", TargetUpstreams),
		p.slope("membership", "pieces on upstreams/s a host", "upstreams", TargetUpstreams),
	}
	for _, n := range []int{75, 150, 300, 600} {
		if err := p.pieces(byUpstreams, fixedHosts, n, n); err != nil {
			return err
		}
	}
	return nil
}

func (p *Probe) pieces(l []*slope.Slope, hosts, ups, size int) error {
	f := newFleet(p.now, hosts, ups)
	for range warmSeconds {
		f.second()
	}
	f.hosts, f.upstreams = 0, 0
	for range measuredSeconds {
		f.second()
	}
	for _, v := range f.views {
		if n := len(v.Upstreams(f.now)); n != ups {
			return errors.Newf("membership: a host knows %d of %d upstreams", n, ups)
		}
	}
	d := float64(measuredSeconds * hosts)
	l[0].Add(float64(size), float64(f.hosts)/d)
	l[1].Add(float64(size), float64(f.upstreams)/d)
	return nil
}

func newFleet(now time.Time, hosts, ups int) *fleet {
	f := &fleet{now: now, ups: upstreams(ups), byName: map[string]*membership.Membership{}}
	var names []string
	for i := range hosts {
		names = append(names, fmt.Sprintf("host-%03d", i))
	}
	for i, n := range names {
		m := membership.NewMembership(n, fmt.Sprint("d", i%failureDomains), 1, names, uint64(i))
		f.views = append(f.views, m)
		f.byName[n] = m
	}
	return f
}

// second lets every upstream announce and report once, and hosts ask at their period.
func (f *fleet) second() {
	for i, u := range f.ups {
		v := f.views[i%len(f.views)]
		v.Announce(f.now, u)
		v.Report(f.now, report.Report{Upstream: u.Name, Incarnation: u.Incarnation, Running: i % slots})
	}
	for end := f.now.Add(time.Second); f.now.Before(end); f.now = f.now.Add(questionPeriod) {
		for _, v := range f.views {
			v.Prune(f.now)
			for _, n := range v.Targets() {
				f.visit(v, f.byName[n])
			}
		}
	}
}

func (f *fleet) visit(from, to *membership.Membership) {
	q := from.Digest()
	a := to.Answer(f.now, q)
	from.ApplyAnswer(f.now, f.now, a)
	for _, n := range []news.News{q, a} {
		f.hosts += len(n.Hosts)
		f.upstreams += len(n.Announcements) + len(n.Reports) + len(n.Counts)
	}
}
