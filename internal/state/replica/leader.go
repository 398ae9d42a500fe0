package replica

import (
	"time"

	"siskinrun/internal/state/effect"
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/logentry"
	"siskinrun/internal/state/message"
)

// reign is what only a leader keeps.
type reign struct {
	peers     map[identity.Identity]*peer
	began     uint64
	since     time.Time
	round     uint64
	rounds    []time.Time
	reads     []question
	transfer  identity.Identity
	abandonBy time.Time
	lapsed    bool
	arrival   time.Time
}

// peer is what a leader knows of another member.
type peer struct {
	match    uint64
	next     uint64
	told     uint64
	round    uint64
	heard    time.Time
	waiting  bool
	sent     time.Time
	snapshot place
	offset   uint64
}

type question struct {
	id    uint64
	index uint64
	round uint64
}

func (r *Replica) lead(now time.Time) {
	r.role = leading
	r.leader = r.Self
	r.reign = reign{peers: map[identity.Identity]*peer{}, since: now, rounds: []time.Time{now}}
	r.began = r.add(logentry.Empty, nil)
	r.beat(now)
}

func (r *Replica) abdicate() {
	for _, q := range r.reads {
		r.out.Refused = append(r.out.Refused, q.id)
	}
	r.reign = reign{}
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

// reignOn is a leader's tick.
func (r *Replica) reignOn(now time.Time) {
	if now.Sub(r.confirmedAt()) > ElectionTimeout {
		r.follow(now, r.ballot.Term, identity.Identity{})
		return
	}
	if !r.transfer.IsZero() && now.After(r.abandonBy) {
		if r.lapsed {
			r.follow(now, r.ballot.Term, identity.Identity{})
			return
		}
		r.transfer = identity.Identity{}
	}
	if slot(now) != slot(r.rounds[len(r.rounds)-1]) {
		r.beat(now)
	}
}

// slot numbers the heartbeat intervals, so that all groups of a host send their heartbeats together.
func slot(t time.Time) int64 {
	return t.UnixNano() / int64(HeartbeatInterval)
}

// beat starts a round of heartbeats and puts the waiting questions in it.
func (r *Replica) beat(now time.Time) {
	r.round++
	r.rounds = append(r.rounds, now)
	for i := range r.reads {
		if r.reads[i].round == 0 {
			r.reads[i].round = r.round
		}
	}
	for _, i := range r.quorum.now().Members() {
		if i != r.Self {
			r.tell(i, r.peer(i))
		}
	}
	r.settle(now)
}

func (r *Replica) tell(i identity.Identity, p *peer) {
	p.told = min(r.commit, p.match)
	r.send(message.Message{Kind: message.Heartbeat, To: i, Commit: p.told, Round: r.round})
}

// confirmed returns the last round that a majority has answered.
func (r *Replica) confirmed() uint64 {
	return r.quorum.now().Reached(func(i identity.Identity) uint64 {
		if i == r.Self {
			return r.round
		}
		return r.peer(i).round
	})
}

// confirmedAt returns the sending time of the last round that a majority has answered.
func (r *Replica) confirmedAt() time.Time {
	if r.faults.leaseFromArrival && r.confirmed() > 0 {
		return r.arrival
	}
	back := r.round - r.confirmed()
	i := len(r.rounds) - 1 - int(back)
	if i < 0 {
		return r.rounds[0]
	}
	return r.rounds[i]
}

// settle answers the questions whose round a majority has answered.
func (r *Replica) settle(now time.Time) {
	c := r.confirmed()
	if keep := int(r.round-c) + 1; len(r.rounds) > keep && c > 0 {
		r.rounds = append([]time.Time(nil), r.rounds[len(r.rounds)-keep:]...)
	}
	var rest []question
	for _, q := range r.reads {
		if q.round > 0 && q.round <= c {
			r.out.Reads = append(r.out.Reads, effect.Read{ID: q.id, Index: q.index})
			continue
		}
		rest = append(rest, q)
	}
	r.reads = rest
	if c == r.round && len(rest) > 0 {
		r.beat(now)
	}
}

// Read asks a quorum whether this replica still leads, under a number of the caller's choice.
func (r *Replica) Read(now time.Time, id uint64) {
	if r.role != leading {
		r.out.Refused = append(r.out.Refused, id)
		return
	}
	q := question{id: id, index: max(r.commit, r.began)}
	if r.faults.readUnconfirmed {
		r.out.Reads = append(r.out.Reads, effect.Read{ID: id, Index: r.commit})
		return
	}
	r.reads = append(r.reads, q)
	if r.confirmed() == r.round {
		r.beat(now)
	}
}

// replicate sends each member what it lacks, one message at a time.
func (r *Replica) replicate(now time.Time) {
	for _, i := range r.quorum.now().Members() {
		if i != r.Self {
			r.feed(now, i, r.peer(i))
		}
	}
}

func (r *Replica) feed(now time.Time, i identity.Identity, p *peer) {
	if p.waiting && now.Sub(p.sent) < resendTimeout {
		return
	}
	p.waiting = false
	if p.next > r.log.last() {
		return
	}
	p.waiting = true
	p.sent = now
	t, ok := r.log.term(p.next - 1)
	if !ok {
		r.feedSnapshot(i, p)
		return
	}
	p.told = r.commit
	r.send(message.Message{
		Kind:    message.Append,
		To:      i,
		Index:   p.next - 1,
		LogTerm: t,
		Commit:  r.commit,
		Round:   r.round,
		Entries: r.log.batch(p.next-1, r.batch),
	})
}

// feedSnapshot asks the driver to send the next part of the snapshot.
func (r *Replica) feedSnapshot(i identity.Identity, p *peer) {
	if p.snapshot.index <= p.match || p.snapshot.index != r.earlier && p.snapshot.index != r.snapshot.index {
		p.snapshot = r.snapshot
		p.offset = 0
	}
	r.send(message.Message{
		Kind:    message.Chunk,
		To:      i,
		Index:   p.snapshot.index,
		LogTerm: p.snapshot.term,
		Quorum:  p.snapshot.quorum,
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
	q := r.quorum.now()
	if r.role != leading || !q.HasVoter(m.From) && !q.HasLearner(m.From) {
		return
	}
	p := r.peer(m.From)
	if m.Round > p.round && m.Round <= r.round {
		r.hear(now, p, m.Round)
	}
	switch m.Kind {
	case message.AppendReply:
		r.onAppendReply(m, p)
	case message.ChunkReply:
		r.onChunkReply(m, p)
	}
	r.settle(now)
	r.advance()
	if !p.waiting && p.told < min(r.commit, p.match) {
		r.tell(m.From, p)
	}
	r.handOver()
}

// hear notes that a peer has answered a round, whose start is known unless a majority has answered later ones.
func (r *Replica) hear(now time.Time, p *peer, round uint64) {
	p.round = round
	r.arrival = now
	if i := len(r.rounds) - 1 - int(r.round-round); i >= 0 {
		p.heard = r.rounds[i]
	}
}

func (r *Replica) onAppendReply(m message.Message, p *peer) {
	if m.Reject {
		if m.Index != p.next-1 || m.Index <= p.match {
			return
		}
		p.waiting = false
		p.next = max(p.match, min(m.Index-1, m.Hint)) + 1
		return
	}
	if m.Hint > r.log.last() {
		return
	}
	if m.Hint >= p.next-1 {
		p.waiting = false
	}
	p.match = max(p.match, m.Hint)
	p.next = max(p.next, p.match+1)
}

func (r *Replica) onChunkReply(m message.Message, p *peer) {
	if m.Index != p.snapshot.index {
		return
	}
	p.offset = m.Offset
	p.waiting = false
}

// advance commits what a majority has made durable in this term.
func (r *Replica) advance() {
	if r.role != leading {
		return
	}
	i := r.quorum.now().Reached(func(i identity.Identity) uint64 {
		if i == r.Self {
			return r.written
		}
		return r.peer(i).match
	})
	t, ok := r.log.term(i)
	if i <= r.commit || !ok || t != r.ballot.Term && !r.faults.commitOldTerm {
		return
	}
	r.deliver(i)
	for _, m := range r.quorum.now().Members() {
		if p := r.peer(m); m != r.Self && !p.waiting && p.told < min(r.commit, p.match) {
			r.tell(m, p)
		}
	}
}

// Transfer hands the leadership to a voter once that has the whole log.
func (r *Replica) Transfer(now time.Time, to identity.Identity) error {
	if r.role != leading || to == r.Self || !r.quorum.now().HasVoter(to) {
		return ErrNotLeader
	}
	if !r.transfer.IsZero() {
		return ErrBusy
	}
	r.transfer = to
	r.abandonBy = now.Add(transferTimeout)
	r.handOver()
	return nil
}

// handOver gives up the lease for good before it lets the successor campaign.
func (r *Replica) handOver() {
	if r.role != leading || r.transfer.IsZero() || r.lapsed {
		return
	}
	if r.peer(r.transfer).match != r.log.last() {
		return
	}
	r.lapsed = true
	r.send(message.Message{Kind: message.Campaign, To: r.transfer})
}

// Resign lets all other voters go first in later elections, before this host stops.
func (r *Replica) Resign(now time.Time) {
	if r.resigned {
		return
	}
	r.resigned = true
	r.rest(now)
}
