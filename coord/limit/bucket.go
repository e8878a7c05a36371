// Package limit bounds rates and concurrency. It is pure: the caller passes
// the time and the measured latencies in.
package limit

import "time"

// MaxBurst bounds the burst of a bucket, so that counting in token-nanoseconds
// cannot overflow.
const MaxBurst int64 = 4 << 30

// unitsPerToken is the resolution of the count. A rate of one token per second
// gains one unit per nanosecond, so refills and waits are exact; floating point
// made long waits end before the tokens were there.
const unitsPerToken = int64(time.Second)

// Bucket is a token bucket. Over any time span it gives out at most the burst
// plus the rate times the span, except through Debit. A rate below one token
// per second is expressed by counting in smaller tokens.
type Bucket struct {
	// rate is in tokens per second, which is units per nanosecond.
	rate  int64
	burst int64
	units int64
	last  time.Duration
}

// NewBucket returns a full bucket that gains rate tokens per second and holds
// at most burst tokens. Both are clamped to the range from 0 to MaxBurst.
func NewBucket(now time.Duration, rate, burst int64) *Bucket {
	b := &Bucket{last: now}
	b.configure(rate, burst)
	b.units = b.burst
	return b
}

func (b *Bucket) configure(rate, burst int64) {
	b.rate = min(max(rate, 0), MaxBurst)
	b.burst = min(max(burst, 0), MaxBurst) * unitsPerToken
}

// Take removes tokens if there are enough.
func (b *Bucket) Take(now time.Duration, tokens int64) bool {
	b.refill(now)
	if tokens > MaxBurst || b.units < tokens*unitsPerToken {
		return false
	}
	b.units -= max(tokens, 0) * unitsPerToken
	return true
}

// Debit removes tokens even if there are not enough, for costs that are known
// only afterwards. Take then refuses until the debt is paid. The debt is at
// most MaxBurst.
func (b *Bucket) Debit(now time.Duration, tokens int64) {
	b.refill(now)
	b.units -= min(max(tokens, 0), MaxBurst) * unitsPerToken
	b.units = max(b.units, -MaxBurst*unitsPerToken)
}

// Wait returns how long it takes until Take succeeds. It returns false if it
// never does, because the bucket is too small or has no rate.
func (b *Bucket) Wait(now time.Duration, tokens int64) (time.Duration, bool) {
	b.refill(now)
	if tokens > MaxBurst {
		return 0, false
	}
	missing := tokens*unitsPerToken - b.units
	if missing <= 0 {
		return 0, true
	}
	if tokens*unitsPerToken > b.burst || b.rate == 0 {
		return 0, false
	}
	return time.Duration((missing-1)/b.rate + 1), true
}

// SetRate changes rate and burst from now on.
func (b *Bucket) SetRate(now time.Duration, rate, burst int64) {
	b.refill(now)
	b.configure(rate, burst)
	b.units = min(b.units, b.burst)
}

// Tokens returns the whole tokens in the bucket, rounded down; it is negative
// after a Debit that exceeded them.
func (b *Bucket) Tokens(now time.Duration) int64 {
	b.refill(now)
	if b.units < 0 {
		return (b.units+1)/unitsPerToken - 1
	}
	return b.units / unitsPerToken
}

func (b *Bucket) refill(now time.Duration) {
	if now <= b.last {
		return
	}
	elapsed := int64(now - b.last)
	b.last = now
	if b.rate == 0 {
		return
	}
	// Time beyond a full bucket is not multiplied, so the product fits.
	full := (b.burst-b.units)/b.rate + 1
	b.units = min(b.burst, b.units+min(elapsed, full)*b.rate)
}
