package fleet

// OverloadCounts describes the decisions of one output that matter under overload.
type OverloadCounts struct {
	// HasRound is set if the output includes a round, without which the gauges say nothing.
	HasRound bool
	// SuspectedExecutors is the number of executors that take no gangs and no urgent tasks
	// while others fit.
	SuspectedExecutors int
	// JobsAtFault counts the jobs to which their failures were attributed.
	JobsAtFault int
}
