package journal

import (
	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/recovered"
)

// replay collects the records of all segments in order.
//
// Segments before the first may have been removed. Until a reset record sets the base, the base is inferred from the
// first entry and its term is zero.
type replay struct {
	recovered.State
}

// apply applies the records of one frame.
func (p *replay) apply(records []byte) error {
	r := &recordReader{b: records}
	for len(r.b) > 0 && !r.malformed {
		if err := p.applyRecord(r); err != nil {
			return err
		}
	}
	if r.malformed {
		return errors.New("record is cut short")
	}
	return nil
}

func (p *replay) applyRecord(r *recordReader) error {
	switch k := r.byte(); k {
	case recordBallot:
		b := r.ballot()
		if b.Term < p.Ballot.Term {
			return errors.Newf("ballot term decreases from %d to %d", p.Ballot.Term, b.Term)
		}
		p.Ballot = b
	case recordEntry:
		return p.applyEntry(r)
	case recordReset:
		i := r.uvarint()
		p.applyReset(i, r.uvarint())
	default:
		return errors.Newf("unknown record kind %d", k)
	}
	return nil
}

func (p *replay) applyEntry(r *recordReader) error {
	e := r.entry()
	if r.malformed {
		return nil
	}
	if e.Index == 0 {
		return errors.New("entry has index 0")
	}
	if p.BaseTerm == 0 && (e.Index <= p.Base || len(p.Entries) == 0 && p.Base == 0) {
		p.Base = e.Index - 1
		p.Entries = nil
	}
	if e.Index <= p.Base || e.Index > p.lastIndex()+1 {
		return errors.Newf("entry %d does not follow entries %d to %d", e.Index, p.Base+1, p.lastIndex())
	}
	p.Entries = append(p.Entries[:e.Index-p.Base-1], e)
	return nil
}

// applyReset drops all entries, because a snapshot up to index replaces them.
func (p *replay) applyReset(index, term uint64) {
	p.Entries = nil
	p.Base = index
	p.BaseTerm = term
}

func (p *replay) lastIndex() uint64 {
	return p.Base + uint64(len(p.Entries))
}
