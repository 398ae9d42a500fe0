package ejection

import (
	"slices"
)

// Unreachable returns the upstreams to which connections fail; they get no requests until one succeeds.
func (e *Detector) Unreachable() []string {
	var l []string
	for n, m := range e.members {
		if m.unreachable {
			l = append(l, n)
		}
	}
	slices.Sort(l)
	return l
}

// Reachable reports whether connections to an upstream succeed, as far as known.
func (e *Detector) Reachable(name string) bool {
	m, ok := e.members[name]
	return ok && !m.unreachable
}

// MarkReachable records a successful connection to an upstream.
func (e *Detector) MarkReachable(name string) {
	if m, ok := e.members[name]; ok {
		m.unreachable = false
	}
}
