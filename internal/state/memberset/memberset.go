package memberset

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/identity"
)

// Set holds the members of a replica group.
type Set struct {
	// Voters count in elections and commits.
	Voters []identity.Identity `json:"voters"`
	// Learners receive the log and have no vote.
	Learners []identity.Identity `json:"learners,omitempty"`
}

// NewSet decodes a set that Encode wrote.
func NewSet(b []byte) (Set, error) {
	var s Set
	if err := json.Unmarshal(b, &s); err != nil {
		return Set{}, errors.Wrap(err, "decode a member set")
	}
	return s, nil
}

// Encode returns the set as the data of a log entry.
func (s Set) Encode() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return b
}

// HasVoter reports whether i is a voter.
func (s Set) HasVoter(i identity.Identity) bool {
	return slices.Contains(s.Voters, i)
}

// HasLearner reports whether i is a learner.
func (s Set) HasLearner(i identity.Identity) bool {
	return slices.Contains(s.Learners, i)
}

// All returns the voters followed by the learners.
func (s Set) All() []identity.Identity {
	return slices.Concat(s.Voters, s.Learners)
}

// Majority returns how many voters form a majority.
func (s Set) Majority() int {
	return len(s.Voters)/2 + 1
}

// MajorityValue returns the highest value that a majority of the voters has reached.
func (s Set) MajorityValue(value func(identity.Identity) uint64) uint64 {
	if len(s.Voters) == 0 {
		return 0
	}
	v := make([]uint64, 0, len(s.Voters))
	for _, i := range s.Voters {
		v = append(v, value(i))
	}
	slices.Sort(v)
	return v[len(v)-s.Majority()]
}

// WithLearner returns the set with i as a learner.
func (s Set) WithLearner(i identity.Identity) Set {
	n := s.Without(i)
	n.Learners = append(n.Learners, i)
	return n
}

// WithVoter returns the set with i as a voter.
func (s Set) WithVoter(i identity.Identity) Set {
	n := s.Without(i)
	n.Voters = append(n.Voters, i)
	return n
}

// Without returns the set without i.
func (s Set) Without(i identity.Identity) Set {
	is := func(o identity.Identity) bool { return o == i }
	return Set{
		Voters:   slices.DeleteFunc(slices.Clone(s.Voters), is),
		Learners: slices.DeleteFunc(slices.Clone(s.Learners), is),
	}
}
