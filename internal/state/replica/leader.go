package replica

import (
	"time"

	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/logentry"
	"siskinrun/internal/state/message"
)

// leaderState holds what only a leader keeps; roundStarts are the times of the last heartbeat rounds up to round.
type leaderState struct {
	peers            map[identity.Identity]*peer
	termStart        uint64
	leaderSince      time.Time
	round            uint64
	roundStarts      []time.Time
	pendingReads     []readRequest
	transferTo       identity.Identity
	transferDeadline time.Time
	leaseReleased    bool
	lastReply        time.Time
}

// peer holds what a leader knows of another member.
type peer struct {
	match       uint64
	next        uint64
	sentCommit  uint64
	round       uint64
	lastContact time.Time
	inFlight    bool
	sentAt      time.Time
	snapshot    position
	offset      uint64
}

func (r *Replica) becomeLeader(now time.Time) {
	r.role = roleLeader
	r.leader = r.Self
	r.votes = nil
	r.leaderState = leaderState{peers: map[identity.Identity]*peer{}, leaderSince: now, roundStarts: []time.Time{now}}
	r.termStart = r.add(logentry.NoOp, nil)
	r.startHeartbeatRound(now)
}

func (r *Replica) dropLeaderState() {
	for _, q := range r.pendingReads {
		r.out.RefusedReads = append(r.out.RefusedReads, q.id)
	}
	r.leaderState = leaderState{}
	r.leader = identity.Identity{}
}

func (r *Replica) peer(i identity.Identity) *peer {
	p := r.peers[i]
	if p == nil {
		p = &peer{next: r.log.last()}
		r.peers[i] = p
	}
	return p
}

// replicate sends each member the entries that it lacks, with one message in flight per member.
func (r *Replica) replicate(now time.Time) {
	for _, i := range r.members.current().All() {
		if i != r.Self {
			r.sendEntries(now, i, r.peer(i))
		}
	}
}

func (r *Replica) sendEntries(now time.Time, i identity.Identity, p *peer) {
	if p.inFlight && now.Sub(p.sentAt) < resendTimeout {
		return
	}
	p.inFlight = false
	if p.next > r.log.last() {
		return
	}
	p.inFlight = true
	p.sentAt = now
	t, ok := r.log.term(p.next - 1)
	if !ok {
		r.sendChunk(i, p)
		return
	}
	p.sentCommit = r.commitIndex
	r.send(message.Message{
		Kind:    message.Append,
		To:      i,
		Index:   p.next - 1,
		LogTerm: t,
		Commit:  r.commitIndex,
		Round:   r.round,
		Entries: r.log.batch(p.next-1, r.maxEntries),
	})
}

// sendChunk sends the next chunk of the snapshot; the driver fills in its data.
func (r *Replica) sendChunk(i identity.Identity, p *peer) {
	if p.snapshot.index <= p.match || p.snapshot.index != r.previousSnapshot && p.snapshot.index != r.snapshot.index {
		p.snapshot = r.snapshot
		p.offset = 0
	}
	r.send(message.Message{
		Kind:    message.Chunk,
		To:      i,
		Index:   p.snapshot.index,
		LogTerm: p.snapshot.term,
		Members: p.snapshot.members,
		Offset:  p.offset,
		Round:   r.round,
	})
}

func (r *Replica) onReply(now time.Time, m message.Message) {
	if m.Term > r.ballot.Term {
		r.follow(now, m.Term, identity.Identity{})
		return
	}
	if m.Term < r.ballot.Term {
		return
	}
	if m.Kind == message.VoteReply {
		if !m.Reject {
			r.countVote(now, m.From)
		}
		return
	}
	q := r.members.current()
	if r.role != roleLeader || !q.HasVoter(m.From) && !q.HasLearner(m.From) {
		return
	}
	p := r.peer(m.From)
	if m.Round > p.round && m.Round <= r.round {
		r.recordReply(now, p, m.Round)
	}
	switch m.Kind {
	case message.AppendReply:
		r.onAppendReply(m, p)
	case message.ChunkReply:
		r.onChunkReply(m, p)
	}
	r.completeReads(now)
	r.advanceCommit()
	if !p.inFlight && p.sentCommit < min(r.commitIndex, p.match) {
		r.sendHeartbeat(m.From, p)
	}
	r.finishTransfer()
}

// recordReply records that a peer has answered a heartbeat round.
// The round's start is unknown if a majority has already answered later rounds.
func (r *Replica) recordReply(now time.Time, p *peer, round uint64) {
	p.round = round
	r.lastReply = now
	if i := len(r.roundStarts) - 1 - int(r.round-round); i >= 0 {
		p.lastContact = r.roundStarts[i]
	}
}

func (r *Replica) onAppendReply(m message.Message, p *peer) {
	if m.Reject {
		if m.Index != p.next-1 || m.Index <= p.match {
			return
		}
		p.inFlight = false
		p.next = max(p.match, min(m.Index-1, m.Hint)) + 1
		return
	}
	if m.Hint > r.log.last() {
		return
	}
	if m.Hint >= p.next-1 {
		p.inFlight = false
	}
	p.match = max(p.match, m.Hint)
	p.next = max(p.next, p.match+1)
}

func (r *Replica) onChunkReply(m message.Message, p *peer) {
	if m.Index != p.snapshot.index {
		return
	}
	p.offset = m.Offset
	p.inFlight = false
}

// advanceCommit commits the entries of this term that a majority has made durable.
func (r *Replica) advanceCommit() {
	if r.role != roleLeader {
		return
	}
	i := r.members.current().MajorityValue(func(i identity.Identity) uint64 {
		if i == r.Self {
			return r.durableIndex
		}
		return r.peer(i).match
	})
	t, ok := r.log.term(i)
	if i <= r.commitIndex || !ok || t != r.ballot.Term && !r.faults.commitOldTerm {
		return
	}
	r.commitTo(i)
	for _, m := range r.members.current().All() {
		if p := r.peer(m); m != r.Self && !p.inFlight && p.sentCommit < min(r.commitIndex, p.match) {
			r.sendHeartbeat(m, p)
		}
	}
}
