package joined

import (
	"bytes"
	"fmt"
	"time"

	"siskinrun/internal/config/change"
	"siskinrun/internal/config/changeoutcome"
	"siskinrun/internal/data/key"
	"siskinrun/internal/data/team"
)

var teams = []string{"kea", "tui"}

// settings makes the first versions.
func (w *world) settings() {
	for _, t := range teams {
		w.audits[t] = newAudit()
		w.apply(change.Change{Kind: change.SetTeam, Name: t, Team: &team.Team{Rate: 200, Burst: 100, Weight: 1}})
		w.grantKey(t)
		w.grantKey(t)
	}
}

func (w *world) grantKey(t string) {
	n := fmt.Sprint("key-", len(w.keys))
	w.keys = append(w.keys, n)
	w.apply(change.Change{Kind: change.GrantKey, Key: &key.Key{ID: n, Team: t, Hash: key.Hash(n)}})
}

// change makes a random change, sometimes against an old version, and sometimes sends it again.
func (w *world) change() {
	r := w.randoms[changes]
	t := teams[r.IntN(len(teams))]
	switch r.IntN(6) {
	case 0:
		// Half of the runs keep the limits, so that their bound is tight.
		if w.seed%2 == 0 {
			return
		}
		w.apply(change.Change{Kind: change.SetTeam, Name: t, Team: &team.Team{
			Rate: 50 + r.Int64N(500), Burst: 20 + r.Int64N(300), Weight: 1,
		}})
	case 1, 2:
		w.grantKey(t)
	case 3:
		w.apply(change.Change{Kind: change.WithdrawKey, Name: w.keys[r.IntN(len(w.keys))]})
	}
}

func (w *world) apply(c change.Change) {
	r := w.randoms[changes]
	w.changes++
	c.ID = fmt.Sprint("change-", w.changes)
	c.Base = w.register.View().Version
	if c.Base > 6 && w.chance(changes, 20) {
		c.Base -= uint64(1 + r.IntN(3))
	}
	b, err := c.Encode()
	w.check("register", err)
	first := w.commit(c, b)
	if w.chance(changes, 30) {
		w.after(time.Duration(r.Int64N(int64(5*time.Second))), func() {
			if again := w.commit(c, b); !bytes.Equal(first, again) {
				w.fail("register", "%s got %s and later %s", c.ID, first, again)
			}
		})
	}
}

// commit applies a change and notes what the checker has to know of it.
func (w *world) commit(c change.Change, b []byte) []byte {
	old := w.register.View()
	a := w.register.Apply(0, b)
	o, err := changeoutcome.Decode(a)
	w.check("register", err)
	v := w.register.View()
	if v.Version < old.Version || v.Version > old.Version+1 {
		w.fail("register", "version %d after %d", v.Version, old.Version)
	}
	if v == old {
		return a
	}
	if o.Status != changeoutcome.Applied || c.Base != old.Version {
		w.fail("register", "%s against version %d made version %d with status %s", c.ID, c.Base, v.Version, o.Status)
	}
	w.tally["changes"]++
	w.note("register", "%s %s %s makes version %d", c.ID, c.Kind, c.Name, v.Version)
	for n, t := range v.Teams {
		w.audits[n].SetLimits(w.now, t.Rate, t.Burst, auditGrace)
	}
	for k := range old.Keys {
		if _, ok := v.Keys[k]; !ok {
			w.withdrawn[k] = w.now
			w.note(k, "is withdrawn")
		}
	}
	return a
}

// follow keeps the view of the host fresh: control hosts ask the quorum, others ask a host.
func (h *host) follow() {
	w := h.w
	asked := h.now()
	if h.index < 3 {
		h.after(w.delay(), func() {
			if h.cut || w.lost() {
				return
			}
			c := w.register.View()
			h.after(w.delay(), func() { w.check(h.name, h.view.Confirm(h.now(), asked, c)) })
		})
		return
	}
	p := w.hosts[w.randoms[losses].IntN(hostCount)]
	version := h.view.HeldVersion()
	w.after(w.delay(), func() {
		if p == h || !h.reaches(p) || w.lost() {
			return
		}
		a, err := p.view.Answer(p.now(), version, 0)
		w.check(p.name, err)
		h.after(w.delay(), func() {
			// An answer that came late may not fit any more, and is dropped.
			if h.view.ApplyUpdate(h.now(), asked, a) == nil {
				h.check()
			}
		})
	})
}
