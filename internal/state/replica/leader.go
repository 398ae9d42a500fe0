package replica

import (
	"time"

	"siskinrun/internal/state/effect"
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

type readRequest struct {
	id    uint64
	index uint64
	round uint64
}

func (r *Replica) becomeLeader(now time.Time) {
	r.role = roleLeader
	r.leader = r.Self
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
