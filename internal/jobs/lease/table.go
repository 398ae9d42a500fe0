package lease

import (
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrHeld means that another holder has the lease.
	ErrHeld = errors.New("the lease is held by another host")
	// ErrWaiting means that leases of a former leader may still run.
	ErrWaiting = errors.New("leases of a former leader may still run")
	// ErrTooLong means that the asked length is beyond the table's longest.
	ErrTooLong = errors.New("the lease is longer than allowed")
)

type grant struct {
	holder   string
	term     uint64
	sequence uint64
	until    time.Time
}

// Table holds the leases that one leader has granted in one term.
type Table struct {
	// Longest is the longest lease that any leader grants.
	Longest time.Duration
	// Drift is added to each lease on the granting side, since clocks differ in speed.
	Drift time.Duration

	term     uint64
	since    time.Time
	sequence uint64
	grants   map[string]grant
}

// NewTable returns a table that grants leases of at most longest.
func NewTable(longest, drift time.Duration) *Table {
	return &Table{Longest: longest, Drift: drift, grants: map[string]grant{}}
}

// Lead starts a term, forgetting the leases of former terms, which are waited out.
func (t *Table) Lead(term uint64, since time.Time) {
	if term <= t.term {
		return
	}
	t.term = term
	t.since = since
	t.sequence = 0
	clear(t.grants)
}

// Grant gives or renews the lease on name and returns its fencing number of term and sequence.
//
// While leases of a former leader may still run, only their holders get theirs anew: held says that the
// asker has the lease at this moment, which no two can say.
func (t *Table) Grant(now time.Time, name, holder string, length time.Duration, held bool) (term, sequence uint64, err error) {
	if length > t.Longest {
		return 0, 0, ErrTooLong
	}
	g, ok := t.grants[name]
	if now.Before(t.since.Add(t.Longest+t.Drift)) && !held && !ok {
		return 0, 0, ErrWaiting
	}
	live := ok && now.Before(g.until)
	if live && g.holder != holder {
		return 0, 0, ErrHeld
	}
	if !live {
		t.sequence++
		g = grant{holder: holder, term: t.term, sequence: t.sequence}
	}
	u := now.Add(length + t.Drift)
	if u.After(g.until) {
		g.until = u
	}
	t.grants[name] = g
	return g.term, g.sequence, nil
}

// Release ends a lease early and reports whether holder had it.
func (t *Table) Release(name, holder string) bool {
	g, ok := t.grants[name]
	if !ok || g.holder != holder {
		return false
	}
	delete(t.grants, name)
	return true
}

// Holder returns who holds the lease on name, or an empty string.
func (t *Table) Holder(now time.Time, name string) string {
	g, ok := t.grants[name]
	if !ok || !now.Before(g.until) {
		return ""
	}
	return g.holder
}

// Sweep forgets the leases that have ended.
func (t *Table) Sweep(now time.Time) {
	for n, g := range t.grants {
		if !now.Before(g.until) {
			delete(t.grants, n)
		}
	}
}
