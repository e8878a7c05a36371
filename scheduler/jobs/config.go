package jobs

import (
	"cranberrydrum.dev/scheduler/placement"
	"cranberrydrum.dev/scheduler/structs"
)

// ConfigFor returns the part of a configuration that applies to one failure
// domain. The source positions and comments of the rules are left out.
func ConfigFor(domain string, version uint64, cfg *structs.Config) SetConfig {
	set := SetConfig{Version: version, Rules: placement.Rules{Domain: domain, Policy: cfg.Policy}}
	set.Rules.Policy.Source = structs.Source{}
	for _, d := range cfg.Domains {
		if d.Name == domain {
			d.Source = structs.Source{}
			set.Topology = d
			set.Rules.Topology = d
		}
	}
	for _, c := range cfg.Customers {
		c.Source = structs.Source{}
		set.Rules.Customers = append(set.Rules.Customers, c)
	}
	for _, g := range cfg.Guarantees {
		if g.Domain == domain {
			g.Source = structs.Source{}
			set.Rules.Guarantees = append(set.Rules.Guarantees, g)
		}
	}
	for _, q := range cfg.Quotas {
		if q.Domain == domain || q.Domain == "" {
			q.Source = structs.Source{}
			set.Rules.Quotas = append(set.Rules.Quotas, q)
		}
	}
	for _, g := range cfg.Grants {
		if g.Service == "" && (g.Domain == domain || g.Domain == "") {
			g.Source = structs.Source{}
			set.Grants = append(set.Grants, g)
		}
	}
	return set
}

// setConfig installs a newer configuration. Queued jobs that it does not admit
// stay queued as ineligible with the reason, because a later configuration may
// admit them.
func (s *State) setConfig(b *SetConfig) Result {
	if b.Version <= s.config.Version {
		return refused(structs.CodeVersionConflict, "a configuration of this or a later version is in force")
	}
	if s.config.Version != 0 && b.Rules.Domain != s.Domain() {
		return refused(structs.CodeInvalid, "the configuration is for another failure domain")
	}
	s.config = *b
	s.changes.config = true
	for _, j := range s.sortedJobs() {
		if j.Status == structs.JobQueued {
			s.updateEligibility(j)
		}
	}
	return Result{}
}

// updateEligibility marks a queued job as eligible or ineligible under the current
// configuration.
func (s *State) updateEligibility(j *job) {
	refusal := s.checkAdmission(j.Spec)
	if refusal == nil {
		if j.ineligible {
			j.Reason = ""
			s.changes.add(change{job: j.ID})
		}
		j.ineligible = false
		return
	}
	j.ineligible = true
	j.Reason = refusal.Message
	s.changes.add(change{job: j.ID})
}

// forget deletes the oldest terminal jobs and lost workers beyond the bounds.
// Submitting the name of a deleted job creates a new job.
func (s *State) forget(b *Forget) Result {
	excess := max(0, len(s.terminal)-max(0, b.KeepJobs))
	for _, j := range s.terminal[:excess] {
		delete(s.jobs, j.ID)
		delete(s.names, nameKey{j.Spec.Customer, j.Spec.Name})
		s.changes.add(change{job: j.ID})
	}
	s.terminal = append([]*job(nil), s.terminal[excess:]...)
	s.forgetWorkers(max(0, b.KeepWorkers))
	return Result{}
}

// forgetWorkers deletes lost workers without jobs until keep remain, starting with
// those lost first.
func (s *State) forgetWorkers(keep int) {
	lost := s.idleLostWorkers()
	for _, w := range lost[:max(0, len(lost)-keep)] {
		delete(s.workers, w.ID)
		s.changes.add(change{worker: w.ID})
	}
}
