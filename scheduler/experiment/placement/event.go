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

// events is a heap ordered by time, kind and sequence.
type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	if e[i].kind != e[j].kind {
		return e[i].kind < e[j].kind
	}
	return e[i].seq < e[j].seq
}

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
