package revision

import "time"

// Revision records who made a version and what it changed.
type Revision struct {
	// Version is the version that the change made.
	Version uint64 `json:"version"`
	// ChangeID is the ID of the change, as chosen by the operator.
	ChangeID string `json:"change-id"`
	// By names the operator.
	By string `json:"by,omitempty"`
	// At is when a host received the change.
	At time.Time `json:"at,omitzero"`
	// Kind is the kind of the change.
	Kind string `json:"kind"`
	// Fields are the first fields that changed.
	Fields []string `json:"fields,omitempty"`
	// Changed is the number of fields that changed.
	Changed int `json:"changed"`
}
