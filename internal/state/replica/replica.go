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
	"siskinrun/internal/state/recovered"
)

const (
	// HeartbeatInterval is the time between two heartbeats of a leader.
	HeartbeatInterval = 100 * time.Millisecond
	// ElectionTimeout is the time without contact to a leader after which a voter may grant its vote.
	ElectionTimeout = 500 * time.Millisecond
	// LeaseSpan is how long a heartbeat that a majority answers extends the leader's lease, from the time it is sent.
	// It is shorter than ElectionTimeout, so that the lease ends before its voters may elect another leader.
	LeaseSpan = 400 * time.Millisecond
	// DriftMargin is subtracted from LeaseSpan because clocks run at different speeds.
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

// ErrNotLeader is returned for operations that only a leader can carry out.
var ErrNotLeader = errors.New("replica: not the leader")

// ErrBusy is returned if another membership change or transfer is in progress.
var ErrBusy = errors.New("replica: a membership change or leadership transfer is in progress")

// ErrBehind is returned when a learner that has not caught up is to be promoted.
var ErrBehind = errors.New("replica: the learner has not caught up")

// Replica is one member of a replicated log, driven by messages and ticks.
type Replica struct {
	// Self is the identity of this member.
	Self identity.Identity

	maxEntries        int
	random            *rand.Rand
	faults            injectedFaults
	ballot            ballot.Ballot
	durableBallot     ballot.Ballot
	log               log
	durableIndex      uint64
	lastWriteID       uint64
	pendingWrites     []pendingWrite
	commitIndex       uint64
	members           memberHistory
	snapshot          position
	previousSnapshot  uint64 // index of the snapshot before the current one
	role              role
	leader            identity.Identity
	lastLeaderContact time.Time
	electionDeadline  time.Time
	preVotes          map[identity.Identity]bool
	votes             map[identity.Identity]bool // nil unless this member asks for votes of its term
	incoming          *incomingSnapshot
	electionsDeferred bool
	leaderState
	out          effect.Effect
	invariantErr error
}

// injectedFaults are faults that tests inject to prove that the invariant checks work.
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
	id     uint64
	last   uint64
	ballot ballot.Ballot
}

// NewReplica returns a replica that starts from the state recovered from its disk.
func NewReplica(self identity.Identity, seed uint64, r recovered.State, now time.Time) *Replica {
	p := &Replica{
		Self:              self,
		random:            rand.New(rand.NewPCG(seed, identityHash(self))),
		ballot:            r.Ballot,
		durableBallot:     r.Ballot,
		log:               log{base: r.Base, baseTerm: r.BaseTerm, entries: r.Entries},
		commitIndex:       r.Base,
		lastLeaderContact: now,
		maxEntries:        maxBatchEntries,
		snapshot:          position{r.Base, r.BaseTerm, r.Members},
	}
	p.members = newMemberHistory(p.snapshot, r.Entries)
	p.durableIndex = p.log.last()
	p.resetElectionTimer(now)
	return p
}

// identityHash hashes an identity, so that hosts with the same seed get different election timeouts.
func identityHash(i identity.Identity) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(i.String()))
	return h.Sum64()
}

// Take returns the effects of the events since the last call.
func (r *Replica) Take(now time.Time) effect.Effect {
	if r.role == roleLeader {
		r.replicate(now)
	}
	e := r.out
	r.out = effect.Effect{}
	if e.IsDurable() {
		r.lastWriteID++
		e.WriteID = r.lastWriteID
		r.pendingWrites = append(r.pendingWrites, pendingWrite{r.lastWriteID, r.log.last(), r.ballot})
	}
	if r.faults.sendEarly {
		e.Send = append(e.Send, e.SendAfterSync...)
		e.SendAfterSync = nil
	}
	return e
}

// Tick advances the time and starts heartbeats and elections that are due.
func (r *Replica) Tick(now time.Time) {
	if r.role == roleLeader {
		r.tickLeader(now)
		return
	}
	if now.Before(r.electionDeadline) || !r.ballotDurable() {
		return
	}
	r.leader = identity.Identity{}
	r.resetElectionTimer(now)
	if r.members.current().HasVoter(r.Self) && !r.installing() {
		r.preCampaign(now)
	}
}

// Propose appends a command and returns its index and term.
func (r *Replica) Propose(data []byte) (index, term uint64, err error) {
	if r.role != roleLeader || !r.transferTo.IsZero() {
		return 0, 0, ErrNotLeader
	}
	return r.add(logentry.Command, data), r.ballot.Term, nil
}

// Persisted reports to the replica that all effects up to writeID are durable.
func (r *Replica) Persisted(now time.Time, writeID uint64) {
	wasDurable := r.ballotDurable()
	for len(r.pendingWrites) > 0 && r.pendingWrites[0].id <= writeID {
		r.durableBallot = r.pendingWrites[0].ballot
		r.durableIndex = max(r.durableIndex, r.pendingWrites[0].last)
		r.pendingWrites = r.pendingWrites[1:]
	}
	if !wasDurable && r.ballotDurable() {
		r.onBallotDurable(now)
	}
	r.advanceCommit()
}

// onBallotDurable starts the wait for votes, because requests and grants leave only once their term is durable.
func (r *Replica) onBallotDurable(now time.Time) {
	r.resetElectionTimer(now)
	r.countVote(now, r.Self)
}

// dropPendingAfter forgets the entries after index that are durable, being written or about to be written.
func (r *Replica) dropPendingAfter(index uint64) {
	r.durableIndex = min(r.durableIndex, index)
	for i := range r.pendingWrites {
		r.pendingWrites[i].last = min(r.pendingWrites[i].last, index)
	}
	r.out.Entries = slices.DeleteFunc(r.out.Entries, func(e logentry.Entry) bool { return e.Index > index })
}

// add appends an entry in this leader's term.
func (r *Replica) add(k logentry.Kind, data []byte) uint64 {
	e := logentry.Entry{Index: r.log.last() + 1, Term: r.ballot.Term, Kind: k, Data: data}
	r.log.append(e)
	r.members.append(e)
	r.out.Entries = append(r.out.Entries, e)
	return e.Index
}

// resetElectionTimer sets the next election to a random time after ElectionTimeout.
func (r *Replica) resetElectionTimer(now time.Time) {
	d := ElectionTimeout + time.Duration(r.random.Int64N(int64(ElectionTimeout)))
	if r.electionsDeferred {
		d += deferredElectionDelay
	}
	r.electionDeadline = now.Add(d)
}

// follow enters a term as a follower of leader, which may be unknown.
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
	r.votes = nil
	if !leader.IsZero() {
		r.leader = leader
	}
}

func (r *Replica) persistBallot() {
	b := r.ballot
	r.out.Ballot = &b
}

// commitTo commits the entries up to index and hands them out to be applied.
func (r *Replica) commitTo(index uint64) {
	index = min(index, r.log.last())
	if index <= r.commitIndex {
		return
	}
	r.out.Committed = append(r.out.Committed, r.log.between(r.commitIndex, index)...)
	r.commitIndex = index
}
