package freshness

import "time"

// driftDivisor is the inverse of the largest difference in rate between two hosts' clocks that the lease allows for, 0.1%.
const driftDivisor = 1000

// Freshness is a lease on the configuration, renewed by confirmations of a quorum.
type Freshness struct {
	// Lease is how long a confirmation is valid.
	Lease time.Duration

	confirmedAt time.Time
}

// Confirm renews the lease by a confirmation whose request was sent to the quorum at sent.
func (f *Freshness) Confirm(sent time.Time) {
	if sent.After(f.confirmedAt) {
		f.confirmedAt = sent
	}
}

// ConfirmRelayed renews the lease by a confirmation that a peer relayed. The request was sent to
// the peer at sent, the peer held it for waited, and the confirmation had the given age when it answered.
func (f *Freshness) ConfirmRelayed(sent time.Time, waited, age time.Duration) {
	if waited < 0 || age < 0 {
		return
	}
	f.Confirm(sent.Add(waited - age - (waited+age)/driftDivisor))
}

// Age returns the time since the latest confirmation and whether there is one.
func (f *Freshness) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(f.confirmedAt), !f.confirmedAt.IsZero()
}

// Until returns when the lease ends, or the zero time if there was no confirmation.
func (f *Freshness) Until() time.Time {
	if f.confirmedAt.IsZero() {
		return time.Time{}
	}
	return f.confirmedAt.Add(f.Lease)
}

// Fresh reports whether the lease holds at now.
func (f *Freshness) Fresh(now time.Time) bool {
	return now.Before(f.Until())
}
