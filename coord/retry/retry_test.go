package retry_test

import (
	"cmp"
	"math"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cranberrydrum.dev/coord/retry"
	"cranberrydrum.dev/coord/testflags"
)

// TestMain sets the seed and the number of rapid checks, unless the command
// line sets them.
func TestMain(m *testing.M) {
	testflags.SetDefaults(map[string]string{"rapid.seed": "1", "rapid.checks": "500"})
	os.Exit(m.Run())
}

// Guards against more retries than the budget permits, and against a budget that
// refuses a retry although a token is left.
func TestBudgetBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := retry.BudgetConfig{Ratio: 0.1, MinRetriesPerSecond: 2, Burst: 3, Initial: rapid.SampledFrom([]float64{0, 1, 3}).Draw(t, "initial")}
		budget := retry.NewBudget(0, cfg)
		now, tokens := time.Duration(0), cmp.Or(cfg.Initial, cfg.Burst)
		t.Repeat(map[string]func(*rapid.T){
			"first": func(*rapid.T) {
				budget.FirstAttempt(now)
				tokens = math.Min(cfg.Burst, tokens+cfg.Ratio)
			},
			"withdraw": func(*rapid.T) {
				budget.CancelFirstAttempt(now)
				tokens -= cfg.Ratio
			},
			"refund": func(*rapid.T) {
				budget.Refund(now)
				tokens = math.Min(cfg.Burst, tokens+1)
			},
			"ratio": func(t *rapid.T) {
				cfg.Ratio = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "ratio")
				budget.SetRatio(cfg.Ratio)
			},
			"retry": func(t *rapid.T) {
				if got := budget.TryRetry(now); got != (tokens >= 1) && math.Abs(tokens-1) > 1e-9 {
					t.Fatalf("TryRetry returned %v with %v tokens", got, tokens)
				} else if got {
					tokens--
				}
			},
			"pass": func(t *rapid.T) {
				d := time.Duration(rapid.IntRange(-100, 700).Draw(t, "ms")) * time.Millisecond
				budget.Available(now + d)
				now += max(0, d)
				tokens = math.Min(cfg.Burst, tokens+max(0, d).Seconds()*cfg.MinRetriesPerSecond)
			},
			"": func(t *rapid.T) {
				if got := budget.Available(now); math.Abs(got-tokens) > 1e-6 || got > cfg.Burst || got != budget.Balance() {
					t.Fatalf("budget has %v tokens, want %v", got, tokens)
				}
			},
		})
	})
}

// Guards against delays outside their bounds, overflow, and different delays for
// the same seed.
func TestBackoffBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := retry.BackoffConfig{
			Base: time.Duration(rapid.Int64Range(1, int64(time.Second)).Draw(t, "base")),
			Max:  time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(t, "max")),
		}
		seed := rapid.Uint64().Draw(t, "seed")
		a, b := retry.NewBackoff(cfg, seed), retry.NewBackoff(cfg, seed)
		for n := range 100 {
			upper := math.Min(float64(cfg.Max), float64(cfg.Base)*math.Pow(2, float64(n)))
			got := a.Delay(n)
			if float64(got) > upper || float64(got) < math.Floor(upper/2) {
				t.Fatalf("delay %v, upper bound %v", got, upper)
			}
			remaining := time.Duration(n) * time.Second
			again, ok := b.DelayWithin(n, remaining, time.Second)
			if again != got || ok != (remaining-got >= time.Second) {
				t.Fatalf("delay %v, in time %v, want delay %v", again, ok, got)
			}
		}
	})
}
