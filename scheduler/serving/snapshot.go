package serving

import (
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// Snapshot is the state of a Dispatcher for status pages and metrics.
type Snapshot struct {
	Service string
	Queued  map[structs.Class]int
	// Slots are the slots in use by class, and Running by all classes; they
	// include those of given-up attempts that may still run.
	Slots   map[structs.Class]int
	Running int
	// Aged counts the slots in use by requests that were taken out of turn.
	Aged      int
	Forwarded int
	// RetryBudget is the number of retries allowed right now.
	RetryBudget float64
	Executors   []ExecutorSnapshot
	Flows       []FlowSnapshot
	Counters    Counters
}

// ExecutorSnapshot is the state of one executor as seen by this host.
type ExecutorSnapshot struct {
	ID    string
	State structs.BackendState
	// Own is this host's share, Limit the adaptive limit within it.
	Own, Borrowed, Limit, Running int
	// Breaker is closed, open or half_open.
	Breaker string
	// Slowness is the binary logarithm of the measured over the expected time.
	Slowness float64
}

// FlowSnapshot is the state of one customer within one class.
type FlowSnapshot struct {
	Customer string
	Class    structs.Class
	Queued   int
	Median   time.Duration
	P95      time.Duration
}

// Counters count decisions since the start of the Dispatcher.
type Counters struct {
	Requests       uint64
	Answers        uint64
	Refusals       map[structs.Code]uint64
	FirstAttempts  uint64
	Retries        map[Result]uint64
	Hedges         uint64
	HedgeWins      uint64
	BudgetDenied   uint64
	LateResults    uint64
	Duplicates     uint64
	BreakersOpened uint64
	Aged           uint64
	SentBytes      uint64
}
