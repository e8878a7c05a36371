// Package retry implements a retry budget, which bounds the load that retries
// add, and jittered exponential backoff. It reads no clock and no random source;
// the caller passes the current time and a seed.
package retry

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// Ratio is the number of retries permitted for each first attempt.
	Ratio float64
	// MinRetriesPerSecond is the number of retries permitted each second
	// independently of first attempts, so that a few retries are possible
	// when there are few first attempts.
	MinRetriesPerSecond float64
	// Burst is the maximum number of unused retries that the budget keeps.
	Burst float64
	// Initial is the number of retries permitted at the start. 0 means Burst.
	Initial float64
}

// DefaultBudget lets retries add a tenth to the load, so that they do not
// multiply an overload of a backend server, and lets an idle host retry once a
// second.
var DefaultBudget = BudgetConfig{Ratio: 0.1, MinRetriesPerSecond: 1, Burst: 10}

// Budget is a token bucket that permits retries in proportion to first
// attempts. One token permits one retry. In any time span it permits at most
// Burst retries plus Ratio for each first attempt plus MinRetriesPerSecond for
// each second.
type Budget struct {
	cfg    BudgetConfig
	tokens float64
	last   time.Duration
}

// NewBudget returns a budget with the initial number of tokens.
func NewBudget(now time.Duration, cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, tokens: min(cmp.Or(cfg.Initial, cfg.Burst), cfg.Burst), last: now}
}

// SetRatio changes the number of retries permitted for each later first attempt.
func (b *Budget) SetRatio(ratio float64) { b.cfg.Ratio = ratio }

// FirstAttempt adds Ratio to the budget for a request that is sent for the first
// time.
func (b *Budget) FirstAttempt(now time.Duration) {
	b.refill(now)
	b.add(b.cfg.Ratio)
}

// CancelFirstAttempt undoes FirstAttempt for a request that was not sent after all.
// The budget may become negative, so that the bound on retries still holds for
// the requests that were sent.
func (b *Budget) CancelFirstAttempt(now time.Duration) {
	b.refill(now)
	b.add(-b.cfg.Ratio)
}

// TryRetry takes one token. If it returns false, the request must fail with the
// result of its last attempt.
func (b *Budget) TryRetry(now time.Duration) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund returns the token of a retry that was not sent.
func (b *Budget) Refund(now time.Duration) {
	b.refill(now)
	b.add(1)
}

// Available returns the number of retries permitted now.
func (b *Budget) Available(now time.Duration) float64 {
	b.refill(now)
	return b.tokens
}

// Balance returns the number of retries that were permitted at the time of the
// last call of another method.
func (b *Budget) Balance() float64 { return b.tokens }

func (b *Budget) refill(now time.Duration) {
	if now <= b.last {
		return
	}
	b.add((now - b.last).Seconds() * b.cfg.MinRetriesPerSecond)
	b.last = now
}

func (b *Budget) add(tokens float64) { b.tokens = min(b.tokens+tokens, b.cfg.Burst) }

// BackoffConfig configures the delays between attempts.
type BackoffConfig struct {
	// Base is the upper bound of the first delay.
	Base time.Duration
	// Max bounds every delay.
	Max time.Duration
}

// Backoff generates jittered exponential delays. The delay before retry n is
// uniformly distributed in the upper half of the range from 0 to
// min(Max, Base*2^n). The jitter spreads the retries of clients that failed at
// the same time. The lower bound prevents an immediate retry.
type Backoff struct {
	cfg BackoffConfig
	rng *rand.Rand
}

// NewBackoff returns a backoff whose delays depend only on cfg and seed.
func NewBackoff(cfg BackoffConfig, seed uint64) *Backoff {
	return &Backoff{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0))}
}

// Delay returns the delay before a retry. The first retry has number 0.
func (b *Backoff) Delay(retry int) time.Duration {
	upper := b.upperBound(retry)
	if upper <= 1 {
		return upper
	}
	half := upper / 2
	return half + time.Duration(b.rng.Int64N(int64(upper-half)+1))
}

// DelayWithin returns the delay before a retry, and whether at least the
// required time is left after the delay. The parameter remaining is the time
// until the deadline.
func (b *Backoff) DelayWithin(retry int, remaining, required time.Duration) (time.Duration, bool) {
	delay := b.Delay(retry)
	return delay, remaining-delay >= required
}

func (b *Backoff) upperBound(retry int) time.Duration {
	upper := min(b.cfg.Base, b.cfg.Max)
	for range retry {
		if upper > b.cfg.Max/2 {
			return b.cfg.Max
		}
		upper *= 2
	}
	return upper
}
