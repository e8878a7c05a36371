package control

import (
	"time"

	"github.com/go-logr/logr"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/daemon/clock"
	"cranberrydrum.dev/daemon/group"
	"cranberrydrum.dev/daemon/panics"
	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/workload"
)

// maxCallAge is the age from which a call is not sent any more: the process may have
// been suspended since the decision, and another host may be the leader.
const maxCallAge = 300 * time.Millisecond

const (
	// stepCostFactor bounds the share of time that steps of the controller take: a
	// step looks at every executor and run, and one after each event would cost more
	// than the events of a large fleet leave.
	stepCostFactor = 4
	// maxStepDelay bounds the delay of a decision by that.
	maxStepDelay = 20 * time.Millisecond
)

// Executors sends calls to executors.
type Executors interface {
	// Perform sends a call and returns the response. maySend is checked right
	// before the call is written; if it is false, the verdict is
	// fleet.VerdictNotSent.
	Perform(call fleet.Call, maySend func() bool) fleet.Response
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
	// now reads the clock of leases. nextStep is the time before which the controller
	// takes no step.
	now      func() time.Duration
	nextStep time.Duration
	// leaseEnd returns the end of the lease of this host as the leader.
	leaseEnd func() time.Duration
	panics   panics.Observer
	// observeCall counts a call and its response, for metrics.
	observeCall func(call fleet.Call, response fleet.Response, took time.Duration)
	// observeGangs counts the waiting gangs of a round, for metrics.
	observeGangs func(fleet.GangCounts)
	// observeEnds counts the runs that ended, for metrics.
	observeEnds func(fleet.EndCounts)
	// observeRound records a round and the time of its step, for metrics.
	observeRound func(c fleet.RoundCounts, took time.Duration)
	// observeOverload sets and counts the decisions under overload, for metrics.
	observeOverload func(fleet.OverloadCounts)
	// observeEvacuations sets the metrics of the evacuated failure domains.
	observeEvacuations func(domains int, oldest time.Duration)
	// observeAdmissions counts decisions about submissions, for metrics.
	observeAdmissions func(fleet.AdmissionCounts)
	// observePredictions counts measured run times by the error of their prediction, for
	// metrics.
	observePredictions func(fleet.PredictionCounts)
}

// Step implements group.Owner.
func (o *owner) Step(now time.Duration, view group.View) [][]byte {
	if o.controller != nil && (o.term != view.Status.Term || view.Status.Role != raft.RoleLeader) {
		o.log.Info("leadership lost", "term", o.term)
		o.controller, o.commands, o.refused = nil, nil, nil
		o.observeGangs(fleet.GangCounts{})
		o.observeOverload(fleet.OverloadCounts{HasRound: true})
	}
	o.observeEvacuated()
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
		o.commands, o.refused, o.nextStep = nil, nil, 0
		o.log.Info("leadership taken", "term", o.term, "config_version", o.state.Config().Version)
	}
	if now >= o.nextStep {
		begin := o.now()
		out := o.controller.Step(now, clock.Unix())
		if out.Round != nil {
			end := o.now()
			o.controller.RecordRound(end, end-begin)
			o.observeRound(*out.Round, end-begin)
		}
		o.execute(out)
		o.nextStep = now + min(maxStepDelay, stepCostFactor*(o.now()-now))
	}
	return o.encodeCommands()
}

// execute queues the commands and starts the calls of the controller.
func (o *owner) execute(out fleet.Output) {
	o.commands = append(o.commands, out.Commands...)
	o.observeEnds(out.Ends)
	o.observeOverload(out.Overload)
	if out.Gangs != nil {
		o.observeGangs(*out.Gangs)
	}
	if out.Predictions != nil {
		o.observePredictions(out.Predictions)
	}
	if out.Admissions != nil {
		o.observeAdmissions(*out.Admissions)
	}
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
		encoded = o.appendEncoded(encoded, c)
	}
	o.commands = nil
	return encoded
}

// HandleRefused implements group.RefusedCommandHandler.
func (o *owner) HandleRefused(commands [][]byte) { o.refused = commands }

// maySend reports whether a decision is recent and this host still the leader.
func (o *owner) maySend(call fleet.Call) bool {
	now := clock.Boot()
	return now-call.IssuedAt < maxCallAge && now < o.leaseEnd()
}

// perform makes a call and passes its response to the controller that issued the call.
func (o *owner) perform(issuer *fleet.Controller, call fleet.Call) {
	startedAt := clock.Boot()
	// Without a response the call counts as one that may have been carried out.
	var response fleet.Response
	caught := panics.Catch("executor_call", func() {
		response = o.executors.Perform(call, func() bool { return o.maySend(call) })
	})
	if caught != nil {
		response = fleet.Response{Verdict: fleet.VerdictNoResponse, Reason: caught.Error()}
		panics.Log(o.log, o.panics, caught, "kind", call.Kind.String(), "executor", call.Executor.ID, "job", call.Task.Job)
	}
	o.observeCall(call, response, clock.Boot()-startedAt)
	o.runInGroup(func(now time.Duration) {
		if o.controller == issuer {
			o.execute(issuer.HandleResponse(now, clock.Unix(), call, response))
		}
	})
}
