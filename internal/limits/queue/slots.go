package queue

import "time"

// claimInterval is the time for which this host waits, while requests want slots, before it takes more of the free ones: by then
// all hosts have heard of those that the others took at the same moment.
const claimInterval = 100 * time.Millisecond

// slots are the slots of a service as one host sees them.
type slots struct {
	// total is all slots, taken those that other hosts use, and hosts the number of hosts that share them.
	total, taken, hosts int
	// usable is the number that this host may use now.
	usable int
	// claimedAt is when this host last took more than its share, claimed how many it took and takenThen what others used then.
	claimedAt time.Time
	claimed   int
	takenThen int
	// rivals is the number of hosts that may want the free ones too.
	rivals int
}

// share returns the even share of a host.
func (s *slots) share() int {
	return (s.total + s.hosts - 1) / s.hosts
}

// likely returns the number of slots that this host has once it has taken what others leave free.
func (s *slots) likely() int {
	return max(s.total-s.taken, s.share())
}

// allow lets this host use its share, and its part of what is free, without a claim.
func (s *slots) allow(busy int) {
	s.rivals = s.hosts
	s.use(busy)
	s.claimed = 0
}

// claim lets this host take more of the free slots. All hosts may want them at the same time, so each takes its part and sees
// next time what the others have left. While they take no more than this host, fewer of them are thought to want any.
func (s *slots) claim(now time.Time, busy int) {
	switch {
	case s.claimed == 0 || s.taken-s.takenThen > s.claimed:
		s.rivals = s.hosts
	default:
		s.rivals = max(s.rivals/2, 1)
	}
	s.use(busy)
	s.claimed = max(s.usable-busy, 0)
	s.takenThen = s.taken
	s.claimedAt = now
}

// use sets the slots that this host may use, given how many it uses now.
func (s *slots) use(busy int) {
	free := max(s.total-s.taken-busy, 0)
	s.usable = max(s.share(), busy+(free+s.rivals-1)/s.rivals)
}

// mayClaim reports whether the hosts have heard of what each of them uses, since requests wait and since the last claim.
func (s *slots) mayClaim(now, waitingSince time.Time) bool {
	return now.Sub(waitingSince) >= claimInterval && now.Sub(s.claimedAt) >= claimInterval
}

// yield gives up what other hosts have taken meanwhile.
func (s *slots) yield() {
	s.usable = max(min(s.usable, s.likely()), s.share())
}
