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
	if r.Path == queue.Prefix && r.Operation == OpRead {
		return &Reply{IsQueue: true, Pending: s.Pending(queue)}, nil, nil
	}
	if j := s.JobAt(r.Host, r.Path); j != nil {
		if !queue.Public && belongsToOther(s, j, customer) {
			return nil, nil, refuseForeign(r.Operation)
		}
		return decideKnown(r, j, unix)
	}
	id := strings.TrimPrefix(r.Path, queue.Prefix)
	if !validJobID(id) {
		return nil, nil, structs.RefuseNotRun(structs.CodeInvalid, "not the identifier of a job")
	}
	if r.Operation == OpSubmit {
		return p.decideSubmit(s, r, queue, customer, id, unix)
	}
	return &Reply{Unknown: true}, nil, nil
}

// belongsToOther reports whether a job is that of another customer. A job whose customer is
// no longer configured belongs to nobody: a version may have given the customer another name.
func belongsToOther(s *workload.State, j *workload.Job, customer string) bool {
	return j.Customer != customer && s.HasCustomer(j.Customer)
}

// refuseForeign returns the refusal of a request for a job of another customer.
func refuseForeign(operation Operation) *structs.Refusal {
	if operation == OpSubmit {
		return structs.RefuseNotRun(structs.CodeJobConflict, "a job of another customer has this identifier")
	}
	return structs.RefuseNotRun(structs.CodeForbidden, "the job belongs to another customer")
}

// decideKnown decides a request for a stored job. A repeated submission is answered like a
// read.
func decideKnown(r *Request, j *workload.Job, unix time.Duration) (*Reply, *workload.Command, error) {
	if r.Operation == OpCancel && !j.Phase.Ended() {
		return nil, &workload.Command{At: unix, Cancel: j.ID}, nil
	}
	return &Reply{Phase: j.Phase}, nil, nil
}

// decideSubmit validates the submission of a job that is not stored and returns the command
// that stores it.
func (p *Policy) decideSubmit(s *workload.State, r *Request, queue *workload.Queue, customer, id string, unix time.Duration) (*Reply, *workload.Command, error) {
	if s.Job(id) != nil {
		// The names of tasks contain the identifier only, so executors could not tell the
		// tasks of both jobs apart.
		return nil, nil, structs.RefuseNotRun(structs.CodeJobConflict, "a job at another place has this identifier")
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
	place := queue.Place()
	return nil, &workload.Command{At: unix, Submit: &workload.Job{
		ID: id, Host: place.Host, Prefix: place.Prefix, QueueName: queue.Name, Service: queue.Service, Customer: customer, Priority: queue.Priority,
		MaxAttempts: queue.MaxAttempts, Stretch: queue.Stretch, Target: queue.Target, Spec: *r.Spec,
	}}, nil
}

func validJobID(id string) bool {
	if len(id) != workload.JobIDLength {
		return false
	}
	return strings.Trim(id, "0123456789abcdefABCDEF") == ""
}
