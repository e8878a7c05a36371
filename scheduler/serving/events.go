package serving

import (
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// Event is an input of the Dispatcher.
type Event interface{ isEvent() }

// RequestArrived hands a new request to the Dispatcher.
type RequestArrived struct {
	// Request.Remaining is the time to its deadline; 0 selects the default of
	// its class.
	Request   structs.Request
	BodyBytes int
	// AttemptAffinity keeps the attempts of a non-idempotent request on the
	// executor that was chosen first, as long as that executor is up.
	AttemptAffinity bool
	// Forwarded marks a request that another host has forwarded; it is never
	// forwarded again.
	Forwarded bool
}

// Result says how an attempt ended.
type Result string

// Results of attempts. Only not_sent and withdrawn are certain not to have run.
const (
	ResultOK           Result = "ok"
	ResultNotSent      Result = "not_sent"
	ResultTimeout      Result = "timeout"
	ResultBroken       Result = "broken"
	ResultIncomplete   Result = "incomplete"
	ResultBackendError Result = "backend_error"
	// ResultWithdrawn means that the caller decided not to send after all. It
	// frees the slot and has no effect on budget, health or estimates.
	ResultWithdrawn Result = "withdrawn"
)

// certainlyNotRun reports whether the executor cannot have seen the attempt.
func (r Result) certainlyNotRun() bool { return r == ResultNotSent || r == ResultWithdrawn }

// AttemptFinished reports the end of an attempt.
type AttemptFinished struct {
	RequestID string
	// Attempt is the number from Send.
	Attempt int
	Result  Result
	// ServiceTime is the measured time from sending to the whole answer.
	ServiceTime time.Duration
	// Refusal is given to the caller when the attempt was withdrawn; nil means
	// cancelled.
	Refusal *structs.Refusal
}

// ForwardFinished reports the end of a Forward. Result is ok when the other
// host answered, not_sent when nothing was forwarded, and any other value when
// the outcome is not known. Refusal is the refusal of the other host, if any.
type ForwardFinished struct {
	RequestID string
	Result    Result
	Refusal   *structs.Refusal
}

// RequestCancelled reports that the caller no longer waits for the answer. A
// non-idempotent request whose attempt runs is not interrupted; its final
// effect follows with the result, which belongs to its key.
type RequestCancelled struct{ RequestID string }

// BackendUpdated reports the newest announcement of an executor. An expired
// announcement is reported as left.
type BackendUpdated struct{ Backend structs.Backend }

// Lease is a number of slots that a peer has lent to this host.
type Lease struct {
	ID    string
	Count int
	// Until is when this host must have stopped using the slots.
	Until time.Duration
}

// SlotsUpdated replaces the slots of one executor that this host may use. It
// stays in force when the executor leaves and comes back.
type SlotsUpdated struct {
	Executor string
	Own      int
	Leases   []Lease
}

// Tick lets time pass. Every other event does so too.
type Tick struct{}

func (RequestArrived) isEvent()   {}
func (AttemptFinished) isEvent()  {}
func (ForwardFinished) isEvent()  {}
func (RequestCancelled) isEvent() {}
func (BackendUpdated) isEvent()   {}
func (SlotsUpdated) isEvent()     {}
func (Tick) isEvent()             {}

// Effect is an output of the Dispatcher or the SlotLedger.
type Effect interface{ isEffect() }

// Send asks for one attempt on an executor.
type Send struct {
	RequestID string
	// Attempt counts from 1 within the request.
	Attempt int
	Backend string
	Address string
	// Timeout bounds the attempt, counted from this step, and never passes the
	// deadline of the request. When it is over the Dispatcher gives the attempt
	// up by itself.
	Timeout time.Duration
	// Connections is this host's share of the executor's connections.
	Connections int
	// Fresh asks for a new connection, as a kept one may have gone silent.
	Fresh bool
	// Hedge marks a second attempt beside one that still runs.
	Hedge bool
}

// Refuse is the final effect of a request that is not answered.
type Refuse struct {
	RequestID string
	Refusal   structs.Refusal
}

// Answer is the final effect of a request that was answered by an attempt;
// Attempt is 0 if the answer came from a Forward.
type Answer struct {
	RequestID string
	Attempt   int
	Backend   string
}

// Forward offers a request that cannot be served here to another failure
// domain. The caller must report ForwardFinished, with ResultNotSent if it
// finds no better place; the request is then refused with Reason.
type Forward struct {
	RequestID string
	BodyBytes int
	Remaining time.Duration
	Reason    structs.Code
}

// CloseConnection ends the connection of one attempt, which must not be used
// again. With RequestID empty it ends all idle connections to the executor.
type CloseConnection struct {
	RequestID string
	Attempt   int
	Backend   string
	Address   string
}

func (Send) isEffect()            {}
func (Refuse) isEffect()          {}
func (Answer) isEffect()          {}
func (Forward) isEffect()         {}
func (CloseConnection) isEffect() {}
