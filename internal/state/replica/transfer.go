package replica

import (
	"time"

	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/message"
)

// Transfer hands the leadership to a voter as soon as the voter has the whole log.
func (r *Replica) Transfer(now time.Time, to identity.Identity) error {
	if r.role != roleLeader || to == r.Self || !r.members.current().HasVoter(to) {
		return ErrNotLeader
	}
	if !r.transferTo.IsZero() {
		return ErrBusy
	}
	r.transferTo = to
	r.transferDeadline = now.Add(transferTimeout)
	r.finishTransfer()
	return nil
}

// finishTransfer waits until the successor has the whole log, gives up the lease for good and then lets the successor campaign.
func (r *Replica) finishTransfer() {
	if r.role != roleLeader || r.transferTo.IsZero() || r.leaseReleased {
		return
	}
	if r.peer(r.transferTo).match != r.log.last() {
		return
	}
	r.leaseReleased = true
	r.send(message.Message{Kind: message.TimeoutNow, To: r.transferTo})
}

// DeferElections lets all other voters campaign first from now on, because this host is about to stop.
func (r *Replica) DeferElections(now time.Time) {
	if r.electionsDeferred {
		return
	}
	r.electionsDeferred = true
	r.resetElectionTimer(now)
}
