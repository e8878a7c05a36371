// Package limit implements a token bucket and an adaptive concurrency limit. It
// reads no clock; the caller passes the current time and measured latencies.
package limit

import "time"

// MaxBurst is the highest burst, in tokens, and the highest rate, in tokens per
// second, of a bucket. It prevents overflow of the count in units.
const MaxBurst int64 = 4 << 30

// unitsPerToken is the resolution of the count. A rate of one token per second
// adds one unit per nanosecond, so refills and waits are exact. With floating
// point, long waits ended before the bucket held the tokens.
const unitsPerToken = int64(time.Second)

// Bucket is a token bucket. In any time span, Take removes at most the burst
// plus the rate times the span; Debit can exceed that. For a rate below one
// token per second, the caller chooses a smaller amount of work as one token.
type Bucket struct {
	// rate is in tokens per second, which equals units per nanosecond.
	rate  int64
	burst int64
	units int64
	last  time.Duration
}

// NewBucket returns a full bucket that is refilled with rate tokens per second
// and holds at most burst tokens. Both are clamped to the range from 0 to
// MaxBurst.
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

// Take removes tokens if the bucket holds enough, and reports whether it did.
func (b *Bucket) Take(now time.Duration, tokens int64) bool {
	b.refill(now)
	if tokens > MaxBurst || b.units < tokens*unitsPerToken {
		return false
	}
	b.units -= max(tokens, 0) * unitsPerToken
	return true
}

// Debit removes tokens even if the bucket holds too few, for costs that are
// known only after the work. The number of tokens becomes negative, but not
// below -MaxBurst, and Take fails until the bucket is refilled.
func (b *Bucket) Debit(now time.Duration, tokens int64) {
	b.refill(now)
	b.units -= min(max(tokens, 0), MaxBurst) * unitsPerToken
	b.units = max(b.units, -MaxBurst*unitsPerToken)
}

// Wait returns the time until Take succeeds. It returns false if Take would
// never succeed, because the burst is too small or the rate is zero.
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

// SetRate changes the rate and the burst from now on.
func (b *Bucket) SetRate(now time.Duration, rate, burst int64) {
	b.refill(now)
	b.configure(rate, burst)
	b.units = min(b.units, b.burst)
}

// Tokens returns the number of tokens in the bucket, rounded down. It is
// negative after a Debit of more tokens than the bucket held.
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
	// The elapsed time is bounded by the time to a full bucket, so that the
	// product cannot overflow.
	untilFull := (b.burst-b.units)/b.rate + 1
	b.units = min(b.burst, b.units+min(elapsed, untilFull)*b.rate)
}
