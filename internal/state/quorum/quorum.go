package quorum

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/identity"
)

// Quorum holds the members of a replica group.
type Quorum struct {
	// Voters take part in elections and commits.
	Voters []identity.Identity `json:"voters"`
	// Learners receive the log and have no vote.
	Learners []identity.Identity `json:"learners,omitempty"`
}

// NewQuorum returns the quorum that Encode wrote.
func NewQuorum(b []byte) (Quorum, error) {
	var q Quorum
	if err := json.Unmarshal(b, &q); err != nil {
		return Quorum{}, errors.Wrap(err, "decode a quorum")
	}
	return q, nil
}

// Encode returns the quorum as the data of a log entry.
func (q Quorum) Encode() []byte {
	b, err := json.Marshal(q)
	if err != nil {
		panic(err)
	}
	return b
}

// HasVoter reports whether i votes.
func (q Quorum) HasVoter(i identity.Identity) bool {
	return slices.Contains(q.Voters, i)
}

// HasLearner reports whether i learns.
func (q Quorum) HasLearner(i identity.Identity) bool {
	return slices.Contains(q.Learners, i)
}

// Members returns the voters and then the learners.
func (q Quorum) Members() []identity.Identity {
	return slices.Concat(q.Voters, q.Learners)
}

// Majority returns the number of voters that decide.
func (q Quorum) Majority() int {
	return len(q.Voters)/2 + 1
}

// Reached returns the highest value that a majority of voters has reached.
func (q Quorum) Reached(value func(identity.Identity) uint64) uint64 {
	if len(q.Voters) == 0 {
		return 0
	}
	v := make([]uint64, 0, len(q.Voters))
	for _, i := range q.Voters {
		v = append(v, value(i))
	}
	slices.Sort(v)
	return v[len(v)-q.Majority()]
}

// WithLearner returns the quorum with i added as a learner.
func (q Quorum) WithLearner(i identity.Identity) Quorum {
	n := q.Without(i)
	n.Learners = append(n.Learners, i)
	return n
}

// WithVoter returns the quorum with i added as a voter.
func (q Quorum) WithVoter(i identity.Identity) Quorum {
	n := q.Without(i)
	n.Voters = append(n.Voters, i)
	return n
}

// Without returns the quorum with i removed.
func (q Quorum) Without(i identity.Identity) Quorum {
	is := func(o identity.Identity) bool { return o == i }
	return Quorum{
		Voters:   slices.DeleteFunc(slices.Clone(q.Voters), is),
		Learners: slices.DeleteFunc(slices.Clone(q.Learners), is),
	}
}
