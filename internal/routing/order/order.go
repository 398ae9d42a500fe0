package order

import "time"

const (
	// Load is the kind of an order to load a model.
	Load = "load"
	// Unload is the kind of an order to unload a model.
	Unload = "unload"
	// Role is the kind of an order to change the engine's role.
	Role = "role"
)

// Order tells one engine to load or unload a model or to change its role.
type Order struct {
	// Engine is the name of the engine.
	Engine string `json:"engine"`
	// Fence is the fencing token of the sender's lease.
	Fence uint64 `json:"fence"`
	// Until is when the order must have been answered; it isn't sent later.
	Until time.Time `json:"-"`
	// Kind is Load, Unload or Role.
	Kind string `json:"kind"`
	// Model is model@version or model@version+adapter, empty for Role.
	Model string `json:"model,omitempty"`
	// Role is the new role, empty for the other kinds.
	Role string `json:"role,omitempty"`
}
