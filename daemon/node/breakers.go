package node

import "cranberrydrum.dev/scheduler/serving"

// logBreakers logs the breakers that differ from those of the last published
// snapshot.
func (s *service) logBreakers(last, current serving.Snapshot) {
	breakers := map[string]string{}
	for _, e := range last.Executors {
		breakers[e.ID] = e.Breaker
	}
	for _, e := range current.Executors {
		known, seen := breakers[e.ID]
		if e.Breaker == known || (!seen && e.Breaker == serving.BreakerClosed) {
			continue
		}
		s.node.log.Info("the breaker of a backend server changed", "service", s.name, "backend", e.ID,
			"breaker", e.Breaker, "failures", e.Failures, "overdue", e.Overdue, "state", string(e.State),
			"own", e.Own, "running", e.Running, "queued", queuedIn(current))
	}
}

// queuedIn returns the number of queued requests of all classes.
func queuedIn(snapshot serving.Snapshot) int {
	total := 0
	for _, queued := range snapshot.Queued {
		total += queued
	}
	return total
}
