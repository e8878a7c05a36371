package serving

import (
	"time"

	"cranberrydrum.dev/coord/retry"
)

// Limits of the retry budget, in retries. The floor lets a service with little
// traffic retry at all; the burst bounds what accumulates while there is no
// traffic.
const (
	retryFloorPerSecond = 1.0
	retryBurst          = 20.0
	retryInitial        = 3.0
)

// Bounds of the delay before a retry.
const (
	backoffBase = 10 * time.Millisecond
	backoffMax  = 500 * time.Millisecond
)

// newRetryBudget returns a budget that allows retries as a share of the first
// attempts plus a small floor:
// retries <= retryInitial + share*first attempts + retryFloorPerSecond*seconds.
func newRetryBudget(share float64) *retry.Budget {
	return retry.NewBudget(0, retry.BudgetConfig{
		Ratio:               share,
		MinRetriesPerSecond: retryFloorPerSecond,
		Burst:               retryBurst,
		Initial:             retryInitial,
	})
}

func newBackoff(seed uint64) *retry.Backoff {
	return retry.NewBackoff(retry.BackoffConfig{Base: backoffBase, Max: backoffMax}, seed)
}
