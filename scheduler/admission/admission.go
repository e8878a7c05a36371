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
	// MaxTombstones bounds the tombstones, which record cancels of jobs that are not stored.
	MaxTombstones int
	// MaxStateBytes bounds the memory, in bytes, that the stored jobs may take.
	MaxStateBytes int64
	// Retention is how long ended jobs and tombstones are kept after their last cancel.
	Retention time.Duration
}

// renewalShare is the share of the retention after which a repeated cancel is stored again, so
// that its confirmation holds for the rest of it at least.
const renewalShare = 0.2

const (
	// tombstoneBytes is more memory than a tombstone takes, with its copy in a snapshot that is
	// being written.
	tombstoneBytes = 1 << 10
	// tombstoneShare is the share of the memory of a host that tombstones may take.
	tombstoneShare = 1.0 / 32
)

// stateShare is the share of the memory of a host that the stored jobs may take. The garbage
// collector needs as much again, and a snapshot that is written a part of that.
const stateShare = 1.0 / 4

// StateLimit returns the memory, in bytes, that the jobs may take on a host with a given
// memory, in bytes.
func StateLimit(memory int64) int64 { return int64(stateShare * float64(memory)) }

// TombstoneLimit returns the number of tombstones for which a host with a given memory, in
// bytes, has room.
func TombstoneLimit(memory int64) int {
	return int(tombstoneShare * float64(memory) / tombstoneBytes)
}

// Decide answers a request from the state. If it returns a command, the reply holds once that
// was applied with ResultApplied; with any other result the request has to be decided again.
// unix is the Unix time at this host. The error is a *structs.Refusal.
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
		return p.decideKnown(r, j, unix)
	}
	id := strings.TrimPrefix(r.Path, queue.Prefix)
	if !validJobID(id) {
		return nil, nil, structs.RefuseNotRun(structs.CodeInvalid, "not the identifier of a job")
	}
	if r.Operation == OpSubmit {
		return p.decideSubmit(s, r, queue, customer, id, unix)
	}
	if r.Operation == OpCancel {
		return p.decideUnknownCancel(s, queue.Place(), customer, id, unix)
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
func (p *Policy) decideKnown(r *Request, j *workload.Job, unix time.Duration) (*Reply, *workload.Command, error) {
	reply := &Reply{Phase: j.Phase, Unknown: j.Tombstone}
	switch {
	case j.Tombstone && r.Operation == OpSubmit:
		return nil, nil, structs.RefuseNotRun(structs.CodeCancelled, "the job was cancelled before it was submitted")
	case r.Operation == OpCancel && (!j.Phase.Ended() || p.needsRenewal(j, unix)):
		return reply, &workload.Command{At: unix, Cancel: j.ID}, nil
	}
	return reply, nil, nil
}

// needsRenewal reports whether the cancel of an ended job has to be stored again.
func (p *Policy) needsRenewal(j *workload.Job, unix time.Duration) bool {
	return unix-j.RetainedSince() > time.Duration(renewalShare*float64(p.Retention))
}

// decideUnknownCancel decides the cancel of a job that is not stored. While a job at another
// place has its identifier, no submission of it is accepted.
func (p *Policy) decideUnknownCancel(s *workload.State, place workload.Place, customer, id string, unix time.Duration) (*Reply, *workload.Command, error) {
	other := s.Job(id)
	switch {
	case other == nil:
		return p.recordCancel(s, place, customer, id, unix)
	case other.Phase.Ended() && p.needsRenewal(other, unix):
		return &Reply{Unknown: true}, &workload.Command{At: unix, Cancel: id}, nil
	}
	return &Reply{Unknown: true}, nil, nil
}

// recordCancel returns the command that records the cancel of a job that is not stored. Its
// submission may still be on its way, and must not be accepted once the cancel is confirmed.
// A customer gets at most as many records as are left free, so that one cannot take the room
// of all.
func (p *Policy) recordCancel(s *workload.State, place workload.Place, customer, id string, unix time.Duration) (*Reply, *workload.Command, error) {
	if own, all := s.Tombstones(customer); own >= p.MaxTombstones-all {
		refusal := structs.RefuseNotRun(structs.CodeCancelCapacity, "too many cancels of unknown jobs are recorded")
		refusal.RetryAfter = p.untilExpiry(s, unix, func(j *workload.Job) bool { return j.Tombstone })
		return nil, nil, refusal
	}
	return &Reply{Unknown: true}, &workload.Command{At: unix, Submit: workload.NewTombstone(id, place, customer, unix)}, nil
}

// checkMemory refuses a job for whose state the hosts have no room. Without a bound, accepted
// jobs of many occurrences take all hosts over their memory, again after each restart.
func (p *Policy) checkMemory(s *workload.State, spec *workload.Spec, unix time.Duration) *structs.Refusal {
	need := spec.StateBytes()
	if need <= p.MaxStateBytes-s.StateBytes() {
		return nil
	}
	if need > p.MaxStateBytes {
		return structs.RefuseNotRun(structs.CodeNeverRunnable, "the state of the job exceeds the memory of the hosts")
	}
	refusal := structs.RefuseNotRun(structs.CodeQueueFull, "the state of the accepted jobs takes the memory of the hosts")
	refusal.RetryAfter = p.untilExpiry(s, unix, func(j *workload.Job) bool { return j.Phase.Ended() })
	return refusal
}

// untilExpiry returns the time until the oldest of some ended jobs expires, or the retention
// if there is none.
func (p *Policy) untilExpiry(s *workload.State, unix time.Duration, counts func(*workload.Job) bool) time.Duration {
	oldest := unix
	s.Jobs(func(j *workload.Job) {
		if counts(j) {
			oldest = min(oldest, j.RetainedSince())
		}
	})
	return max(0, oldest+p.Retention-unix)
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
	if refusal := p.checkMemory(s, r.Spec, unix); refusal != nil {
		return nil, nil, refusal
	}
	place := queue.Place()
	return &Reply{Phase: workload.Queued}, &workload.Command{At: unix, Submit: &workload.Job{
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
