package peerselection

import (
	"slices"
	"time"
)

const (
	// failureBackoff is how long a peer is skipped after it failed to give a fresh answer.
	failureBackoff = 3 * time.Second
	// maxRelays is the number of relays that are tried before a control host.
	maxRelays = 2
)

// Selector ranks the peers of a host in the order in which it asks them.
type Selector struct {
	relays      []string
	control     []string
	retryAt     map[string]time.Time
	nextControl int
}

// NewSelector returns the selector of a host, given the failure domain of each host and the control hosts.
func NewSelector(name string, domains map[string]string, control []string) *Selector {
	s := &Selector{retryAt: map[string]time.Time{}}
	s.SetHosts(name, domains, control)
	return s
}

// SetHosts ranks the peers again and keeps the backoff of those that failed.
func (s *Selector) SetHosts(name string, domains map[string]string, control []string) {
	s.relays = nil
	if !slices.Contains(control, name) {
		s.relays = relaysBefore(name, domains, control)
	}
	s.control = sortedControl(name, domains, control)
}

// Next returns the peers to ask now, in order.
func (s *Selector) Next(now time.Time) []string {
	var l []string
	for _, r := range s.relays {
		if len(l) < maxRelays && !now.Before(s.retryAt[r]) {
			l = append(l, r)
		}
	}
	return append(l, s.nextControlHost(now)...)
}

// MarkFailed skips a peer for failureBackoff.
func (s *Selector) MarkFailed(now time.Time, peer string) {
	s.retryAt[peer] = now.Add(failureBackoff)
}

// MarkSucceeded ends the backoff of a peer.
func (s *Selector) MarkSucceeded(peer string) {
	delete(s.retryAt, peer)
}

// nextControlHost returns the first control host that is not skipped, or, if all are, one of them in turn.
func (s *Selector) nextControlHost(now time.Time) []string {
	if len(s.control) == 0 {
		return nil
	}
	for _, c := range s.control {
		if !now.Before(s.retryAt[c]) {
			return []string{c}
		}
	}
	s.nextControl++
	return []string{s.control[s.nextControl%len(s.control)]}
}

// relaysBefore returns the hosts without a disk in the failure domain of name that sort before it. Relays of
// one domain thus never pull from each other in a cycle, and only the first one asks a control host unless relays fail.
func relaysBefore(name string, domains map[string]string, control []string) []string {
	var l []string
	for n, d := range domains {
		if d == domains[name] && n < name && !slices.Contains(control, n) {
			l = append(l, n)
		}
	}
	slices.Sort(l)
	return l
}

// sortedControl puts the control hosts in the failure domain of name first.
func sortedControl(name string, domains map[string]string, control []string) []string {
	var near, far []string
	for _, c := range control {
		switch {
		case c == name:
		case domains[c] == domains[name]:
			near = append(near, c)
		default:
			far = append(far, c)
		}
	}
	slices.Sort(near)
	slices.Sort(far)
	return append(near, far...)
}
