package executor

import (
	"context"
	"time"

	"siskinrun/internal/base/group"
	"siskinrun/internal/data/item"
	"siskinrun/internal/data/streamstart"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/jobs/assignment"
	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/refusal"
)

// maxReportBytes bounds the bodies in one report of outcomes.
const maxReportBytes = 6 << 20

// exchange reports outcomes to a group and requests items from it.
func (d *Executor) exchange(ctx context.Context, g uint32) error {
	var polled time.Time
	for {
		t := d.after(pollInterval)
		select {
		case <-ctx.Done():
			t.cancel()
			return ctx.Err()
		case <-d.exchangeWake[g]:
		case <-t.fired:
		}
		t.cancel()
		for d.reportOutcomes(ctx, g) {
		}
		if n := d.Timer.Now(); n.Sub(polled) >= pollInterval {
			polled = n
			d.pollBacklog(ctx, g)
		}
		d.requestItems(ctx, g)
	}
}

// pollBacklog reads which targets of a group have items ready, if this host has claimed an upstream.
func (d *Executor) pollBacklog(ctx context.Context, g uint32) {
	d.mu.Lock()
	idle := len(d.scheduler.upstreams) == 0
	d.mu.Unlock()
	if idle {
		return
	}
	b, err := d.Ledgers.Backlog(ctx, g)
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.groups[g].backlog = b
	n := d.Timer.Now()
	if !d.scheduler.backlogged(n) {
		d.waitingSince.Store(0)
		return
	}
	d.waitingSince.CompareAndSwap(0, n.UnixNano())
}

// reportOutcomes sends one report and returns whether there may be more outcomes to send.
func (d *Executor) reportOutcomes(ctx context.Context, g uint32) bool {
	d.mu.Lock()
	s := d.scheduler.groups[g]
	n := countFitting(s.outcomes)
	o := s.outcomes[:n:n]
	d.mu.Unlock()
	if n == 0 {
		return false
	}
	f := &entry.Finish{Holder: d.session(g), Outcomes: o}
	_, err := d.Ledgers.Command(ctx, g, &entry.Command{Kind: &entry.Command_Finish{Finish: f}})
	if err != nil {
		d.Log.Warn().Err(err).Uint32("group", g).Msg("outcomes not recorded, will send again")
		return false
	}
	d.mu.Lock()
	d.scheduler.acknowledge(g, n)
	d.mu.Unlock()
	signal(d.reconcileWake)
	return true
}

// countFitting returns how many of the first outcomes fit in one report.
func countFitting(o []*entry.Outcome) int {
	size := 0
	for i := range o {
		size += len(o[i].Result.GetBody())
		if i > 0 && size > maxReportBytes || i == maxItemsPerRequest {
			return i
		}
	}
	return len(o)
}

// requestItems leases items. It repeats the same request until it is answered or the session has lapsed.
func (d *Executor) requestItems(ctx context.Context, g uint32) {
	d.mu.Lock()
	w := d.scheduler.wants(d.Timer.Now(), g)
	s := d.scheduler.groups[g]
	if len(w) > 0 {
		s.sequence++
	}
	k := &entry.Take{Sequence: s.sequence, LeaseNanoseconds: int64(sessionTTL), Wants: w}
	d.mu.Unlock()
	k.Holder = d.session(g)
	for len(w) > 0 && ctx.Err() == nil {
		sent := d.Timer.Now()
		a, err := d.Ledgers.Command(ctx, g, &entry.Command{Kind: &entry.Command_Take{Take: k}})
		if err == nil {
			d.addLeases(g, a.Taken, w, sent.Add(localSessionTTL))
			return
		}
		d.Log.Warn().Err(err).Uint32("group", g).Msg("no items leased")
		if refusal.Of(err).Status < statusInternal {
			d.endSession(g)
			return
		}
		_ = d.Timer.Sleep(ctx, heartbeatInterval)
		if d.sessionLapsed(g) {
			d.addLeases(g, nil, w, sent)
			return
		}
	}
}

// endSession ends a session after the ledger refused a request of it.
func (d *Executor) endSession(g uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.scheduler.groups[g]
	s.requested = nil
	s.sessionExpires = time.Time{}
}

func (d *Executor) sessionLapsed(g uint32) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.groups[g].lapsed(d.Timer.Now())
}

func (d *Executor) addLeases(g uint32, t *entry.Taken, requested []*entry.Want, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var a []item.Item
	for _, l := range t.GetLeases() {
		a = append(a, itemFromLease(l))
	}
	d.scheduler.addLeased(d.Timer.Now(), g, a, until)
	if len(t.GetLeases()) < totalCount(requested) {
		d.scheduler.groups[g].backlog = nil
	}
	signal(d.reconcileWake)
}

func totalCount(w []*entry.Want) int {
	n := 0
	for _, x := range w {
		n += int(x.Count)
	}
	return n
}

func itemFromLease(l *entry.Lease) item.Item {
	return item.Item{
		Job:        l.Job,
		Index:      int(l.Index),
		Fence:      l.Fence,
		Team:       l.Team,
		Endpoint:   l.Endpoint,
		Target:     l.Target,
		Repeatable: l.Repeatable,
		Attempt:    int(l.Attempt),
		Line:       l.Line,
		NextEvent:  l.Progress.GetNext(),
		Text:       l.Progress.GetText(),
		Start:      startOf(l.Progress),
	}
}

// startOf returns the software that made the text of p.
func startOf(p *entry.Progress) streamstart.Start {
	return streamstart.Start{Service: p.GetService(), Version: p.GetVersion()}
}

// heartbeat renews the session with a group while this host has tasks or outcomes of it.
func (d *Executor) heartbeat(ctx context.Context, g uint32) error {
	for {
		if err := d.Timer.Sleep(ctx, heartbeatInterval); err != nil {
			return err
		}
		d.mu.Lock()
		s := d.scheduler.groups[g]
		live := !s.idle() && d.Timer.Now().Before(s.sessionExpires)
		n := s.session
		d.mu.Unlock()
		if live {
			d.renewSession(ctx, g, n)
		}
	}
}

func (d *Executor) renewSession(ctx context.Context, g uint32, session uint64) {
	sent := d.Timer.Now()
	r := &entry.Renew{Holder: d.session(g), LeaseNanoseconds: int64(sessionTTL)}
	a, err := d.Ledgers.Command(ctx, g, &entry.Command{Kind: &entry.Command_Renew{Renew: r}})
	if err != nil {
		d.Log.Warn().Err(err).Uint32("group", g).Msg("session not renewed")
		return
	}
	if a.GetRenewed().GetLapsed() {
		d.Log.Warn().Uint32("group", g).Uint64("session", session).Msg("session lapsed")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopAll(d.scheduler.applyRenewal(d.Timer.Now(), g, session, a.Renewed, sent.Add(localSessionTTL)))
	signal(d.exchangeWake[g])
}

// claimLoop claims the upstreams that are assigned to this host and releases the others.
func (d *Executor) claimLoop(ctx context.Context) error {
	for {
		l := d.Fleet.Upstreams()
		a := assignment.NewAssignment(d.Fleet.Hosts(), l)
		mine := map[string]upstream.Upstream{}
		for _, u := range l {
			if !u.Leaving && a.HostOf(u.Name) == d.Host {
				mine[u.Name] = u
			}
		}
		d.releaseOthers(ctx, mine)
		d.claimAll(ctx, mine)
		if err := d.Timer.Sleep(ctx, claimInterval); err != nil {
			return err
		}
	}
}

// claimAll requests all claims concurrently, so that a group without a leader does not delay the other claims.
func (d *Executor) claimAll(ctx context.Context, mine map[string]upstream.Upstream) {
	g := group.NewGroup(ctx)
	for _, u := range mine {
		g.Go("claim", func(ctx context.Context) error {
			d.claimOne(ctx, u)
			return nil
		})
	}
	_ = g.Wait()
}

func (d *Executor) claimOne(ctx context.Context, u upstream.Upstream) {
	sent := d.Timer.Now()
	d.mu.Lock()
	held := sent.Before(d.claims[u.Name])
	d.claiming[u.Name] = true
	d.mu.Unlock()
	defer d.claimEnded(u.Name)
	_, _, err := d.Ledgers.Claim(ctx, claimPrefix+u.Name, d.holder(), claimTTL, held)
	if err != nil {
		d.Log.Warn().Err(err).Str("upstream", u.Name).Bool("held", held).Msg("upstream not claimed")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.claims[u.Name] = sent.Add(localClaimTTL)
	d.scheduler.setUpstream(u.Name, d.Fleet.Targets(u), 0, sent.Add(localClaimTTL))
	c := d.scheduler.upstreams[u.Name]
	c.setLimits(d.Windows)
	c.setPlaces(d.Timer.Now(), d.Places)
	c.software = streamstart.Start{Service: u.Service, Version: u.Version}
}

func (d *Executor) claimEnded(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.claiming, name)
}

// Held returns the name under which this host claims upstreams, the claimed names that it relies on, and those that it has asked for
// without an answer yet.
func (d *Executor) Held() (holder string, names, asked []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.Timer.Now()
	for u, until := range d.claims {
		if n.Before(until) {
			names = append(names, claimPrefix+u)
		}
	}
	for u := range d.claiming {
		if !n.Before(d.claims[u]) {
			asked = append(asked, claimPrefix+u)
		}
	}
	return d.holder(), names, asked
}

// releaseOthers expires the claims on upstreams that are no longer assigned to this host and releases those
// without a started item.
func (d *Executor) releaseOthers(ctx context.Context, mine map[string]upstream.Upstream) {
	d.mu.Lock()
	var free []string
	for n, c := range d.scheduler.upstreams {
		if _, ok := mine[n]; ok {
			continue
		}
		c.claimExpires = time.Time{}
		if c.started == 0 {
			delete(d.scheduler.upstreams, n)
			delete(d.claims, n)
			free = append(free, n)
		}
	}
	d.mu.Unlock()
	for _, n := range free {
		d.releaseClaim(ctx, n)
	}
}

// releaseClaim releases a claim. If that fails, the claim expires with its lease.
func (d *Executor) releaseClaim(ctx context.Context, name string) {
	if err := d.Ledgers.ReleaseClaim(ctx, claimPrefix+name, d.holder()); err != nil {
		d.Log.Debug().Err(err).Str("upstream", name).Msg("claim not released, it expires with its lease")
	}
}
