package jobs

import (
	"slices"
	"strconv"

	"cranberrydrum.dev/scheduler/structs"
)

// submit queues a job. A repeated submission returns the existing job.
func (s *State) submit(b *Submit) Result {
	if s.config.Version == 0 {
		return refused(structs.CodeNoConfig, "the failure domain has no configuration yet")
	}
	spec := b.Spec
	if spec.Domain == "" {
		spec.Domain = s.Domain()
	}
	if r := checkSpec(spec, s.Domain()); r != nil {
		return Result{Refusal: r}
	}
	if known := s.names[nameKey{spec.Customer, spec.Name}]; known != nil {
		return resubmitted(known, spec)
	}
	if r := s.checkAdmission(spec); r != nil {
		return Result{Refusal: r}
	}
	if len(s.jobs)-len(s.terminal) >= MaxOpenJobs {
		return refused(structs.CodeQueueFull, "the failure domain has too many open jobs")
	}
	if s.openJobs[spec.Customer] >= MaxOpenPerCustomer {
		return refused(structs.CodeQueueFull, "the customer has too many open jobs")
	}
	j := s.newJob(spec)
	public := j.copy()
	return Result{Job: &public}
}

// newJob adds a queued job.
func (s *State) newJob(spec structs.JobSpec) *job {
	s.nextJob++
	j := &job{seq: s.nextJob, submitted: s.clock}
	j.ID = spec.Domain + "-" + strconv.FormatUint(s.nextJob, 10)
	j.Spec = spec
	j.Spec.Command = slices.Clone(spec.Command)
	j.Status = structs.JobQueued
	s.jobs[j.ID] = j
	s.openJobs[spec.Customer]++
	s.names[nameKey{spec.Customer, spec.Name}] = j
	s.changes.add(change{job: j.ID})
	return j
}

// resubmitted returns the result of a repeated submission: the existing job, or a
// refusal if the specification differs.
func resubmitted(known *job, spec structs.JobSpec) Result {
	public := known.copy()
	if !sameSpec(known.Spec, spec) {
		refusal := structs.RefuseNotRun(structs.CodeKeyConflict, "job "+known.ID+" has the same name and other content")
		return Result{Refusal: refusal}
	}
	return Result{Job: &public}
}

// sameSpec reports whether two submissions are equal.
func sameSpec(a, b structs.JobSpec) bool {
	return a.Name == b.Name && a.Customer == b.Customer && a.Domain == b.Domain &&
		a.Priority == b.Priority && a.Accelerators == b.Accelerators &&
		a.DeclaredRuntime == b.DeclaredRuntime && a.CheckpointTime == b.CheckpointTime &&
		slices.Equal(a.Command, b.Command)
}

// checkSpec refuses submissions that are invalid under any configuration.
func checkSpec(spec structs.JobSpec, domain string) *structs.Refusal {
	size := len(spec.Name)
	for _, word := range spec.Command {
		size += len(word)
	}
	switch {
	case spec.Name == "":
		return structs.RefuseNotRun(structs.CodeInvalid, "the job has no name, so a resend could not be recognized")
	case size > MaxSpecBytes:
		return structs.RefuseNotRun(structs.CodeTooLarge, "name and command exceed "+strconv.Itoa(MaxSpecBytes)+" bytes")
	case spec.Domain != domain:
		return structs.RefuseNotRun(structs.CodeInvalid, "the job belongs to failure domain "+strconv.Quote(spec.Domain))
	case spec.Accelerators <= 0:
		return structs.RefuseNotRun(structs.CodeInvalid, "the job asks for no accelerators")
	case spec.DeclaredRuntime < 0 || spec.CheckpointTime < 0:
		return structs.RefuseNotRun(structs.CodeInvalid, "the job declares a negative duration")
	case spec.Priority < structs.PriorityBulk || spec.Priority > structs.PriorityUrgent:
		return structs.RefuseNotRun(structs.CodeInvalid, "the job has an unknown priority")
	}
	return nil
}

// checkAdmission refuses jobs that the configuration does not allow, or that can
// never run under it.
func (s *State) checkAdmission(spec structs.JobSpec) *structs.Refusal {
	if !s.hasCustomer(spec.Customer) {
		return structs.RefuseNotRun(structs.CodeForbidden, "unknown customer "+strconv.Quote(spec.Customer))
	}
	highest, granted := s.highestPriority(spec.Customer)
	if !granted {
		return structs.RefuseNotRun(structs.CodeForbidden, "the customer may not submit jobs in this failure domain")
	}
	if spec.Priority > highest {
		return structs.RefuseNotRun(structs.CodeForbidden, "the customer may not use this priority")
	}
	if quota, limited := s.quota(spec.Customer); limited && spec.Accelerators > quota {
		return structs.RefuseNotRun(structs.CodeNeverRunnable, "the job needs "+strconv.Itoa(spec.Accelerators)+
			" accelerators and the customer's quota is "+strconv.Itoa(quota))
	}
	if total := s.capacity(); spec.Accelerators > total {
		return structs.RefuseNotRun(structs.CodeNeverRunnable, "the job needs "+strconv.Itoa(spec.Accelerators)+
			" accelerators and the failure domain has "+strconv.Itoa(total))
	}
	return nil
}

// capacity returns the number of accelerators in the configured topology. Jobs
// are checked against it and not against the present workers, because lost
// workers can return.
func (s *State) capacity() int {
	t := s.config.Topology
	return t.Racks * t.WorkersPerRack * t.AcceleratorsPerWorker
}

// hasCustomer reports whether the configuration lists a customer.
func (s *State) hasCustomer(name string) bool {
	return slices.ContainsFunc(s.config.Rules.Customers, func(c structs.Customer) bool { return c.Name == name })
}

// highestPriority returns the highest priority granted to a customer, and whether
// the customer has any grant.
func (s *State) highestPriority(customer string) (structs.Priority, bool) {
	highest, granted := structs.PriorityBulk, false
	for _, g := range s.config.Grants {
		if g.Customer != customer {
			continue
		}
		granted = true
		highest = max(highest, g.MaxPriority)
	}
	return highest, granted
}

// quota returns the customer's accelerator limit, and whether there is one. A
// rule for this domain takes precedence over a rule for all domains.
func (s *State) quota(customer string) (int, bool) {
	limit, limited := 0, false
	for _, q := range s.config.Rules.Quotas {
		if q.Customer != customer {
			continue
		}
		if q.Domain != "" {
			return q.Accelerators, true
		}
		limit, limited = q.Accelerators, true
	}
	return limit, limited
}

// cancel ends a queued job or begins to stop an active one.
func (s *State) cancel(b *Cancel) Result {
	j := s.jobs[b.Job]
	if j == nil || (b.Customer != "" && j.Spec.Customer != b.Customer) {
		return refused(structs.CodeNotFound, "no such job")
	}
	switch {
	case j.Status == structs.JobQueued:
		j.Reason = "cancelled by the caller"
		s.finish(j, structs.JobCancelled)
	case j.active():
		s.beginStop(j, stopCancel, true, "cancelled by the caller")
	}
	public := j.copy()
	return Result{Job: &public}
}
