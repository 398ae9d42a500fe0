package idempotency

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/jobs/entry"
)

const (
	// MaxRecords is the maximum number of records of a team.
	MaxRecords = 20_000
	// MaxBytes limits the recorded answers of a team: at this size it may open no more calls.
	MaxBytes = 64 << 20
)

var (
	// ErrConflict means that the key was used for another request.
	ErrConflict = errors.New("the idempotency key was used for another request")
	// ErrOpen means that the request was sent and no answer was recorded.
	ErrOpen = errors.New("the request may have run and its answer is unknown")
	// ErrFull means that the team has reached MaxRecords or MaxBytes.
	ErrFull = errors.New("the team has reached its limit of idempotency keys or recorded answers")
)

type teamKey struct {
	team string
	key  string
}

type usage struct {
	records int
	bytes   int
}

// Table holds the records of calls by team and idempotency key.
type Table struct {
	records map[teamKey]*entry.Record
	teams   map[string]usage
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[teamKey]*entry.Record{}, teams: map[string]usage{}}
}

// Open records the intent of a call under a fencing token, or returns the record of an earlier call with the key.
func (t *Table) Open(o *entry.Open, fence uint64, now int64) (*entry.Record, error) {
	k := teamKey{o.Team, o.Key}
	r := t.records[k]
	if r != nil {
		return r, t.checkResend(r, o)
	}
	u := t.teams[o.Team]
	if u.records >= MaxRecords || u.bytes >= MaxBytes {
		return nil, ErrFull
	}
	r = &entry.Record{
		Team:        o.Team,
		Key:         o.Key,
		Fingerprint: o.Fingerprint,
		Fence:       fence,
		Nonce:       o.Nonce,
		Until:       now + o.KeepNanoseconds,
	}
	t.Put(r)
	return r, nil
}

func (t *Table) checkResend(r *entry.Record, o *entry.Open) error {
	if !bytes.Equal(r.Fingerprint, o.Fingerprint) {
		return ErrConflict
	}
	if !r.Closed && r.Nonce != o.Nonce {
		return ErrOpen
	}
	return nil
}

// Close records the answer of the call with this fencing token, or removes the record if the call has not run.
func (t *Table) Close(c *entry.Close) bool {
	k := teamKey{c.Team, c.Key}
	r := t.records[k]
	if r == nil || r.Fence != c.Fence || r.Closed {
		return false
	}
	if c.NotRun {
		t.remove(k)
		return true
	}
	r.Closed = true
	r.Answer = c.Answer
	u := t.teams[c.Team]
	u.bytes += len(c.Answer)
	t.teams[c.Team] = u
	return true
}

// Sweep removes the records whose retention has passed.
func (t *Table) Sweep(now int64) {
	for k, r := range t.records {
		if r.Until <= now {
			t.remove(k)
		}
	}
}

// Put adds a record, as when a saved table is loaded.
func (t *Table) Put(r *entry.Record) {
	t.records[teamKey{r.Team, r.Key}] = r
	u := t.teams[r.Team]
	u.records++
	u.bytes += len(r.Answer)
	t.teams[r.Team] = u
}

// Len returns the number of records.
func (t *Table) Len() int {
	return len(t.records)
}

// All returns the records in the order of team and key.
func (t *Table) All() []*entry.Record {
	a := make([]*entry.Record, 0, len(t.records))
	for _, r := range t.records {
		a = append(a, r)
	}
	slices.SortFunc(a, func(x, y *entry.Record) int {
		return cmp.Or(cmp.Compare(x.Team, y.Team), cmp.Compare(x.Key, y.Key))
	})
	return a
}

func (t *Table) remove(k teamKey) {
	r := t.records[k]
	delete(t.records, k)
	u := t.teams[k.team]
	u.records--
	u.bytes -= len(r.Answer)
	t.teams[k.team] = u
	if u.records == 0 {
		delete(t.teams, k.team)
	}
}
