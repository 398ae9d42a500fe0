package freshness

import "time"

// driftShare is the inverse of the largest difference in speed between two hosts' clocks.
const driftShare = 1000

// Freshness is a lease on the configuration, renewed by confirmations of a quorum.
type Freshness struct {
	// Lease is how long a confirmation lasts.
	Lease time.Duration

	instant time.Time
}

// Confirm renews the lease by a confirmation that was asked of the quorum at sent.
func (f *Freshness) Confirm(sent time.Time) {
	if sent.After(f.instant) {
		f.instant = sent
	}
}

// Relay renews the lease by a peer's confirmation, which had an age when the peer
// answered, after it had waited, a question asked at asked.
func (f *Freshness) Relay(asked time.Time, waited, age time.Duration) {
	if waited < 0 || age < 0 {
		return
	}
	f.Confirm(asked.Add(waited - age - (waited+age)/driftShare))
}

// Age returns the time since the newest confirmation and whether there is one.
func (f *Freshness) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(f.instant), !f.instant.IsZero()
}

// Until returns when the lease ends, or the zero time without any confirmation.
func (f *Freshness) Until() time.Time {
	if f.instant.IsZero() {
		return time.Time{}
	}
	return f.instant.Add(f.Lease)
}

// Fresh reports whether the lease holds at now.
func (f *Freshness) Fresh(now time.Time) bool {
	return now.Before(f.Until())
}
