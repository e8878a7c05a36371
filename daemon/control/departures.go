package control

import (
	"time"

	"cranberrydrum.dev/daemon/clock"
	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/structs"
	"cranberrydrum.dev/scheduler/workload"
)

// departurePollInterval is the time between two looks at the runs of an executor that
// deregistered.
const departurePollInterval = 20 * time.Millisecond

// leave stores the deregistration of an executor and waits until its runs are over. The
// executor ends once it has the acknowledgement, and then only the end of its lease proves
// that the runs are over which it still had.
func (n *Node) leave(e workload.ExecutorKey) error {
	if err := e.Validate(); err != nil {
		return structs.RefuseNotRun(structs.CodeInvalid, err.Error())
	}
	until := clock.Boot() + fleet.DepartureDelay
	var departure *workload.ExecutorKey
	err := n.runAsLeader(func(now time.Duration) { departure = n.owner.controller.Leave(now, e.ID, e.Incarnation) })
	if err != nil || departure == nil {
		return err
	}
	// Without the entry in the log, the next leader would take the executor out of
	// the directory and use it again.
	_, err = n.propose(&workload.Command{At: clock.Unix(), Deregister: []workload.ExecutorKey{*departure}, Left: true}, forwardTimeout)
	if err != nil {
		n.log.Info("deregistration not stored", "executor", e.ID, "error", err.Error())
		return err
	}
	n.awaitEndOfRuns(e.ID, until)
	return nil
}

// awaitEndOfRuns waits until an executor that deregistered has no runs, or a time on the
// process clock. A host that is no longer the leader cannot tell and does not wait.
func (n *Node) awaitEndOfRuns(id string, until time.Duration) {
	for clock.Boot() < until {
		departing := false
		err := n.readAsLeader(func() { departing = n.owner.controller.HasDepartingRuns(id) })
		if err != nil || !departing {
			return
		}
		time.Sleep(departurePollInterval)
	}
}
