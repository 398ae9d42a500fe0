package changeoutcome

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/config/problem"
	"siskinrun/internal/config/revision"
)

// Statuses of changes.
const (
	// Applied means that the change made a version.
	Applied = "applied"
	// Conflict means that other changes came first and that this one was not applied.
	Conflict = "conflict"
	// Invalid means that the change would leave a configuration with problems.
	Invalid = "invalid"
	// Superseded means that a configuration of this or a higher edition is in force and stays.
	Superseded = "superseded"
	// Reused means that another change has used the same ID.
	Reused = "id-reused"
	// Forgotten means that the change is too old to tell whether it was applied.
	Forgotten = "forgotten"
)

// Outcome is the one answer that a change gets, however often it is sent.
type Outcome struct {
	// Status is one of the constants of this package.
	Status string `json:"status"`
	// ChangeID is the ID of the change.
	ChangeID string `json:"change-id"`
	// Base is the version that the change was made against.
	Base uint64 `json:"base"`
	// Version is the version that the change made, or the version in force when it was refused.
	Version uint64 `json:"version"`
	// By names the operator whose change this was first.
	By string `json:"by,omitempty"`
	// Message explains the status to a person.
	Message string `json:"message"`
	// Problems are the reasons of an invalid change.
	Problems []problem.Problem `json:"problems,omitempty"`
	// Conflicts are the last versions made since the base.
	Conflicts []revision.Revision `json:"conflicts,omitempty"`
}

// Decode reads what Encode wrote.
func Decode(b []byte) (*Outcome, error) {
	o := &Outcome{}
	if err := json.Unmarshal(b, o); err != nil {
		return nil, errors.Wrap(err, "decode outcome")
	}
	return o, nil
}

// Encode returns the outcome as JSON.
func (o *Outcome) Encode() ([]byte, error) {
	return json.Marshal(o)
}
