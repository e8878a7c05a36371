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

// staleCall is the age from which on a decided call is not sent any more: the
// process may have been suspended, and another host may lead.
const staleCall = 300 * time.Millisecond

// Executors makes calls to executors.
type Executors interface {
	Perform(call fleet.Call) fleet.Answer
}

// owner lets the fleet controller act while this host leads. All methods but
// perform run on the goroutine of the group.
type owner struct {
	cfg        fleet.Settings
	state      *workload.State
	executors  Executors
	log        logr.Logger
	controller *fleet.Controller
	term       uint64
	commands   []*workload.Command
	// refused holds encoded commands that the log did not take yet.
	refused [][]byte
	// do runs a function on the goroutine of the group.
	do func(func(now time.Duration)) bool
	// observe counts a call and its answer.
	observe func(call fleet.Call, a fleet.Answer, took time.Duration)
}

// Step implements group.Owner.
func (o *owner) Step(now time.Duration, view group.View) [][]byte {
	if o.controller != nil && (o.term != view.Status.Term || view.Status.Role != raft.RoleLeader) {
		o.log.Info("leadership lost", "term", o.term)
		o.controller, o.commands, o.refused = nil, nil, nil
	}
	if view.Status.Role != raft.RoleLeader {
		// The list of ended jobs is for the log lines of the leader.
		o.state.TakeEnded()
	}
	if !view.Ready {
		// Without the lease nothing is decided. The controller is kept as long
		// as the term lasts: it knows which starts of this term are in doubt.
		return nil
	}
	if o.controller == nil {
		o.term = view.Status.Term
		o.controller = fleet.New(o.cfg, o.state, o.term, now, o.log)
		o.commands, o.refused = nil, nil
		o.log.Info("leadership taken", "term", o.term, "config_version", o.state.Config().Version)
	}
	o.take(o.controller.Step(now, clock.Unix()))
	return o.encode()
}

// take carries out what the controller asks for.
func (o *owner) take(out fleet.Output) {
	o.commands = append(o.commands, out.Commands...)
	for _, call := range out.Calls {
		go o.perform(o.controller, call)
	}
}

func (o *owner) encode() [][]byte {
	encoded := o.refused
	o.refused = nil
	for _, c := range o.commands {
		data, err := c.Encode()
		if err != nil {
			o.log.Error(err, "a command cannot be encoded")
			continue
		}
		encoded = append(encoded, data)
	}
	o.commands = nil
	return encoded
}

// KeepRefused implements group.RefusalKeeper.
func (o *owner) KeepRefused(commands [][]byte) { o.refused = commands }

// perform makes a call and hands its answer to the controller that asked.
func (o *owner) perform(asked *fleet.Controller, call fleet.Call) {
	answer := fleet.Answer{Verdict: fleet.VerdictNotSent, Reason: "stale_decision"}
	begun := clock.Boot()
	if begun-call.IssuedAt < staleCall {
		answer = o.executors.Perform(call)
	}
	o.observe(call, answer, clock.Boot()-begun)
	o.do(func(now time.Duration) {
		if o.controller == asked {
			o.take(asked.Answered(now, clock.Unix(), call, answer))
		}
	})
}
