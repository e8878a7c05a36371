package fleet

import "time"

// Audits compare what is kept between decisions with the full computation that it replaces.
// They are set by tests only.
var (
	// auditVictims checks a search for victims.
	auditVictims func(c *Controller, now time.Duration, rs *roundState, ts *taskSet, tasks []int, victims map[*executor][]*victim)
	// auditPlaces checks the places that were found for a task set.
	auditPlaces func(c *Controller, now time.Duration, rs *roundState, ts *taskSet, places []place, ok bool)
	// auditReconcile checks the runs of the executors.
	auditReconcile func(c *Controller, now time.Duration)
	// auditOrders checks that no order is due.
	auditOrders func(c *Controller, now time.Duration)
)
