package control

import (
	"time"

	"github.com/go-logr/logr"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/daemon/clock"
	"cranberrydrum.dev/daemon/group"
	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/workload"
)

// maxCallAge is the age from which a call is not sent any more: the process may have
// been suspended since the decision, and another host may be the leader.
const maxCallAge = 300 * time.Millisecond

// Executors sends calls to executors.
type Executors interface {
	Perform(call fleet.Call) fleet.Response
}

// owner runs the fleet controller while this host is the leader. All methods except
// perform run on the goroutine of the group.
type owner struct {
	cfg        fleet.Settings
	state      *workload.State
	executors  Executors
	log        logr.Logger
	controller *fleet.Controller
	term       uint64
	commands   []*workload.Command
	// refused holds the encoded commands that the group refused, to be proposed
	// again.
	refused [][]byte
	// runInGroup runs a function on the goroutine of the group.
	runInGroup func(func(now time.Duration)) bool
	// observeCall counts a call and its response, for metrics.
	observeCall func(call fleet.Call, response fleet.Response, took time.Duration)
}

// Step implements group.Owner.
func (o *owner) Step(now time.Duration, view group.View) [][]byte {
	if o.controller != nil && (o.term != view.Status.Term || view.Status.Role != raft.RoleLeader) {
		o.log.Info("leadership lost", "term", o.term)
		o.controller, o.commands, o.refused = nil, nil, nil
	}
	if view.Status.Role != raft.RoleLeader {
		// Only the leader logs ended jobs, so the list is discarded.
		o.state.TakeEndedJobs()
	}
	if !view.Ready {
		// No decisions are made without the lease. The controller is kept until
		// the term ends, because it knows which starts of this term have an
		// unknown outcome.
		return nil
	}
	if o.controller == nil {
		o.term = view.Status.Term
		o.controller = fleet.New(o.cfg, o.state, o.term, now, o.log)
		o.commands, o.refused = nil, nil
		o.log.Info("leadership taken", "term", o.term, "config_version", o.state.Config().Version)
	}
	o.execute(o.controller.Step(now, clock.Unix()))
	return o.encodeCommands()
}

// execute queues the commands and starts the calls of the controller.
func (o *owner) execute(out fleet.Output) {
	o.commands = append(o.commands, out.Commands...)
	for _, call := range out.Calls {
		go o.perform(o.controller, call)
	}
}

// encodeCommands returns the refused commands followed by the queued ones, and
// clears both.
func (o *owner) encodeCommands() [][]byte {
	encoded := o.refused
	o.refused = nil
	for _, c := range o.commands {
		data, err := c.Encode()
		if err != nil {
			o.log.Error(err, "failed to encode a command")
			continue
		}
		encoded = append(encoded, data)
	}
	o.commands = nil
	return encoded
}

// HandleRefused implements group.RefusedCommandHandler.
func (o *owner) HandleRefused(commands [][]byte) { o.refused = commands }

// perform makes a call and passes its response to the controller that issued the call.
func (o *owner) perform(issuer *fleet.Controller, call fleet.Call) {
	response := fleet.Response{Verdict: fleet.VerdictNotSent, Reason: "stale_decision"}
	startedAt := clock.Boot()
	if startedAt-call.IssuedAt < maxCallAge {
		response = o.executors.Perform(call)
	}
	o.observeCall(call, response, clock.Boot()-startedAt)
	o.runInGroup(func(now time.Duration) {
		if o.controller == issuer {
			o.execute(issuer.HandleResponse(now, clock.Unix(), call, response))
		}
	})
}
