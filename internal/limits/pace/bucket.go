package pace

import "time"

// minRate is the least rate in requests a second. An upstream that takes less still gets a request now and then, since only
// an answer tells that its limit has ended.
const minRate = 0.2

// Bucket is a token bucket whose rate may change and from which requests reserve tokens that accrue later, in the order in
// which they ask. It starts empty.
type Bucket struct {
	rate    float64
	depth   float64
	tokens  float64
	accrued time.Time
}

// SetRate changes the rate in requests a second and the number of tokens that the bucket holds, which is at least one.
func (b *Bucket) SetRate(now time.Time, rate, depth float64) {
	b.accrue(now)
	b.rate = max(rate, minRate)
	b.depth = max(depth, 1)
	b.tokens = min(b.tokens, b.depth)
}

// Delay returns when a token accrues that leaves the given number of tokens.
func (b *Bucket) Delay(now time.Time, left float64) time.Duration {
	b.accrue(now)
	n := 1 + left - b.tokens
	return time.Duration(max(n, 0) / b.rate * float64(time.Second))
}

// Take takes a token that accrues within wait. It returns when the token accrues, also if that is too late, and reports
// whether it was taken.
func (b *Bucket) Take(now time.Time, wait time.Duration) (delay time.Duration, taken bool) {
	delay = b.Delay(now, 0)
	if delay > max(wait, 0) {
		return delay, false
	}
	b.tokens--
	return delay, true
}

// Tokens returns the number of tokens, which is negative if some are reserved.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.accrue(now)
	return b.tokens
}

// Fill returns the tokens as a share of those that the bucket holds, negative if some are reserved.
func (b *Bucket) Fill(now time.Time) float64 {
	return b.Tokens(now) / max(b.depth, 1)
}

// accrue adds the tokens since the last call.
func (b *Bucket) accrue(now time.Time) {
	if d := now.Sub(b.accrued); d > 0 && !b.accrued.IsZero() {
		b.tokens = min(b.tokens+b.rate*d.Seconds(), b.depth)
	}
	if now.After(b.accrued) {
		b.accrued = now
	}
}
