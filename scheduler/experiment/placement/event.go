package placement

import "time"

// kind is the type of an event. Events of one instant are handled in this order.
type kind int

// Kinds of events.
const (
	evFault kind = iota
	evFinish
	evFail
	evStop
	evCheckpoint
	evCancel
	evSubmit
	evProbe
	evVerify
	evTick
)

// event is something that happens at a time.
type event struct {
	at   time.Duration
	kind kind
	seq  int
	job  string
	run  int // run of the job for which the event was scheduled
	n    int // index of an arrival, fault or probe
}

// happensBefore orders events by time, kind and sequence.
func (e event) happensBefore(other event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	if e.kind != other.kind {
		return e.kind < other.kind
	}
	return e.seq < other.seq
}
