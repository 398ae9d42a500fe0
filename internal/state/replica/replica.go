package replica

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/ballot"
	"siskinrun/internal/state/effect"
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/logentry"
	"siskinrun/internal/state/message"
	"siskinrun/internal/state/recovered"
)

const (
	// HeartbeatInterval is the time between two heartbeats of a leader.
	HeartbeatInterval = 100 * time.Millisecond
	// ElectionTimeout is the time without a leader after which a voter may be asked for its vote.
	ElectionTimeout = 500 * time.Millisecond
	// LeaseSpan is how long a leader relies on a heartbeat, from its sending.
	LeaseSpan = 400 * time.Millisecond
	// DriftMargin is the part of LeaseSpan that is given up to clocks that run at different speeds.
	DriftMargin = 20 * time.Millisecond
	// TickInterval is how often the driver calls Tick.
	TickInterval = 20 * time.Millisecond

	resendTimeout         = 250 * time.Millisecond
	transferTimeout       = ElectionTimeout
	deferredElectionDelay = 2 * ElectionTimeout
	maxBatchBytes         = 1 << 20
	maxBatchEntries       = 4096
	maxPromotionLag       = 64
)

// ErrNotLeader is returned for what only a leader can do.
var ErrNotLeader = errors.New("replica: not the leader")

// ErrBusy is returned for a membership change while another is under way.
var ErrBusy = errors.New("replica: a membership change is under way")

// ErrBehind is returned for a learner that has not caught up.
var ErrBehind = errors.New("replica: the learner has not caught up")

// Replica is one member of a replicated log, driven by events and the time.
type Replica struct {
	// Self is this member.
	Self identity.Identity

	maxEntries        int
	random            *rand.Rand
	faults            injectedFaults
	ballot            ballot.Ballot
	durableBallot     ballot.Ballot
	log               log
	durableIndex      uint64
	lastWrite         uint64
	pendingWrites     []pendingWrite
	commit            uint64
	members           memberHistory
	snapshot          position
	previousSnapshot  uint64
	role              role
	leader            identity.Identity
	lastLeaderContact time.Time
	electionDeadline  time.Time
	votes             map[identity.Identity]bool
	forced            bool
	incoming          *incomingSnapshot
	electionsDeferred bool
	leaderState
	out          effect.Effect
	invariantErr error
}

// injectedFaults are deliberate errors that show that the invariants are checked.
type injectedFaults struct {
	sendEarly        bool
	skipLogCheck     bool
	leaseFromArrival bool
	commitOldTerm    bool
	forgetVote       bool
	readUnconfirmed  bool
}

type role uint8

const (
	roleFollower role = iota
	rolePreCandidate
	roleCandidate
	roleLeader
)

// pendingWrite is an effect that is being made durable.
type pendingWrite struct {
	mark   uint64
	last   uint64
	ballot ballot.Ballot
}

// incomingSnapshot is a snapshot that is being received.
type incomingSnapshot struct {
	position
	offset   uint64
	complete bool
}

// NewReplica returns a member that starts from what its disk holds.
func NewReplica(self identity.Identity, seed uint64, r recovered.State, now time.Time) *Replica {
	p := &Replica{
		Self:              self,
		random:            rand.New(rand.NewPCG(seed, identityHash(self))),
		ballot:            r.Ballot,
		durableBallot:     r.Ballot,
		log:               log{base: r.Base, baseTerm: r.BaseTerm, entries: r.Entries},
		commit:            r.Base,
		lastLeaderContact: now,
		maxEntries:        maxBatchEntries,
		snapshot:          position{r.Base, r.BaseTerm, r.Members},
	}
	p.members = newMemberHistory(p.snapshot, r.Entries)
	p.durableIndex = p.log.last()
	p.resetElectionTimer(now)
	return p
}

// identityHash turns an identity into a number, so that hosts with the same seed wait unlike times.
func identityHash(i identity.Identity) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(i.String()))
	return h.Sum64()
}

// Take returns what the events since the last call ask for.
func (r *Replica) Take(now time.Time) effect.Effect {
	if r.role == roleLeader {
		r.replicate(now)
	}
	e := r.out
	r.out = effect.Effect{}
	if e.IsDurable() {
		r.lastWrite++
		e.WriteID = r.lastWrite
		r.pendingWrites = append(r.pendingWrites, pendingWrite{r.lastWrite, r.log.last(), r.ballot})
	}
	if r.faults.sendEarly {
		e.Send = append(e.Send, e.SendAfterSync...)
		e.SendAfterSync = nil
	}
	return e
}

// Tick tells the time.
func (r *Replica) Tick(now time.Time) {
	if r.role == roleLeader {
		r.tickLeader(now)
		return
	}
	if now.Before(r.electionDeadline) {
		return
	}
	r.leader = identity.Identity{}
	r.resetElectionTimer(now)
	if r.members.current().HasVoter(r.Self) && !r.installing() {
		r.preCampaign(now)
	}
}

// Propose appends a command and returns its place and term.
func (r *Replica) Propose(data []byte) (index, term uint64, err error) {
	if r.role != roleLeader || !r.transferTo.IsZero() {
		return 0, 0, ErrNotLeader
	}
	return r.add(logentry.Command, data), r.ballot.Term, nil
}

// Persisted tells that every effect up to the one with mark is durable.
func (r *Replica) Persisted(now time.Time, mark uint64) {
	for len(r.pendingWrites) > 0 && r.pendingWrites[0].mark <= mark {
		r.durableBallot = r.pendingWrites[0].ballot
		r.durableIndex = max(r.durableIndex, r.pendingWrites[0].last)
		r.pendingWrites = r.pendingWrites[1:]
	}
	if r.role == roleCandidate && r.durableBallot == r.ballot {
		r.countVote(now, r.Self)
	}
	r.advanceCommit()
}

// Compact tells that a durable snapshot holds the log up to index, of which keep entries stay for slow members.
func (r *Replica) Compact(index, keep uint64) {
	t, ok := r.log.term(index)
	if !ok || index <= r.snapshot.index || index > r.commit || index > r.durableIndex {
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

// Installed tells that the snapshot received last replaced log and machine, or failed to.
func (r *Replica) Installed(now time.Time, ok bool) {
	i := r.incoming
	r.incoming = nil
	if i == nil || !ok || i.index <= r.commit {
		return
	}
	r.log = log{base: i.index, baseTerm: i.term}
	r.dropPendingAfter(0)
	r.members = newMemberHistory(i.position, nil)
	r.previousSnapshot = r.snapshot.index
	r.snapshot = i.position
	r.commit = i.index
	r.durableIndex = i.index
	r.resetElectionTimer(now)
	r.sendAfterSync(message.Message{Kind: message.AppendReply, To: r.leader, Index: i.index, Hint: i.index})
}

// installing reports whether a whole snapshot is about to replace log and machine.
func (r *Replica) installing() bool {
	return r.incoming != nil && r.incoming.complete
}

// dropPendingAfter forgets what was to be or is being written after index.
func (r *Replica) dropPendingAfter(index uint64) {
	r.durableIndex = min(r.durableIndex, index)
	for i := range r.pendingWrites {
		r.pendingWrites[i].last = min(r.pendingWrites[i].last, index)
	}
	r.out.Entries = slices.DeleteFunc(r.out.Entries, func(e logentry.Entry) bool { return e.Index > index })
}

// add appends an entry of this leader's term.
func (r *Replica) add(k logentry.Kind, data []byte) uint64 {
	e := logentry.Entry{Index: r.log.last() + 1, Term: r.ballot.Term, Kind: k, Data: data}
	r.log.append(e)
	r.members.append(e)
	r.out.Entries = append(r.out.Entries, e)
	return e.Index
}

// resetElectionTimer puts off the next election by a random time.
func (r *Replica) resetElectionTimer(now time.Time) {
	d := ElectionTimeout + time.Duration(r.random.Int64N(int64(ElectionTimeout)))
	if r.electionsDeferred {
		d += deferredElectionDelay
	}
	r.electionDeadline = now.Add(d)
}

// follow enters a term as a follower of leader, if known.
func (r *Replica) follow(now time.Time, term uint64, leader identity.Identity) {
	if term > r.ballot.Term {
		r.ballot = ballot.Ballot{Term: term}
		r.persistBallot()
		r.leader = identity.Identity{}
	}
	if r.role == roleLeader {
		r.dropLeaderState()
		r.resetElectionTimer(now)
	}
	r.role = roleFollower
	r.forced = false
	if !leader.IsZero() {
		r.leader = leader
	}
}

func (r *Replica) persistBallot() {
	b := r.ballot
	r.out.Ballot = &b
}

// send queues a message that promises nothing that is not durable yet.
func (r *Replica) send(m message.Message) {
	m.From = r.Self
	if m.Term == 0 {
		m.Term = r.ballot.Term
	}
	r.out.Send = append(r.out.Send, m)
}

// sendAfterSync queues a message that leaves after what it promises is durable.
func (r *Replica) sendAfterSync(m message.Message) {
	if m.To.IsZero() {
		return
	}
	m.From = r.Self
	if m.Term == 0 {
		m.Term = r.ballot.Term
	}
	r.out.SendAfterSync = append(r.out.SendAfterSync, m)
}

// commitTo commits up to index and hands the entries out.
func (r *Replica) commitTo(index uint64) {
	index = min(index, r.log.last())
	if index <= r.commit {
		return
	}
	r.out.Committed = append(r.out.Committed, r.log.between(r.commit, index)...)
	r.commit = index
}
