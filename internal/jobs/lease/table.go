package lease

import (
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrHeld means that another host holds the lease.
	ErrHeld = errors.New("the lease is held by another host")
	// ErrWaiting means that leases of a former leader may still be valid.
	ErrWaiting = errors.New("leases of a former leader may still be valid")
	// ErrTooLong means that the requested length exceeds Table.MaxLength.
	ErrTooLong = errors.New("the requested lease exceeds the maximum length")
)

type grant struct {
	holder   string
	term     uint64
	sequence uint64
	expires  time.Time
}

// Table holds the leases that a leader has granted in its term.
type Table struct {
	// MaxLength is the longest lease that any leader grants.
	MaxLength time.Duration
	// Drift is added to each lease on the granting side, since clocks run at different rates.
	Drift time.Duration

	term      uint64
	termStart time.Time
	sequence  uint64
	// complete says that all leases of former leaders that may still be valid are among the grants.
	complete bool
	grants   map[string]grant
}

// NewTable returns a table that grants leases of at most maxLength.
func NewTable(maxLength, drift time.Duration) *Table {
	return &Table{MaxLength: maxLength, Drift: drift, grants: map[string]grant{}}
}

// StartTerm starts a term and removes the leases of earlier terms; Grant waits until they have expired.
func (t *Table) StartTerm(term uint64, start time.Time) {
	if term <= t.term {
		return
	}
	t.term = term
	t.termStart = start
	t.sequence = 0
	t.complete = false
	clear(t.grants)
}

// Grant grants or renews the lease on name and returns its fencing token, the pair of term and sequence.
//
// While leases of a former leader may still be valid, only their holders are granted them again: held says
// that the caller holds the lease now, which is true of at most one host.
func (t *Table) Grant(now time.Time, name, holder string, length time.Duration, held bool) (term, sequence uint64, err error) {
	if length > t.MaxLength {
		return 0, 0, ErrTooLong
	}
	g, ok := t.grants[name]
	if t.Waiting(now) && !held && !ok {
		return 0, 0, ErrWaiting
	}
	live := ok && now.Before(g.expires)
	if live && g.holder != holder {
		return 0, 0, ErrHeld
	}
	if !live {
		t.sequence++
		g = grant{holder: holder, term: t.term, sequence: t.sequence}
	}
	u := now.Add(length + t.Drift)
	if u.After(g.expires) {
		g.expires = u
	}
	t.grants[name] = g
	return g.term, g.sequence, nil
}

// Waiting reports whether leases of a former leader may still be valid that the table does not hold.
func (t *Table) Waiting(now time.Time) bool {
	return !t.complete && now.Before(t.termStart.Add(t.MaxLength+t.Drift))
}

// Complete ends the wait for leases of former leaders in a term: all hosts have said which names they hold.
func (t *Table) Complete(now time.Time, term uint64, holders map[string]string) {
	if term != t.term || !t.Waiting(now) {
		return
	}
	for n, h := range holders {
		if _, ok := t.grants[n]; ok {
			continue
		}
		t.sequence++
		t.grants[n] = grant{holder: h, term: t.term, sequence: t.sequence, expires: now.Add(t.MaxLength + t.Drift)}
	}
	t.complete = true
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

// Holder returns the holder of the lease on name, or an empty string.
func (t *Table) Holder(now time.Time, name string) string {
	g, ok := t.grants[name]
	if !ok || !now.Before(g.expires) {
		return ""
	}
	return g.holder
}

// Sweep removes the expired leases.
func (t *Table) Sweep(now time.Time) {
	for n, g := range t.grants {
		if !now.Before(g.expires) {
			delete(t.grants, n)
		}
	}
}
