package admission

import "cranberrydrum.dev/scheduler/workload"

// Operation is the kind of a customer request.
type Operation uint8

// Operations on jobs and queues.
const (
	OpSubmit Operation = iota + 1
	OpRead
	OpCancel
)

// String returns the name used in logs and metrics.
func (o Operation) String() string {
	names := [...]string{"none", "submit", "read", "cancel"}
	if int(o) >= len(names) {
		return names[0]
	}
	return names[o]
}

// Request is a customer request that an entry host forwards to the leader.
type Request struct {
	Operation Operation `msgpack:"o"`
	// Host and Path select the queue; the part of Path after the prefix of the
	// queue is the job identifier, or empty for the queue itself.
	Host string         `msgpack:"h"`
	Path string         `msgpack:"p"`
	Key  string         `msgpack:"k"`
	Spec *workload.Spec `msgpack:"s,omitempty"`
}

// Reply is the reply to a Request that was not refused.
type Reply struct {
	// Unknown is set if the job does not exist.
	Unknown bool           `msgpack:"u,omitempty"`
	Phase   workload.Phase `msgpack:"p"`
	// IsQueue is set if a queue was read instead of a job. Pending is then the
	// number of its jobs of which no task has started.
	IsQueue bool `msgpack:"q,omitempty"`
	Pending int  `msgpack:"n,omitempty"`
}
