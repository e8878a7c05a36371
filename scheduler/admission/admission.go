package admission

import (
	"strings"
	"time"

	"cranberrydrum.dev/scheduler/structs"
	"cranberrydrum.dev/scheduler/workload"
)

// Policy holds what the decisions depend on beside the state.
type Policy struct {
	// HasAdviceService is set if an advice service is configured.
	HasAdviceService bool
}

// Decide answers a request from the state, or returns the command that must be
// committed before the request can be answered. unix is the Unix time at this host. The
// error is a *structs.Refusal.
func (p *Policy) Decide(s *workload.State, r *Request, unix time.Duration) (*Reply, *workload.Command, error) {
	if !s.Configured() {
		return nil, nil, structs.RefuseNotRun(structs.CodeNoConfig, "no configuration yet")
	}
	queue := s.Match(r.Host, r.Path)
	if queue == nil {
		return nil, nil, structs.RefuseNotRun(structs.CodeNotFound, "no queue at this place")
	}
	customer, known := s.CustomerOf(r.Key)
	if !known && !queue.Public {
		return nil, nil, structs.RefuseNotRun(structs.CodeUnauthorized, "unknown key")
	}
	id := strings.TrimPrefix(r.Path, queue.Prefix)
	if id == "" && r.Operation == OpRead {
		return &Reply{IsQueue: true, Pending: s.Pending(queue.Name)}, nil, nil
	}
	if !validJobID(id) {
		return nil, nil, structs.RefuseNotRun(structs.CodeInvalid, "not the identifier of a job")
	}
	if r.Operation == OpSubmit {
		return p.decideSubmit(s, r, queue, customer, id, unix)
	}
	j := s.Job(id)
	if j == nil || j.Queue != queue.Name {
		return &Reply{Unknown: true}, nil, nil
	}
	if r.Operation == OpCancel && !j.Phase.Ended() {
		return nil, &workload.Command{At: unix, Cancel: id}, nil
	}
	return &Reply{Phase: j.Phase}, nil, nil
}

// decideSubmit validates a submission and returns the command that stores the
// job. The submission of an existing job is answered with its phase.
func (p *Policy) decideSubmit(s *workload.State, r *Request, queue *workload.Queue, customer, id string, unix time.Duration) (*Reply, *workload.Command, error) {
	if j := s.Job(id); j != nil {
		return &Reply{Phase: j.Phase}, nil, nil
	}
	if r.Spec == nil {
		return nil, nil, structs.RefuseNotRun(structs.CodeInvalid, "no job")
	}
	if err := r.Spec.Validate(); err != nil {
		return nil, nil, structs.RefuseNotRun(structs.CodeInvalid, err.Error())
	}
	if queue.Advice != nil && !p.HasAdviceService {
		return nil, nil, structs.RefuseNotRun(structs.CodeNeverRunnable, "the queue needs advice, and no advice service is set")
	}
	return nil, &workload.Command{At: unix, Submit: &workload.Job{
		ID: id, Queue: queue.Name, Service: queue.Service, Customer: customer, Priority: queue.Priority,
		MaxAttempts: queue.MaxAttempts, Stretch: queue.Stretch, Target: queue.Target, Spec: *r.Spec,
	}}, nil
}

// jobIDLength is the length of a job identifier in hexadecimal digits.
const jobIDLength = 16

func validJobID(id string) bool {
	if len(id) != jobIDLength {
		return false
	}
	return strings.Trim(id, "0123456789abcdefABCDEF") == ""
}
