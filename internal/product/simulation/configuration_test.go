package simulation

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

// initConfiguration creates the first configuration versions.
func (w *simulation) initConfiguration() {
	for _, t := range teams {
		w.auditors[t] = newAuditor()
		w.apply(change.Change{Kind: change.SetTeam, Name: t, Team: &team.Team{Rate: 200, Burst: 100, Weight: 1}})
		w.grantKey(t)
		w.grantKey(t)
	}
}

func (w *simulation) grantKey(t string) {
	n := fmt.Sprint("key-", len(w.keys))
	w.keys = append(w.keys, n)
	w.apply(change.Change{Kind: change.GrantKey, Key: &key.Key{ID: n, Team: t, Hash: key.Hash(n)}})
}

// changeConfiguration makes a random change of the configuration or none.
func (w *simulation) changeConfiguration() {
	r := w.randoms[changes]
	t := teams[r.IntN(len(teams))]
	switch r.IntN(6) {
	case 0:
		// Half of the runs keep the limits, since the audit allows a former larger limit for a while and is loose meanwhile.
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

func (w *simulation) apply(c change.Change) {
	r := w.randoms[changes]
	w.changes++
	c.ID = fmt.Sprint("change-", w.changes)
	c.Base = w.store.View().Version
	if c.Base > 6 && w.chance(changes, 20) {
		c.Base -= uint64(1 + r.IntN(3))
	}
	b, err := c.Encode()
	w.check("store", err)
	first := w.commit(c, b)
	if w.chance(changes, 30) {
		w.after(time.Duration(r.Int64N(int64(5*time.Second))), func() {
			if again := w.commit(c, b); !bytes.Equal(first, again) {
				w.fail("store", "%s got %s and later %s", c.ID, first, again)
			}
		})
	}
}

// commit applies a change and updates the checker's record.
func (w *simulation) commit(c change.Change, b []byte) []byte {
	old := w.store.View()
	a := w.store.Apply(0, b)
	o, err := changeoutcome.Decode(a)
	w.check("store", err)
	v := w.store.View()
	if v.Version < old.Version || v.Version > old.Version+1 {
		w.fail("store", "version %d after %d", v.Version, old.Version)
	}
	if v == old {
		return a
	}
	if o.Status != changeoutcome.Applied || c.Base != old.Version {
		w.fail("store", "%s against version %d made version %d with status %s", c.ID, c.Base, v.Version, o.Status)
	}
	w.counts["changes"]++
	w.logEvent("store", "%s %s %s makes version %d", c.ID, c.Kind, c.Name, v.Version)
	for n, t := range v.Teams {
		w.auditors[n].SetLimits(w.now, t.Rate, t.Burst, auditGrace)
	}
	for k := range old.Keys {
		if _, ok := v.Keys[k]; !ok {
			w.withdrawn[k] = w.now
			w.logEvent(k, "is withdrawn")
		}
	}
	return a
}

// refreshConfiguration keeps the host's configuration fresh: control hosts confirm it with the quorum, others ask a random host.
func (h *host) refreshConfiguration() {
	w := h.w
	asked := h.now()
	if h.index < 3 {
		h.after(w.delay(), func() {
			if h.partitioned || w.lost() {
				return
			}
			c := w.store.View()
			h.after(w.delay(), func() { w.check(h.name, h.cache.Confirm(h.now(), asked, c)) })
		})
		return
	}
	p := w.hosts[w.randoms[messageFaults].IntN(hostCount)]
	version := h.cache.HeldVersion()
	w.after(w.delay(), func() {
		if p == h || !h.canReach(p) || w.lost() {
			return
		}
		a, err := p.cache.Answer(p.now(), version, 0)
		w.check(p.name, err)
		h.after(w.delay(), func() {
			// A late answer may not apply to the version held by now; it is dropped.
			if h.cache.ApplyUpdate(h.now(), asked, a) == nil {
				h.check()
			}
		})
	})
}
