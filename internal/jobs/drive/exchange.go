package drive

import (
	"context"
	"time"

	"siskinrun/internal/base/group"
	"siskinrun/internal/data/item"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/jobs/assignment"
	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/refusal"
)

// maxReportBytes bounds the answers in one report of outcomes.
const maxReportBytes = 6 << 20

// exchange tells a group what has ended and asks it for more.
func (d *Drive) exchange(ctx context.Context, g uint32) error {
	var polled time.Time
	for {
		t := d.after(pollInterval)
		select {
		case <-ctx.Done():
			t.cancel()
			return ctx.Err()
		case <-d.wake[g]:
		case <-t.fired:
		}
		t.cancel()
		for d.report(ctx, g) {
		}
		if n := d.Timer.Now(); n.Sub(polled) >= pollInterval {
			polled = n
			d.poll(ctx, g)
		}
		d.ask(ctx, g)
	}
}

// poll asks which targets have items ready.
func (d *Drive) poll(ctx context.Context, g uint32) {
	d.mu.Lock()
	idle := len(d.plan.places) == 0
	d.mu.Unlock()
	if idle {
		return
	}
	b, err := d.Ledgers.Backlog(ctx, g)
	if err != nil {
		return
	}
	d.mu.Lock()
	d.plan.sides[g].backlog = b
	d.mu.Unlock()
}

// report sends outcomes and reports whether there may be more.
func (d *Drive) report(ctx context.Context, g uint32) bool {
	d.mu.Lock()
	s := d.plan.sides[g]
	n := fitting(s.outcomes)
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
	d.plan.recorded(g, n)
	d.mu.Unlock()
	signal(d.nudge)
	return true
}

// fitting returns how many of the first outcomes fit into one report.
func fitting(o []*entry.Outcome) int {
	size := 0
	for i := range o {
		size += len(o[i].Result.GetBody())
		if i > 0 && size > maxReportBytes || i == maxAsked {
			return i
		}
	}
	return len(o)
}

// ask leases items, repeating the same ask until it is answered.
func (d *Drive) ask(ctx context.Context, g uint32) {
	d.mu.Lock()
	w := d.plan.wants(d.Timer.Now(), g)
	s := d.plan.sides[g]
	if len(w) > 0 {
		s.sequence++
	}
	k := &entry.Take{Sequence: s.sequence, LeaseNanoseconds: int64(sessionLength), Wants: w}
	d.mu.Unlock()
	k.Holder = d.session(g)
	for len(w) > 0 && ctx.Err() == nil {
		sent := d.Timer.Now()
		a, err := d.Ledgers.Command(ctx, g, &entry.Command{Kind: &entry.Command_Take{Take: k}})
		if err == nil {
			d.taken(g, a.Taken, w, sent.Add(sessionUse))
			return
		}
		d.Log.Warn().Err(err).Uint32("group", g).Msg("no items leased")
		if refusal.Of(err).Status < statusInternal {
			d.end(g)
			return
		}
		_ = d.Timer.Sleep(ctx, renewInterval)
		if d.lapsed(g) {
			d.taken(g, nil, w, sent)
			return
		}
	}
}

// end closes a session that the ledger no longer knows.
func (d *Drive) end(g uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.plan.sides[g]
	s.asked = nil
	s.until = time.Time{}
}

func (d *Drive) lapsed(g uint32) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.plan.sides[g].lapsed(d.Timer.Now())
}

func (d *Drive) taken(g uint32, t *entry.Taken, asked []*entry.Want, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var a []item.Item
	for _, l := range t.GetLeases() {
		a = append(a, itemOf(l))
	}
	d.plan.taken(d.Timer.Now(), g, a, until)
	if len(t.GetLeases()) < counted(asked) {
		d.plan.sides[g].backlog = nil
	}
	signal(d.nudge)
}

func counted(w []*entry.Want) int {
	n := 0
	for _, x := range w {
		n += int(x.Count)
	}
	return n
}

func itemOf(l *entry.Lease) item.Item {
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
		Next:       l.Progress.GetNext(),
		Text:       l.Progress.GetText(),
	}
}

// heartbeat renews the session with a group while this host holds items of it.
func (d *Drive) heartbeat(ctx context.Context, g uint32) error {
	for {
		if err := d.Timer.Sleep(ctx, renewInterval); err != nil {
			return err
		}
		d.mu.Lock()
		s := d.plan.sides[g]
		live := !s.idle() && d.Timer.Now().Before(s.until)
		n := s.session
		d.mu.Unlock()
		if live {
			d.renew(ctx, g, n)
		}
	}
}

func (d *Drive) renew(ctx context.Context, g uint32, session uint64) {
	sent := d.Timer.Now()
	r := &entry.Renew{Holder: d.session(g), LeaseNanoseconds: int64(sessionLength)}
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
	d.halt(d.plan.renewed(d.Timer.Now(), g, session, a.Renewed, sent.Add(sessionUse)))
	signal(d.wake[g])
}

// claim leases the upstreams that this host should drive and leaves the others.
func (d *Drive) claim(ctx context.Context) error {
	for {
		a := assignment.Assignment{Hosts: d.Fleet.Hosts()}
		mine := map[string]upstream.Upstream{}
		for _, u := range d.Fleet.Upstreams() {
			if !u.Leaving && a.Driver(u) == d.Host {
				mine[u.Name] = u
			}
		}
		d.leave(ctx, mine)
		d.claimAll(ctx, mine)
		if err := d.Timer.Sleep(ctx, claimInterval); err != nil {
			return err
		}
	}
}

// claimAll asks for all claims at once, so that a group without a leader delays no other's.
func (d *Drive) claimAll(ctx context.Context, mine map[string]upstream.Upstream) {
	g := group.NewGroup(ctx)
	for _, u := range mine {
		g.Go("claim", func(ctx context.Context) error {
			d.claimOne(ctx, u)
			return nil
		})
	}
	_ = g.Wait()
}

func (d *Drive) claimOne(ctx context.Context, u upstream.Upstream) {
	sent := d.Timer.Now()
	d.mu.Lock()
	held := sent.Before(d.claims[u.Name])
	d.mu.Unlock()
	_, _, err := d.Ledgers.Claim(ctx, claimPrefix+u.Name, d.holder(), claimLength, held)
	if err != nil {
		d.Log.Warn().Err(err).Str("upstream", u.Name).Bool("held", held).Msg("upstream not claimed")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.claims[u.Name] = sent.Add(claimUse)
	d.plan.setPlace(u.Name, d.Fleet.Targets(u), d.Windows.Window(u.Name), sent.Add(claimUse))
}

// leave stops driving the upstreams that are not this host's and frees those without a running item.
func (d *Drive) leave(ctx context.Context, mine map[string]upstream.Upstream) {
	d.mu.Lock()
	var free []string
	for n, c := range d.plan.places {
		if _, ok := mine[n]; ok {
			continue
		}
		c.until = time.Time{}
		if c.busy == 0 {
			delete(d.plan.places, n)
			delete(d.claims, n)
			free = append(free, n)
		}
	}
	d.mu.Unlock()
	for _, n := range free {
		d.unclaim(ctx, n)
	}
}

// unclaim gives up a claim; one that cannot be given up ends with its lease.
func (d *Drive) unclaim(ctx context.Context, name string) {
	if err := d.Ledgers.Unclaim(ctx, claimPrefix+name, d.holder()); err != nil {
		d.Log.Debug().Err(err).Str("upstream", name).Msg("a claim is left to its lease")
	}
}
