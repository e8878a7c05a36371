package jobs

import (
	"maps"
	"slices"

	"cranberrydrum.dev/scheduler/structs"
)

// touch notes that the orders of a job's workers may have changed.
func (c *Controller) touch(j *job) {
	for _, m := range j.Members {
		c.touched[m.Worker] = struct{}{}
	}
}

// Touched returns the workers whose orders may have changed since the last
// call, sorted. A host that holds the answer to their renewal answers now.
func (c *Controller) Touched() []string {
	if len(c.touched) == 0 {
		return nil
	}
	workers := slices.Sorted(maps.Keys(c.touched))
	clear(c.touched)
	return workers
}

// CarriedOut reports whether a worker has nothing left to do: its report shows
// that all orders are carried out, and lists no task without an order.
func CarriedOut(r structs.WorkerReport, orders structs.WorkerOrders) bool {
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

// phaseAfter is the phase of a task that has carried out an order.
var phaseAfter = map[structs.TaskAction]structs.TaskPhase{
	structs.ActionPrepare:    structs.TaskPrepared,
	structs.ActionStart:      structs.TaskRunning,
	structs.ActionThrottle:   structs.TaskRunning,
	structs.ActionCheckpoint: structs.TaskCheckpointed,
	structs.ActionStop:       structs.TaskStopped,
}
