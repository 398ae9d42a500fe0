package upstream

import "siskinrun/internal/base/span"

const (
	// Engine is the kind of an upstream that runs models.
	Engine = "engine"
	// Service is the kind of an upstream that answers plain calls.
	Service = "service"
)

// Upstream is one announced back end.
type Upstream struct {
	// Name identifies the upstream across restarts.
	Name string `json:"name"`
	// Address is the host and port that take requests.
	Address string `json:"address"`
	// FailureDomain is where the upstream runs.
	FailureDomain string `json:"failure-domain"`
	// Kind is Engine or Service.
	Kind string `json:"kind"`
	// Service is the name that routes refer to.
	Service string `json:"service"`
	// Models are the loaded models as model@version or model@version+adapter.
	Models []string `json:"models,omitempty"`
	// Role is the part that an engine plays, such as mixed, prefill or decode.
	Role string `json:"role,omitempty"`
	// Slots is the number of requests that run side by side.
	Slots int `json:"slots"`
	// Fencing says that the upstream refuses orders with an old fencing number.
	Fencing bool `json:"fencing,omitempty"`
	// Incarnation grows each time the upstream restarts.
	Incarnation uint64 `json:"incarnation"`
	// Beat numbers the announcements of an incarnation, so that a late one is known, or is zero.
	Beat uint64 `json:"beat,omitempty"`
	// Leaving says that the upstream takes no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Age is the time since the upstream sent the announcement.
	Age span.Span `json:"age,omitempty"`
}
