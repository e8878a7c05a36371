package jobs

import (
	"maps"
	"slices"

	"cranberrydrum.dev/scheduler/structs"
)

// markOrdersChanged records that the orders of a job's workers may have changed.
func (c *Controller) markOrdersChanged(j *job) {
	for _, m := range j.Members {
		c.ordersChanged[m.Worker] = struct{}{}
	}
}

// TakeChangedWorkers returns the workers whose orders may have changed since the last
// call, sorted by ID. A host that is delaying the response to the renewal of one
// of them can then send it.
func (c *Controller) TakeChangedWorkers() []string {
	if len(c.ordersChanged) == 0 {
		return nil
	}
	workers := slices.Sorted(maps.Keys(c.ordersChanged))
	clear(c.ordersChanged)
	return workers
}

// OrdersExecuted reports whether a worker has executed all orders: its report shows
// the resulting phase of every order, and lists no task without an order.
func OrdersExecuted(r structs.WorkerReport, orders structs.WorkerOrders) bool {
	if orders.Lease == 0 || len(r.Tasks) != len(orders.Tasks) {
		return false
	}
	for _, o := range orders.Tasks {
		done := slices.ContainsFunc(r.Tasks, func(t structs.TaskReport) bool {
			return t.Job == o.Job && t.Run == o.Run && t.Phase == phaseAfter[o.Action]
		})
		if !done {
			return false
		}
	}
	return true
}

// phaseAfter maps an ordered action to the phase of a task that has executed it.
var phaseAfter = map[structs.TaskAction]structs.TaskPhase{
	structs.ActionPrepare:    structs.TaskPrepared,
	structs.ActionStart:      structs.TaskRunning,
	structs.ActionThrottle:   structs.TaskRunning,
	structs.ActionCheckpoint: structs.TaskCheckpointed,
	structs.ActionStop:       structs.TaskStopped,
}
