package serving

import (
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// Event is an input of the Dispatcher.
type Event interface{ isEvent() }

// RequestArrived reports a new request.
type RequestArrived struct {
	// Request.Remaining is the time to its deadline; 0 selects the default of
	// its class.
	Request   structs.Request
	BodyBytes int
	// AttemptAffinity keeps the attempts of a non-idempotent request on the
	// executor of the first attempt, as long as that executor is up and its breaker
	// is closed.
	AttemptAffinity bool
	// ReportsStart marks a request whose attempts wait for something else before
	// they are sent and after the response, such as for a durable key. The caller
	// reports AttemptStarted and AttemptResponded for each of them.
	ReportsStart bool
	// Forwarded marks a request that another host has forwarded. It is not
	// forwarded again.
	Forwarded bool
}

// Result is the result of an attempt.
type Result string

// Results of attempts. Only not_sent and withdrawn guarantee that the attempt did
// not run.
const (
	ResultOK           Result = "ok"
	ResultNotSent      Result = "not_sent"
	ResultTimeout      Result = "timeout"
	ResultBroken       Result = "broken"
	ResultIncomplete   Result = "incomplete"
	ResultBackendError Result = "backend_error"
	// ResultWithdrawn means that the caller decided not to send the attempt. It
	// frees the slot and has no effect on the retry budget, the health of the
	// executor or the estimates.
	ResultWithdrawn Result = "withdrawn"
)

// certainlyNotRun reports whether it is certain that the attempt did not reach
// the executor.
func (r Result) certainlyNotRun() bool { return r == ResultNotSent || r == ResultWithdrawn }

// AttemptStarted reports that an attempt of a request with ReportsStart is sent
// now. The time before does not count for the health of the executor.
type AttemptStarted struct {
	RequestID string
	// Attempt is the number from Send.
	Attempt int
}

// AttemptResponded reports that the executor has finished an attempt of a request
// with ReportsStart. AttemptFinished follows with the result. The time in between does
// not count for the health of the executor.
type AttemptResponded struct {
	RequestID string
	// Attempt is the number from Send.
	Attempt int
}

// AttemptFinished reports the end of an attempt.
type AttemptFinished struct {
	RequestID string
	// Attempt is the number from Send.
	Attempt int
	Result  Result
	// ServiceTime is the measured time from sending to the complete response.
	ServiceTime time.Duration
	// Refusal is the refusal to return if the attempt was withdrawn. If it is
	// nil, the request is refused as cancelled.
	Refusal *structs.Refusal
}

// ForwardFinished reports the end of a Forward. Result is ok if the other host
// answered, and not_sent or withdrawn if nothing was forwarded; any other value
// means that the outcome is unknown. Refusal is the refusal of the other host, if
// any.
type ForwardFinished struct {
	RequestID string
	Result    Result
	Refusal   *structs.Refusal
}

// RequestCancelled reports that the caller no longer waits for the response. A
// running attempt of a non-idempotent request is not interrupted; the final effect
// follows with its result, which is recorded under the request key.
type RequestCancelled struct{ RequestID string }

// BackendUpdated reports the newest announcement of an executor. An expired
// announcement is reported as left.
type BackendUpdated struct{ Backend structs.Backend }

// Lease is a number of slots that a peer has lent to this host.
type Lease struct {
	ID    string
	Count int
	// Until is the time by which this host must have stopped using the slots.
	Until time.Duration
}

// SlotsUpdated replaces the slots of one executor that this host may use. It
// remains valid when the executor leaves and returns.
type SlotsUpdated struct {
	Executor string
	Own      int
	Leases   []Lease
}

// Tick advances the time without another event. Every other event advances the
// time as well.
type Tick struct{}

func (RequestArrived) isEvent()   {}
func (AttemptStarted) isEvent()   {}
func (AttemptResponded) isEvent() {}
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
	// Timeout bounds the attempt, counted from this step, and never exceeds the
	// deadline of the request. When it has passed, the Dispatcher abandons the
	// attempt without waiting for its result.
	Timeout time.Duration
	// Connections is this host's share of the executor's connections.
	Connections int
	// Fresh requests a new connection, because an idle one may no longer work.
	Fresh bool
	// Hedge marks a second attempt that is sent while the first still runs.
	Hedge bool
}

// Refuse is the final effect of a request that is not answered.
type Refuse struct {
	RequestID string
	Refusal   structs.Refusal
}

// Answer is the final effect of a request that was answered by an attempt;
// Attempt is 0 if the response came from a Forward.
type Answer struct {
	RequestID string
	Attempt   int
	Backend   string
}

// Forward offers a request that cannot be served here to another failure
// domain. The caller must report ForwardFinished. If it finds no better failure
// domain, it reports ResultNotSent, and the request is refused with Reason.
type Forward struct {
	RequestID string
	BodyBytes int
	Remaining time.Duration
	Reason    structs.Code
}

// CloseConnection closes the connection of one attempt, which must not be used
// again. If RequestID is empty, it closes all idle connections to the executor.
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
