package api

import (
	"slices"
	"strings"

	"cranberrydrum.dev/scheduler/structs"
)

// priorities holds the wire name of each structs.Priority, indexed by its value.
var priorities = []string{"bulk", "normal", "urgent"}

// JobSubmitRequest submits a job. A resend with the same customer and name
// returns the same job.
type JobSubmitRequest struct {
	Name string `json:"name"`
	// Customer may be empty if the token names a customer.
	Customer      string `json:"customer,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`
	// Priority is bulk, normal or urgent; empty means normal.
	Priority          string   `json:"priority,omitempty"`
	Accelerators      int      `json:"accelerators"`
	DeclaredRuntimeMS int64    `json:"declared_runtime_ms"`
	CheckpointTimeMS  int64    `json:"checkpoint_time_ms,omitempty"`
	Command           []string `json:"command,omitempty"`
}

// Spec converts the request to a job specification. If a field is invalid, it
// returns a refusal that names the field.
func (r *JobSubmitRequest) Spec() (structs.JobSpec, *structs.Refusal) {
	priority, ok := ParsePriority(r.Priority)
	switch {
	case r.Name == "":
		return structs.JobSpec{}, structs.RefuseNotRun(structs.CodeInvalid, "name is empty")
	case !ok:
		return structs.JobSpec{}, structs.RefuseNotRun(structs.CodeInvalid, "priority is not one of "+strings.Join(priorities, ", "))
	case r.Accelerators < 1:
		return structs.JobSpec{}, structs.RefuseNotRun(structs.CodeInvalid, "accelerators must be at least 1")
	case !isValidDurationMS(r.DeclaredRuntimeMS) || !isValidDurationMS(r.CheckpointTimeMS):
		return structs.JobSpec{}, structs.RefuseNotRun(structs.CodeInvalid, "declared_runtime_ms and checkpoint_time_ms must be from 0 to one year")
	}
	return structs.JobSpec{
		Name:            r.Name,
		Customer:        r.Customer,
		Domain:          r.FailureDomain,
		Priority:        priority,
		Accelerators:    r.Accelerators,
		DeclaredRuntime: Duration(r.DeclaredRuntimeMS),
		CheckpointTime:  Duration(r.CheckpointTimeMS),
		Command:         r.Command,
	}, nil
}

// maxDurationMS is one year in milliseconds. Larger values could overflow a
// time.Duration.
const maxDurationMS = 365 * 24 * 3600 * 1000

func isValidDurationMS(ms int64) bool { return ms >= 0 && ms <= maxDurationMS }

// ParsePriority parses the name of a priority. An empty name means normal.
func ParsePriority(name string) (structs.Priority, bool) {
	if name == "" {
		return structs.PriorityNormal, true
	}
	i := slices.Index(priorities, name)
	return structs.Priority(i), i >= 0
}

// PriorityName returns the name of a priority, or "" if it is unknown.
func PriorityName(p structs.Priority) string {
	if p < 0 || int(p) >= len(priorities) {
		return ""
	}
	return priorities[p]
}

// Job is a job in its wire format.
type Job struct {
	ID                string            `json:"id"`
	Name              string            `json:"name"`
	Customer          string            `json:"customer"`
	FailureDomain     string            `json:"failure_domain"`
	Priority          string            `json:"priority"`
	Accelerators      int               `json:"accelerators"`
	DeclaredRuntimeMS int64             `json:"declared_runtime_ms"`
	CheckpointTimeMS  int64             `json:"checkpoint_time_ms"`
	Command           []string          `json:"command,omitempty"`
	Status            structs.JobStatus `json:"status"`
	Run               uint64            `json:"run"`
	Attempts          int               `json:"attempts"`
	Members           []structs.Member  `json:"members,omitempty"`
	Reason            string            `json:"reason,omitempty"`
}

// NewJob converts a job to its wire format.
func NewJob(j structs.Job) Job {
	return Job{
		ID:                j.ID,
		Name:              j.Spec.Name,
		Customer:          j.Spec.Customer,
		FailureDomain:     j.Spec.Domain,
		Priority:          PriorityName(j.Spec.Priority),
		Accelerators:      j.Spec.Accelerators,
		DeclaredRuntimeMS: Milliseconds(j.Spec.DeclaredRuntime),
		CheckpointTimeMS:  Milliseconds(j.Spec.CheckpointTime),
		Command:           j.Spec.Command,
		Status:            j.Status,
		Run:               j.Run,
		Attempts:          j.Attempts,
		Members:           j.Members,
		Reason:            j.Reason,
	}
}

// JobListResponse lists jobs, sorted by id.
type JobListResponse struct {
	Jobs []Job `json:"jobs"`
	// Unreachable lists the failure domains that could not be reached. Their jobs
	// are missing from the list.
	Unreachable []string `json:"unreachable,omitempty"`
}
