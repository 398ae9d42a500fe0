package upstream

import (
	"slices"

	"siskinrun/internal/base/duration"
)

const (
	// Engine is the kind of an upstream that runs models.
	Engine = "engine"
	// Service is the kind of an upstream that serves plain calls.
	Service = "service"
	// Unversioned is the version of all upstreams that announce themselves without one.
	Unversioned = "unversioned"
)

// Upstream is one announced back end.
type Upstream struct {
	// Name identifies the upstream across restarts.
	Name string `json:"name"`
	// Address is the host and port that accept requests.
	Address string `json:"address"`
	// FailureDomain is the failure domain in which the upstream runs.
	FailureDomain string `json:"failure-domain"`
	// Kind is Engine or Service.
	Kind string `json:"kind"`
	// Service is the name of the service, which routes refer to.
	Service string `json:"service"`
	// Version is the version of the upstream's software, empty if it is not known.
	Version string `json:"version,omitempty"`
	// Models are the loaded models as model@version or model@version+adapter.
	Models []string `json:"models,omitempty"`
	// Role is the role of an engine, such as mixed, prefill or decode.
	Role string `json:"role,omitempty"`
	// Slots is the number of requests that run concurrently.
	Slots int `json:"slots"`
	// Fencing means that the upstream refuses orders with a stale fencing token.
	Fencing bool `json:"fencing,omitempty"`
	// Incarnation grows each time the upstream restarts.
	Incarnation uint64 `json:"incarnation"`
	// Sequence is the sequence number of the announcement within its incarnation, which reveals late ones, or zero.
	Sequence uint64 `json:"beat,omitempty"`
	// Leaving means that the upstream accepts no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Age is the time since the upstream sent the announcement.
	Age duration.Duration `json:"age,omitempty"`
	// Cold is how much longer the upstream bore few requests when it sent the announcement, or zero. It counts down with Age.
	Cold duration.Duration `json:"cold,omitempty"`
}

// SameContent reports whether two upstreams agree in everything but Age, Cold and Sequence.
func (u Upstream) SameContent(v Upstream) bool {
	return u.Name == v.Name && u.Address == v.Address && u.FailureDomain == v.FailureDomain &&
		u.Kind == v.Kind && u.Service == v.Service && u.Version == v.Version && u.Role == v.Role && u.Slots == v.Slots &&
		u.Fencing == v.Fencing && u.Incarnation == v.Incarnation && u.Leaving == v.Leaving &&
		slices.Equal(u.Models, v.Models)
}
