package changeoutcome

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/config/revision"
	"siskinrun/internal/config/validation"
)

// Statuses of changes.
const (
	// Applied means that the change made a new version.
	Applied = "applied"
	// Conflict means that other changes were applied since the base and that this one was not.
	Conflict = "conflict"
	// Invalid means that the change is malformed or would make the configuration invalid.
	Invalid = "invalid"
	// Superseded means that a configuration of this or a higher edition is already in force.
	Superseded = "superseded"
	// Reused means that another change has used the same ID.
	Reused = "id-reused"
	// Forgotten means that the change is so old that the store no longer knows whether it was applied.
	Forgotten = "forgotten"
)

// Outcome is the result of a change, the same each time the change is resent.
type Outcome struct {
	// Status is one of the constants of this package.
	Status string `json:"status"`
	// ChangeID is the ID of the change.
	ChangeID string `json:"change-id"`
	// Base is the version that the change was made against.
	Base uint64 `json:"base"`
	// Version is the version that the change made, or the version in force when it was refused.
	Version uint64 `json:"version"`
	// By names the operator who first used the ID of the change.
	By string `json:"by,omitempty"`
	// Message explains the status to an operator.
	Message string `json:"message"`
	// Problems say why the change is invalid.
	Problems []validation.Problem `json:"problems,omitempty"`
	// Conflicts are the first versions made since the base.
	Conflicts []revision.Revision `json:"conflicts,omitempty"`
}

// Decode decodes the JSON that Encode returns.
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
