package replica

import (
	"github.com/cockroachdb/errors"
)

// fail records a broken invariant; the host stops when Check reports it.
func (r *Replica) fail(err error) {
	if r.invariantErr == nil {
		r.invariantErr = err
	}
}

// Check returns an error if an invariant of the replica is broken.
func (r *Replica) Check() error {
	switch {
	case r.invariantErr != nil:
		return r.invariantErr
	case r.commitIndex > r.log.last():
		return errors.Newf("the commit index %d exceeds the last log index %d", r.commitIndex, r.log.last())
	case r.commitIndex < r.log.base:
		return errors.Newf("the commit index %d is below the log's base %d", r.commitIndex, r.log.base)
	case r.durableIndex > r.log.last():
		return errors.Newf("the durable index %d exceeds the last log index %d", r.durableIndex, r.log.last())
	case r.durableBallot.Term > r.ballot.Term:
		return errors.Newf("the durable term %d exceeds the current term %d", r.durableBallot.Term, r.ballot.Term)
	case r.log.lastTerm() > r.ballot.Term:
		return errors.Newf("the last log term %d exceeds the current term %d", r.log.lastTerm(), r.ballot.Term)
	}
	return nil
}
