// Package retry bounds how much work retries add and spaces them. It is pure:
// the caller passes the time and a seed in.
package retry

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// BudgetConfig bounds retries.
type BudgetConfig struct {
	// Ratio is the number of retries permitted for each first attempt.
	Ratio float64
	// FloorPerSecond permits a few retries when there are few first attempts.
	FloorPerSecond float64
	// Burst is the most retries that can be saved up.
	Burst float64
	// Initial is the number of retries permitted at the start; 0 means Burst.
	Initial float64
}

// DefaultBudget lets retries add a tenth to the load, so that a backend
// overload is not multiplied, and lets an idle host retry once a second.
var DefaultBudget = BudgetConfig{Ratio: 0.1, FloorPerSecond: 1, Burst: 10}

// Budget permits retries in proportion to first attempts. Over any time span
// it permits at most Burst plus Ratio for each first attempt plus
// FloorPerSecond for each second.
type Budget struct {
	cfg    BudgetConfig
	tokens float64
	last   time.Duration
}

// NewBudget returns a budget with the initial permissions.
func NewBudget(now time.Duration, cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, tokens: min(cmp.Or(cfg.Initial, cfg.Burst), cfg.Burst), last: now}
}

// SetRatio changes the number of retries permitted for each later first attempt.
func (b *Budget) SetRatio(ratio float64) { b.cfg.Ratio = ratio }

// FirstAttempt notes a request that is sent for the first time.
func (b *Budget) FirstAttempt(now time.Duration) {
	b.refill(now)
	b.add(b.cfg.Ratio)
}

// WithdrawFirst takes back what a first attempt added that was not sent after
// all. The budget may become negative, so that the share still holds.
func (b *Budget) WithdrawFirst(now time.Duration) {
	b.refill(now)
	b.add(-b.cfg.Ratio)
}

// TryRetry takes the permission for one retry. If it returns false, the
// request must fail with the result it has.
func (b *Budget) TryRetry(now time.Duration) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund gives back the permission for a retry that was not sent.
func (b *Budget) Refund(now time.Duration) {
	b.refill(now)
	b.add(1)
}

// Available returns the number of retries permitted now.
func (b *Budget) Available(now time.Duration) float64 {
	b.refill(now)
	return b.tokens
}

// Balance returns the number of retries permitted at the time of the last call.
func (b *Budget) Balance() float64 { return b.tokens }

func (b *Budget) refill(now time.Duration) {
	if now <= b.last {
		return
	}
	b.add((now - b.last).Seconds() * b.cfg.FloorPerSecond)
	b.last = now
}

func (b *Budget) add(tokens float64) { b.tokens = min(b.tokens+tokens, b.cfg.Burst) }

// BackoffConfig describes the delays between attempts.
type BackoffConfig struct {
	// Base is the upper bound of the first delay.
	Base time.Duration
	// Max bounds every delay.
	Max time.Duration
}

// Backoff draws jittered exponential delays. The delay before retry n is
// uniform in the upper half of min(Max, Base*2^n): the jitter separates
// clients that failed together, the lower bound keeps retries from following
// at once.
type Backoff struct {
	cfg BackoffConfig
	rng *rand.Rand
}

// NewBackoff returns a backoff whose delays depend on the seed only.
func NewBackoff(cfg BackoffConfig, seed uint64) *Backoff {
	return &Backoff{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0))}
}

// Delay returns the delay before a retry; the first retry has number zero.
func (b *Backoff) Delay(retry int) time.Duration {
	upper := b.upper(retry)
	if upper <= 1 {
		return upper
	}
	half := upper / 2
	return half + time.Duration(b.rng.Int64N(int64(upper-half)+1))
}

// DelayWithin returns the delay before a retry, or false if less than the
// given time would then remain of what is left until the deadline.
func (b *Backoff) DelayWithin(retry int, left, need time.Duration) (time.Duration, bool) {
	delay := b.Delay(retry)
	return delay, left-delay >= need
}

func (b *Backoff) upper(retry int) time.Duration {
	upper := min(b.cfg.Base, b.cfg.Max)
	for range retry {
		if upper > b.cfg.Max/2 {
			return b.cfg.Max
		}
		upper *= 2
	}
	return upper
}
