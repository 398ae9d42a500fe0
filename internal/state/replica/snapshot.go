package replica

import (
	"time"

	"siskinrun/internal/state/message"
)

// incomingSnapshot is a snapshot that is being received.
type incomingSnapshot struct {
	position
	offset   uint64
	complete bool
}

// Compact reports to the replica that a durable snapshot covers the log up to index.
// The last keep entries stay in the log for members that lag behind.
func (r *Replica) Compact(index, keep uint64) {
	t, ok := r.log.term(index)
	if !ok || index <= r.snapshot.index || index > r.commitIndex || index > r.durableIndex {
		return
	}
	r.previousSnapshot = r.snapshot.index
	r.snapshot = position{index, t, r.members.at(index)}
	if index <= r.log.base+keep {
		return
	}
	r.members.compact(index - keep)
	r.log.compact(index - keep)
}

// Installed reports to the replica whether the received snapshot has replaced the log and the state machine.
func (r *Replica) Installed(now time.Time, ok bool) {
	i := r.incoming
	r.incoming = nil
	if i == nil || !ok || i.index <= r.commitIndex {
		return
	}
	r.log = log{base: i.index, baseTerm: i.term}
	r.dropPendingAfter(0)
	r.members = newMemberHistory(i.position, nil)
	r.previousSnapshot = r.snapshot.index
	r.snapshot = i.position
	r.commitIndex = i.index
	r.durableIndex = i.index
	r.resetElectionTimer(now)
	r.sendAfterSync(message.Message{Kind: message.AppendReply, To: r.leader, Index: i.index, Hint: i.index})
}

// installing reports whether a complete snapshot is about to replace the log and the state machine.
func (r *Replica) installing() bool {
	return r.incoming != nil && r.incoming.complete
}
