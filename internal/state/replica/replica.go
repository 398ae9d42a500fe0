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

	resendTimeout   = 250 * time.Millisecond
	transferTimeout = ElectionTimeout
	resignedDelay   = 2 * ElectionTimeout
	maxBatchBytes   = 1 << 20
	maxBatchEntries = 4096
	caughtUpEntries = 64
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

	batch    int
	random   *rand.Rand
	faults   faults
	ballot   ballot.Ballot
	stable   ballot.Ballot
	log      log
	written  uint64
	mark     uint64
	writes   []write
	commit   uint64
	quorum   membership
	snapshot place
	earlier  uint64
	role     role
	leader   identity.Identity
	heard    time.Time
	expires  time.Time
	votes    map[identity.Identity]bool
	forced   bool
	install  *install
	resigned bool
	reign
	out    effect.Effect
	broken error
}

// faults are deliberate errors that show that the invariants are checked.
type faults struct {
	sendEarly        bool
	skipLogCheck     bool
	leaseFromArrival bool
	commitOldTerm    bool
	forgetVote       bool
	readUnconfirmed  bool
}

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leading
)

// write is an effect that is being made durable.
type write struct {
	mark   uint64
	last   uint64
	ballot ballot.Ballot
}

// install is a snapshot that is being received.
type install struct {
	place
	offset uint64
	last   bool
}

// NewReplica returns a member that starts from what its disk holds.
func NewReplica(self identity.Identity, seed uint64, r recovered.Recovered, now time.Time) *Replica {
	p := &Replica{
		Self:     self,
		random:   rand.New(rand.NewPCG(seed, spread(self))),
		ballot:   r.Ballot,
		stable:   r.Ballot,
		log:      log{base: r.Base, baseTerm: r.BaseTerm, entries: r.Entries},
		commit:   r.Base,
		heard:    now,
		batch:    maxBatchEntries,
		snapshot: place{r.Base, r.BaseTerm, r.Quorum},
	}
	p.quorum = newMembership(p.snapshot, r.Entries)
	p.written = p.log.last()
	p.rest(now)
	return p
}

// spread turns an identity into a number, so that hosts with the same seed wait unlike times.
func spread(i identity.Identity) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(i.String()))
	return h.Sum64()
}

// Take returns what the events since the last call ask for.
func (r *Replica) Take(now time.Time) effect.Effect {
	if r.role == leading {
		r.replicate(now)
	}
	e := r.out
	r.out = effect.Effect{}
	if e.IsDurable() {
		r.mark++
		e.Mark = r.mark
		r.writes = append(r.writes, write{r.mark, r.log.last(), r.ballot})
	}
	if r.faults.sendEarly {
		e.Send = append(e.Send, e.After...)
		e.After = nil
	}
	return e
}

// Tick tells the time.
func (r *Replica) Tick(now time.Time) {
	if r.role == leading {
		r.reignOn(now)
		return
	}
	if now.Before(r.expires) {
		return
	}
	r.leader = identity.Identity{}
	r.rest(now)
	if r.quorum.now().HasVoter(r.Self) && !r.replacing() {
		r.preCampaign(now)
	}
}

// Propose appends a command and returns its place and term.
func (r *Replica) Propose(data []byte) (index, term uint64, err error) {
	if r.role != leading || !r.transfer.IsZero() {
		return 0, 0, ErrNotLeader
	}
	return r.add(logentry.Command, data), r.ballot.Term, nil
}

// Persisted tells that every effect up to the one with mark is durable.
func (r *Replica) Persisted(now time.Time, mark uint64) {
	for len(r.writes) > 0 && r.writes[0].mark <= mark {
		r.stable = r.writes[0].ballot
		r.written = max(r.written, r.writes[0].last)
		r.writes = r.writes[1:]
	}
	if r.role == candidate && r.stable == r.ballot {
		r.countVote(now, r.Self)
	}
	r.advance()
}

// Compact tells that a durable snapshot holds the log up to index, of which keep entries stay for slow members.
func (r *Replica) Compact(index, keep uint64) {
	t, ok := r.log.term(index)
	if !ok || index <= r.snapshot.index || index > r.commit || index > r.written {
		return
	}
	r.earlier = r.snapshot.index
	r.snapshot = place{index, t, r.quorum.at(index)}
	if index <= r.log.base+keep {
		return
	}
	r.quorum.compact(index - keep)
	r.log.compact(index - keep)
}

// Installed tells that the snapshot received last replaced log and machine, or failed to.
func (r *Replica) Installed(now time.Time, ok bool) {
	i := r.install
	r.install = nil
	if i == nil || !ok || i.index <= r.commit {
		return
	}
	r.log = log{base: i.index, baseTerm: i.term}
	r.trim(0)
	r.quorum = newMembership(i.place, nil)
	r.earlier = r.snapshot.index
	r.snapshot = i.place
	r.commit = i.index
	r.written = i.index
	r.rest(now)
	r.reply(message.Message{Kind: message.AppendReply, To: r.leader, Index: i.index, Hint: i.index})
}

// replacing reports whether a whole snapshot is about to replace log and machine.
func (r *Replica) replacing() bool {
	return r.install != nil && r.install.last
}

// trim forgets what was to be or is being written after index.
func (r *Replica) trim(index uint64) {
	r.written = min(r.written, index)
	for i := range r.writes {
		r.writes[i].last = min(r.writes[i].last, index)
	}
	r.out.Entries = slices.DeleteFunc(r.out.Entries, func(e logentry.Entry) bool { return e.Index > index })
}

// add appends an entry of this leader's term.
func (r *Replica) add(k logentry.Kind, data []byte) uint64 {
	e := logentry.Entry{Index: r.log.last() + 1, Term: r.ballot.Term, Kind: k, Data: data}
	r.log.append(e)
	r.quorum.append(e)
	r.out.Entries = append(r.out.Entries, e)
	return e.Index
}

// rest puts off the next election by a random time.
func (r *Replica) rest(now time.Time) {
	d := ElectionTimeout + time.Duration(r.random.Int64N(int64(ElectionTimeout)))
	if r.resigned {
		d += resignedDelay
	}
	r.expires = now.Add(d)
}

// follow enters a term as a follower of leader, if known.
func (r *Replica) follow(now time.Time, term uint64, leader identity.Identity) {
	if term > r.ballot.Term {
		r.ballot = ballot.Ballot{Term: term}
		r.keepBallot()
		r.leader = identity.Identity{}
	}
	if r.role == leading {
		r.abdicate()
		r.rest(now)
	}
	r.role = follower
	r.forced = false
	if !leader.IsZero() {
		r.leader = leader
	}
}

func (r *Replica) keepBallot() {
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

// reply queues a message that leaves after what it promises is durable.
func (r *Replica) reply(m message.Message) {
	if m.To.IsZero() {
		return
	}
	m.From = r.Self
	if m.Term == 0 {
		m.Term = r.ballot.Term
	}
	r.out.After = append(r.out.After, m)
}

// deliver commits up to index and hands the entries out.
func (r *Replica) deliver(index uint64) {
	index = min(index, r.log.last())
	if index <= r.commit {
		return
	}
	r.out.Committed = append(r.out.Committed, r.log.between(r.commit, index)...)
	r.commit = index
}
