package serving

import (
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// Snapshot is the state of a Dispatcher for status pages and metrics.
type Snapshot struct {
	Service string
	Queued  map[structs.Class]int
	// Slots counts the slots in use by class, and Running those of all classes.
	// Both include the slots of abandoned attempts that may still run.
	Slots   map[structs.Class]int
	Running int
	// Aged counts the slots in use by requests that were selected by aging.
	Aged int
	// Forwarded counts the requests whose forwarding is in progress.
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
	// Own is this host's share of the slots, Borrowed the number of leased slots,
	// and Limit the adaptive limit for both together.
	Own, Borrowed, Limit, Running int
	// Breaker is closed, open or half_open. Failures counts consecutive failures,
	// and Overdue the attempts that make the executor look silent.
	Breaker           string
	Failures, Overdue int
	// Slowness is the binary logarithm of the ratio of the measured to the
	// expected service time.
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

// Counters holds the counts of decisions since the start of the Dispatcher.
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
	// Promised counts the refused requests that were told a return time in turn and can
	// be recognised, Returned those that returned then, and ReturnsAnswered those of
	// them that were answered.
	Promised, Returned, ReturnsAnswered uint64
	SentBytes                           uint64
}
