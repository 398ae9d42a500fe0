package costprobe

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/data/gossipmessage"
	"siskinrun/internal/data/loadreport"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/fleet/membership"
	"siskinrun/internal/measure/costcurve"
)

const (
	// TargetHosts is the number of hosts at the target size.
	TargetHosts = 320

	gossipInterval  = 200 * time.Millisecond
	fixedHosts      = 40
	fixedUpstreams  = 150
	warmupSeconds   = 3
	measuredSeconds = 3
)

// fleet is a set of hosts that exchange gossip.
type fleet struct {
	members []*membership.Membership
	byName  map[string]*membership.Membership
	ups     []upstream.Upstream
	now     time.Time
	// hostRecords and upstreamRecords count the gossip records sent of each kind.
	hostRecords     int
	upstreamRecords int
}

// measureMembership counts the gossip records sent, varying hosts and upstreams one at a time.
func (p *Probe) measureMembership() error {
	byHosts := []*costcurve.Curve{
		p.newCurve("membership", "pieces on hosts/s a host", "hosts", TargetHosts),
		p.newCurve("membership", "pieces on upstreams/s a host", "hosts", TargetHosts),
	}
	for _, n := range []int{20, 40, 80, 160} {
		if err := p.measureRecords(byHosts, n, fixedUpstreams, n); err != nil {
			return err
		}
	}
	byUpstreams := []*costcurve.Curve{
		p.newCurve("membership", "pieces on hosts/s a host", "upstreams", TargetUpstreams),
		p.newCurve("membership", "pieces on upstreams/s a host", "upstreams", TargetUpstreams),
	}
	for _, n := range []int{75, 150, 300, 600} {
		if err := p.measureRecords(byUpstreams, fixedHosts, n, n); err != nil {
			return err
		}
	}
	return nil
}

func (p *Probe) measureRecords(l []*costcurve.Curve, hosts, ups, size int) error {
	f := newFleet(p.now, hosts, ups)
	for range warmupSeconds {
		f.runSecond()
	}
	f.hostRecords, f.upstreamRecords = 0, 0
	for range measuredSeconds {
		f.runSecond()
	}
	for _, v := range f.members {
		if n := len(v.Upstreams(f.now)); n != ups {
			return errors.Newf("membership: a host knows only %d of %d upstreams", n, ups)
		}
	}
	d := float64(measuredSeconds * hosts)
	l[0].Add(float64(size), float64(f.hostRecords)/d)
	l[1].Add(float64(size), float64(f.upstreamRecords)/d)
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
		f.members = append(f.members, m)
		f.byName[n] = m
	}
	return f
}

// runSecond simulates one second: every upstream announces and reports once, and every host gossips once an interval.
func (f *fleet) runSecond() {
	for i, u := range f.ups {
		v := f.members[i%len(f.members)]
		v.Announce(f.now, u)
		v.Report(f.now, loadreport.Report{Upstream: u.Name, Incarnation: u.Incarnation, Running: i % slots})
	}
	for end := f.now.Add(time.Second); f.now.Before(end); f.now = f.now.Add(gossipInterval) {
		for _, v := range f.members {
			v.Prune(f.now)
			for _, n := range v.Targets() {
				f.exchange(v, f.byName[n])
			}
		}
	}
}

func (f *fleet) exchange(from, to *membership.Membership) {
	if f.sendDigest(from, to, from.FirstDigest()) {
		f.sendDigest(from, to, from.Digest())
	}
}

// sendDigest exchanges one digest for an answer and reports whether it was a mismatch.
func (f *fleet) sendDigest(from, to *membership.Membership, q gossipmessage.Message) bool {
	a := to.Answer(f.now, q)
	from.ApplyAnswer(f.now, f.now, a)
	for _, n := range []gossipmessage.Message{q, a} {
		f.hostRecords += len(n.Hosts)
		f.upstreamRecords += len(n.Announcements) + len(n.Reports) + len(n.Counts)
	}
	return a.Mismatch
}
