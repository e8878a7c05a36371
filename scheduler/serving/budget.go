package serving

import (
	"math/rand/v2"
	"time"
)

// TokenBucket admits an amount per second with a bounded burst. The zero value
// admits nothing.
type TokenBucket struct {
	// Rate is the refill per second and Burst the highest balance.
	Rate, Burst float64
	balance     float64
	last        time.Duration
}

// NewTokenBucket returns a full bucket.
func NewTokenBucket(now time.Duration, rate, burst float64) *TokenBucket {
	return &TokenBucket{Rate: rate, Burst: burst, balance: burst, last: now}
}

// Balance returns what could be taken now.
func (b *TokenBucket) Balance(now time.Duration) float64 {
	if now > b.last {
		b.balance = min(b.Burst, b.balance+b.Rate*(now-b.last).Seconds())
		b.last = now
	}
	return b.balance
}

// Take takes the amount if it is there.
func (b *TokenBucket) Take(now time.Duration, amount float64) bool {
	if b.Balance(now) < amount {
		return false
	}
	b.balance -= amount
	return true
}

// Add puts tokens back, or takes them unconditionally if amount is negative.
func (b *TokenBucket) Add(now time.Duration, amount float64) {
	b.balance = min(b.Burst, b.Balance(now)+amount)
}

// Limits of the retry budget. The floor keeps a service with little traffic
// able to retry at all; the burst bounds what a quiet time can save up.
const (
	retryFloorPerSecond = 1.0
	retryBurst          = 20.0
	retryInitial        = 3.0
)

// retryBudget allows retries as a share of first attempts plus a small floor:
// retries <= retryInitial + share*first attempts + retryFloorPerSecond*seconds.
type retryBudget struct {
	share  float64
	bucket *TokenBucket
}

func newRetryBudget(share float64) retryBudget {
	bucket := NewTokenBucket(0, retryFloorPerSecond, retryBurst)
	bucket.balance = retryInitial
	return retryBudget{share: share, bucket: bucket}
}

func (b *retryBudget) firstAttempt(now time.Duration) { b.bucket.Add(now, b.share) }

// undoFirst takes back the credit of a first attempt that was withdrawn.
func (b *retryBudget) undoFirst(now time.Duration) { b.bucket.Add(now, -b.share) }

func (b *retryBudget) take(now time.Duration) bool { return b.bucket.Take(now, 1) }

// refund returns the token of a retry that was withdrawn.
func (b *retryBudget) refund(now time.Duration) { b.bucket.Add(now, 1) }

// Bounds of the delay before a retry.
const (
	backoffBase = 10 * time.Millisecond
	backoffMax  = 500 * time.Millisecond
)

// backoff returns the delay before the retry that follows failed attempts,
// between half and all of an exponentially growing bound.
func backoff(failed int, rng *rand.Rand) time.Duration {
	bound := backoffBase
	for i := 1; i < failed && bound < backoffMax; i++ {
		bound *= 2
	}
	bound = min(bound, backoffMax)
	return bound/2 + time.Duration(rng.Int64N(int64(bound/2)+1))
}
