package replica_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/state/ballot"
	"siskinrun/internal/state/effect"
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/memberset"
	"siskinrun/internal/state/message"
	"siskinrun/internal/state/recovered"
	"siskinrun/internal/state/replica"
)

// voteScript plays the part of the other voters of a replica, whose messages may be late or repeated.
type voteScript struct {
	is      *is.I
	voters  []identity.Identity
	replica *replica.Replica
	now     time.Time
}

// newVoteScript starts the first of some voters with a durable ballot and an empty log.
func newVoteScript(t *testing.T, voters int, b ballot.Ballot) *voteScript {
	t.Helper()
	s := &voteScript{is: is.New(t), now: time.Unix(1000, 0)}
	for i := range voters {
		s.voters = append(s.voters, identity.Identity{Host: string(rune('a' + i)), Disk: fmt.Sprint(i + 1)})
	}
	r := recovered.State{Ballot: b, Members: memberset.Set{Voters: s.voters}}
	s.replica = replica.NewReplica(s.voters[0], 1, r, s.now)
	return s
}

// persist takes the effects of the last events and makes them durable.
func (s *voteScript) persist() effect.Effect {
	e := s.replica.Take(s.now)
	s.persisted(e)
	return e
}

// persisted tells the replica that effects are durable.
func (s *voteScript) persisted(e effect.Effect) {
	if e.WriteID > 0 {
		s.replica.Persisted(s.now, e.WriteID)
	}
	s.is.NoErr(s.replica.Check())
}

// tickUntilPreVote lets time pass until the replica asks the others whether it may start a term.
func (s *voteScript) tickUntilPreVote() {
	for range 200 {
		s.now = s.now.Add(replica.TickInterval)
		s.replica.Tick(s.now)
		for _, m := range s.persist().Send {
			if m.Kind == message.PreVote {
				return
			}
		}
	}
	s.is.Fail() // the replica asks for no votes
}

// receive delivers a message of another voter.
func (s *voteScript) receive(from int, k message.Kind, term uint64) {
	s.replica.Step(s.now, message.Message{Kind: k, From: s.voters[from], To: s.voters[0], Term: term})
}

// allow lets the other voters allow the replica's next term and returns it with the effects of its start.
func (s *voteScript) allow() (uint64, effect.Effect) {
	s.tickUntilPreVote()
	term := s.replica.Term() + 1
	for i := 1; s.replica.Term() < term; i++ {
		s.receive(i, message.PreVoteReply, term)
	}
	return term, s.replica.Take(s.now)
}

// campaign lets the replica start a term, which gets durable, and returns the term.
func (s *voteScript) campaign() uint64 {
	term, e := s.allow()
	s.persisted(e)
	return term
}

// vote delivers the votes of other voters.
func (s *voteScript) vote(term uint64, from ...int) {
	for _, i := range from {
		s.receive(i, message.VoteReply, term)
		s.persist()
	}
}

// leads reports whether the replica leads the term.
func (s *voteScript) leads(term uint64) bool {
	return s.replica.Term() == term && s.replica.Leader() == s.voters[0]
}

// TestLateVotesMakeNoLeaderAfterARestart checks that a host which led a term before its restart does not lead it again.
// Its log may have lost entries of that term that others hold, so that it would give their indexes to other entries.
func TestLateVotesMakeNoLeaderAfterARestart(t *testing.T) {
	b := newVoteScript(t, 3, ballot.Ballot{})
	term := b.campaign()
	b.vote(term, 1)
	b.is.True(b.leads(term))
	s := newVoteScript(t, 3, ballot.Ballot{Term: term, Vote: b.voters[0]})
	s.tickUntilPreVote()
	s.vote(term, 2, 1)
	s.is.Equal(s.replica.Term(), term)
	s.is.True(!s.leads(term))
}

// TestLateVotesMakeNoLeaderAfterItSteppedDown checks that a host which stepped down does not lead the same term again.
// Late answers to heartbeats of its first time would otherwise confirm its reads and lease of the second.
func TestLateVotesMakeNoLeaderAfterItSteppedDown(t *testing.T) {
	s := newVoteScript(t, 3, ballot.Ballot{})
	term := s.campaign()
	s.vote(term, 1)
	s.is.True(s.leads(term))
	s.tickUntilPreVote()
	s.vote(term, 2, 1)
	s.is.Equal(s.replica.Term(), term)
	s.is.True(!s.leads(term))
}

// TestLateVotesMakeNoLeaderWhereAnotherLeads checks that following a leader ends the campaign of the term.
func TestLateVotesMakeNoLeaderWhereAnotherLeads(t *testing.T) {
	s := newVoteScript(t, 5, ballot.Ballot{})
	term := s.campaign()
	s.vote(term, 1)
	s.receive(2, message.Heartbeat, term)
	s.persist()
	s.is.Equal(s.replica.Leader(), s.voters[2])
	s.tickUntilPreVote()
	s.vote(term, 1, 3, 4)
	s.is.Equal(s.replica.Term(), term)
	s.is.True(!s.leads(term))
}

// TestLateVotesCountWhileTheNextTermIsAsked checks that votes which come after the candidate's timer still elect it.
func TestLateVotesCountWhileTheNextTermIsAsked(t *testing.T) {
	s := newVoteScript(t, 5, ballot.Ballot{})
	term := s.campaign()
	s.vote(term, 1)
	s.tickUntilPreVote()
	s.is.True(!s.leads(term))
	s.vote(term, 2)
	s.is.True(s.leads(term))
}

// TestVotesOfAFormerTermDoNotCount checks that votes count for their own term alone, whenever they come.
func TestVotesOfAFormerTermDoNotCount(t *testing.T) {
	s := newVoteScript(t, 5, ballot.Ballot{})
	former := s.campaign()
	s.vote(former, 1)
	term := s.campaign()
	s.vote(former, 2, 3)
	s.vote(term, 4)
	s.is.True(!s.leads(term))
	s.vote(term, 1)
	s.is.True(s.leads(term))
}

// TestVotesOfOthersThanVotersDoNotCount checks that only members with a vote elect a leader.
func TestVotesOfOthersThanVotersDoNotCount(t *testing.T) {
	s := newVoteScript(t, 3, ballot.Ballot{})
	s.voters = append(s.voters, identity.Identity{Host: "b", Disk: "lost"})
	term := s.campaign()
	s.vote(term, 3)
	s.is.True(!s.leads(term))
	s.vote(term, 1)
	s.is.True(s.leads(term))
}

// TestCandidateAsksAndCountsItselfOnceItsTermIsDurable checks that nothing relies on a vote that a crash could undo.
func TestCandidateAsksAndCountsItselfOnceItsTermIsDurable(t *testing.T) {
	s := newVoteScript(t, 3, ballot.Ballot{})
	term, e := s.allow()
	for _, m := range e.Send {
		s.is.True(m.Kind != message.Vote)
	}
	asked := 0
	for _, m := range e.SendAfterSync {
		if m.Kind == message.Vote {
			asked++
		}
	}
	s.is.Equal(asked, 2)
	s.receive(1, message.VoteReply, term)
	s.is.True(!s.leads(term))
	s.persisted(e)
	s.is.True(s.leads(term))
}
