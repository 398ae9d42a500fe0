package replica

import (
	"time"

	"siskinrun/internal/state/effect"
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/message"
)

type readRequest struct {
	id    uint64
	index uint64
	round uint64
}

// tickLeader steps down without a recent majority, ends overdue transfers and sends heartbeats.
func (r *Replica) tickLeader(now time.Time) {
	if now.Sub(r.confirmedAt()) > ElectionTimeout {
		r.follow(now, r.ballot.Term, identity.Identity{})
		return
	}
	if !r.transferTo.IsZero() && now.After(r.transferDeadline) {
		if r.leaseReleased {
			r.follow(now, r.ballot.Term, identity.Identity{})
			return
		}
		r.transferTo = identity.Identity{}
	}
	if heartbeatSlot(now) != heartbeatSlot(r.roundStarts[len(r.roundStarts)-1]) {
		r.startHeartbeatRound(now)
	}
}

// heartbeatSlot numbers the heartbeat intervals, so that all groups of a host send their heartbeats at the same time.
func heartbeatSlot(t time.Time) int64 {
	return t.UnixNano() / int64(HeartbeatInterval)
}

// startHeartbeatRound starts a round of heartbeats, which also confirms the reads that wait for one.
func (r *Replica) startHeartbeatRound(now time.Time) {
	r.round++
	r.roundStarts = append(r.roundStarts, now)
	for i := range r.pendingReads {
		if r.pendingReads[i].round == 0 {
			r.pendingReads[i].round = r.round
		}
	}
	for _, i := range r.members.current().All() {
		if i != r.Self {
			r.sendHeartbeat(i, r.peer(i))
		}
	}
	r.completeReads(now)
}

func (r *Replica) sendHeartbeat(i identity.Identity, p *peer) {
	p.sentCommit = min(r.commitIndex, p.match)
	r.send(message.Message{Kind: message.Heartbeat, To: i, Commit: p.sentCommit, Round: r.round})
}

// confirmedRound returns the last heartbeat round that a majority has answered.
func (r *Replica) confirmedRound() uint64 {
	return r.members.current().MajorityValue(func(i identity.Identity) uint64 {
		if i == r.Self {
			return r.round
		}
		return r.peer(i).round
	})
}

// confirmedAt returns when the last round that a majority has answered was sent.
func (r *Replica) confirmedAt() time.Time {
	if r.faults.leaseFromArrival && r.confirmedRound() > 0 {
		return r.lastReply
	}
	back := r.round - r.confirmedRound()
	i := len(r.roundStarts) - 1 - int(back)
	if i < 0 {
		return r.roundStarts[0]
	}
	return r.roundStarts[i]
}

// completeReads completes the reads whose round a majority has answered.
func (r *Replica) completeReads(now time.Time) {
	c := r.confirmedRound()
	if keep := int(r.round-c) + 1; len(r.roundStarts) > keep && c > 0 {
		r.roundStarts = append([]time.Time(nil), r.roundStarts[len(r.roundStarts)-keep:]...)
	}
	var rest []readRequest
	for _, q := range r.pendingReads {
		if q.round > 0 && q.round <= c {
			r.out.Reads = append(r.out.Reads, effect.Read{ID: q.id, Index: q.index})
			continue
		}
		rest = append(rest, q)
	}
	r.pendingReads = rest
	if c == r.round && len(rest) > 0 {
		r.startHeartbeatRound(now)
	}
}

// Read asks a quorum whether this replica still leads, for the read request that the caller numbers id.
func (r *Replica) Read(now time.Time, id uint64) {
	if r.role != roleLeader {
		r.out.RefusedReads = append(r.out.RefusedReads, id)
		return
	}
	q := readRequest{id: id, index: max(r.commitIndex, r.termStart)}
	if r.faults.readUnconfirmed {
		r.out.Reads = append(r.out.Reads, effect.Read{ID: id, Index: r.commitIndex})
		return
	}
	r.pendingReads = append(r.pendingReads, q)
	if r.confirmedRound() == r.round {
		r.startHeartbeatRound(now)
	}
}
