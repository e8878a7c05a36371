package placement

import "time"

// eventKind is the type of an event. Events with equal times are handled in the
// order of these constants.
type eventKind int

// Kinds of events.
const (
	evFault eventKind = iota
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

// event is an entry of the event queue.
type event struct {
	at    time.Duration
	kind  eventKind
	seq   int
	job   string
	run   int // run of the job to which the event applies
	index int // index of the arrival, fault or probe
}

// happensBefore orders events by time, kind and sequence number.
func (e event) happensBefore(other event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	if e.kind != other.kind {
		return e.kind < other.kind
	}
	return e.seq < other.seq
}
