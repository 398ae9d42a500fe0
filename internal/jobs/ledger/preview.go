package ledger

import "siskinrun/internal/jobs/entry"

// Preview returns what submit would do with an inline job now, and what waits before it. It changes nothing.
func (l *Ledger) Preview(p *entry.Preview) *entry.Previewed {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := teamKey{p.Team, p.Target}
	r := &entry.Previewed{Accepted: !l.overTokenLimit(k, p.Tokens, p.TokenLimit), OpenTokens: l.openTokens[k]}
	count := func(w *job, n uint64) {
		if w.info.Target != p.Target || w.info.State != jobRunning {
			return
		}
		r.Ready += n
		if w.info.Team == p.Team {
			r.TeamReady += n
		}
	}
	for _, w := range l.jobs {
		count(w, uint64(w.info.Total-w.info.Next)+uint64(len(w.returned)))
	}
	for _, d := range l.deferred {
		count(d.job, 1)
	}
	for _, e := range l.leases {
		if e.job.info.Target == p.Target {
			r.Leased++
		}
	}
	return r
}
