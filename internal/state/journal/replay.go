package journal

import (
	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/recovered"
)

// replay collects the records of all segments in order.
//
// The base is a guess, with no term, until a reset names it: segments before the first have been removed.
type replay struct {
	recovered.State
}

// take applies the records of one frame.
func (p *replay) take(records []byte) error {
	r := &reader{b: records}
	for len(r.b) > 0 && !r.bad {
		if err := p.record(r); err != nil {
			return err
		}
	}
	if r.bad {
		return errors.New("a record is cut short")
	}
	return nil
}

func (p *replay) record(r *reader) error {
	switch k := r.byte(); k {
	case recordBallot:
		b := r.ballot()
		if b.Term < p.Ballot.Term {
			return errors.Newf("the term goes back from %d to %d", p.Ballot.Term, b.Term)
		}
		p.Ballot = b
	case recordEntry:
		return p.entry(r)
	case recordReset:
		i := r.number()
		p.reset(i, r.number())
	default:
		return errors.Newf("a record has the unknown kind %d", k)
	}
	return nil
}

func (p *replay) entry(r *reader) error {
	e := r.entry()
	if r.bad {
		return nil
	}
	if e.Index == 0 {
		return errors.New("an entry has no index")
	}
	if p.BaseTerm == 0 && (e.Index <= p.Base || len(p.Entries) == 0 && p.Base == 0) {
		p.Base = e.Index - 1
		p.Entries = nil
	}
	if e.Index <= p.Base || e.Index > p.last()+1 {
		return errors.Newf("entry %d does not follow entries %d to %d", e.Index, p.Base+1, p.last())
	}
	p.Entries = append(p.Entries[:e.Index-p.Base-1], e)
	return nil
}

// reset drops all entries, which a snapshot up to index replaces.
func (p *replay) reset(index, term uint64) {
	p.Entries = nil
	p.Base = index
	p.BaseTerm = term
}

func (p *replay) last() uint64 {
	return p.Base + uint64(len(p.Entries))
}
