package source

import (
	"slices"
	"time"
)

const (
	// suspicion is how long a peer that did not help is passed over.
	suspicion = 3 * time.Second
	// maxRelays is the number of relays that are tried before a control host.
	maxRelays = 2
)

// Source ranks the peers of a host by who should be asked first.
type Source struct {
	relays  []string
	control []string
	until   map[string]time.Time
	next    int
}

// NewSource returns the ranking for a host, given the failure domain of each host and the control hosts.
func NewSource(name string, domains map[string]string, control []string) *Source {
	s := &Source{until: map[string]time.Time{}}
	s.Set(name, domains, control)
	return s
}

// Set ranks the peers anew and keeps what is known of those that did not help.
func (s *Source) Set(name string, domains map[string]string, control []string) {
	s.relays = nil
	if !slices.Contains(control, name) {
		s.relays = relays(name, domains, control)
	}
	s.control = sortedControl(name, domains, control)
}

// Next returns the peers to ask now, in order.
func (s *Source) Next(now time.Time) []string {
	var l []string
	for _, r := range s.relays {
		if len(l) < maxRelays && !now.Before(s.until[r]) {
			l = append(l, r)
		}
	}
	return append(l, s.controlHost(now)...)
}

// Fail passes a peer over for a while.
func (s *Source) Fail(now time.Time, peer string) {
	s.until[peer] = now.Add(suspicion)
}

// Help ends the suspicion of a peer.
func (s *Source) Help(peer string) {
	delete(s.until, peer)
}

// controlHost returns the first trusted control host, or else each in turn.
func (s *Source) controlHost(now time.Time) []string {
	if len(s.control) == 0 {
		return nil
	}
	for _, c := range s.control {
		if !now.Before(s.until[c]) {
			return []string{c}
		}
	}
	s.next++
	return []string{s.control[s.next%len(s.control)]}
}

// relays returns the hosts without a disk that go before name in its failure domain.
func relays(name string, domains map[string]string, control []string) []string {
	var l []string
	for n, d := range domains {
		if d == domains[name] && n < name && !slices.Contains(control, n) {
			l = append(l, n)
		}
	}
	slices.Sort(l)
	return l
}

// sortedControl puts control hosts of the own failure domain first.
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
