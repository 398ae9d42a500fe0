package spillover

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// staysBelow is the used share of the own capacity below which no call leaves even if leaving is free. It is above lentUpTo, so
	// that a domain never sends calls away because of calls that others sent to it.
	staysBelow = 0.8
	// rise is how far above that the share that leaves would reach 1. A steeper rise oscillates with counts that are 200 ms old.
	rise = 0.3
	// lentUpTo is the used share of another domain's capacity up to which it takes calls of others. The rest is left for its own.
	lentUpTo = 0.75
	// spareWeight is the share that may be sent, per unused lent capacity and own demand. Calls sent lower the capacity that is
	// left, so in balance two thirds of it are used, and more if several domains send.
	spareWeight = 2
	// settleTime is the time constant of changes. With counts up to 200 ms old and four domains that send at once it keeps the
	// loop gain below that of an oscillation.
	settleTime = 1500 * time.Millisecond
	// returnBelow is the used share of the own capacity below which calls come back with the time constant returnTime instead: there
	// is room for them.
	returnBelow = 0.7
	returnTime  = 400 * time.Millisecond
	// maxShare bounds the share by which the own demand is inferred from the calls that stay.
	maxShare = 0.9
	// minShare is the share below which no call leaves, so that traffic ends when it has almost ended.
	minShare = 0.01
)

// Spillover decides for the calls of one service at one host; it is used by one goroutine at a time.
type Spillover struct {
	domains []domain
	home    int
	at      time.Time
	reason  string
}

// domain is a failure domain as last observed.
type domain struct {
	name     string
	capacity float64
	load     float64
	// share is the share of the own calls that goes to the domain.
	share float64
}

// Clone returns a copy that shares no state with the original.
func (s *Spillover) Clone() *Spillover {
	k := *s
	k.domains = slices.Clone(s.domains)
	return &k
}

// Begin starts an update; domains that Add doesn't name until Decide have no capacity.
func (s *Spillover) Begin() {
	for i := range s.domains {
		s.domains[i].capacity, s.domains[i].load = 0, 0
	}
}

// Add adds the slots of an upstream, as far as its speed and pace let them count, and the requests on it.
func (s *Spillover) Add(name string, slots, load float64) {
	d := &s.domains[s.index(name)]
	d.capacity += slots
	d.load += load
}

// Decide updates the shares. Cost is that of one call that leaves, relative to the worth of a call: added latency and bytes.
func (s *Spillover) Decide(now time.Time, home string, cost float64) {
	s.home = s.index(home)
	h := s.domains[s.home]
	weight := s.weight(now, h)
	s.at = now
	spare, sent := 0.0, 0.0
	for i, d := range s.domains {
		if i != s.home {
			spare += d.spare()
			sent += d.share
		}
	}
	want := s.wanted(h, sent, spare, cost)
	for i := range s.domains {
		d := &s.domains[i]
		if i == s.home {
			d.share = 0
			continue
		}
		d.share += (want*s.part(*d, spare) - d.share) * weight
		if d.capacity <= 0 || d.share < minShare && want == 0 {
			d.share = 0
		}
	}
}

// weight returns by how much of the difference the shares change.
func (s *Spillover) weight(now time.Time, h domain) float64 {
	settle := settleTime
	switch {
	case h.capacity <= 0 && s.placed() < 1-minShare:
		return 1 // calls still go to a domain that can't take them
	case h.capacity <= 0:
	case s.at.IsZero():
		return 0
	case h.load < returnBelow*h.capacity:
		settle = returnTime
	}
	return -math.Expm1(-float64(now.Sub(s.at)) / float64(settle))
}

// placed returns the share of the own calls that goes to other domains with capacity.
func (s *Spillover) placed() float64 {
	n := 0.0
	for i, d := range s.domains {
		if i != s.home && d.capacity > 0 {
			n += d.share
		}
	}
	return n
}

// wanted returns the share of the own calls that should leave.
func (s *Spillover) wanted(h domain, sent, spare, cost float64) float64 {
	if h.capacity <= 0 {
		s.reason = "no-own-capacity"
		return 1
	}
	used := h.load / h.capacity
	// The loss by staying grows with the square of the excess: few calls wait at first. Leaving pays from where it exceeds the cost.
	from := staysBelow + rise*math.Sqrt(min(max(cost, 0), 1))
	want := min(max((used-from)/rise, 0), 1)
	if want == 0 {
		s.reason = "own-capacity"
		return 0
	}
	demand := h.load / (1 - min(sent, maxShare))
	limit := spareWeight * spare / max(demand, 1)
	s.reason = "own-domain-full"
	if limit < want {
		s.reason = "others-full"
	}
	return min(want, limit)
}

// part returns the part of the calls that leave which a domain gets: by its spare capacity or, where none has any, by its capacity.
func (s *Spillover) part(d domain, spare float64) float64 {
	if spare > 0 {
		return d.spare() / spare
	}
	all := 0.0
	for i, o := range s.domains {
		if i != s.home {
			all += o.capacity
		}
	}
	if all == 0 {
		return 0
	}
	return d.capacity / all
}

// spare returns the capacity that a domain lends to others.
func (d domain) spare() float64 {
	return max(lentUpTo*d.capacity-d.load, 0)
}

// Target returns the failure domain for a call, given a random number from 0 to 1.
func (s *Spillover) Target(random float64) string {
	for i, d := range s.domains {
		if i == s.home {
			continue
		}
		if random < d.share {
			return d.name
		}
		random -= d.share
	}
	return s.domains[s.home].name
}

// Share returns the share of the own calls that goes to a domain.
func (s *Spillover) Share(name string) float64 {
	i, ok := slices.BinarySearchFunc(s.domains, name, byName)
	if !ok {
		return 0
	}
	return s.domains[i].share
}

// Reason names why calls leave or stay.
func (s *Spillover) Reason() string { return s.reason }

// index returns the index of a domain and adds it if it is new.
func (s *Spillover) index(name string) int {
	i, ok := slices.BinarySearchFunc(s.domains, name, byName)
	if !ok {
		s.domains = slices.Insert(s.domains, i, domain{name: name})
	}
	return i
}

func byName(d domain, name string) int { return strings.Compare(d.name, name) }
