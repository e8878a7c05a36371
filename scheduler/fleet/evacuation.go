package fleet

import "time"

// stopEvacuated is the stop reason of runs in an evacuated failure domain whose start may not
// have been carried out yet. Runs that have begun go on.
const stopEvacuated = "domain_evacuated"

// isEvacuated reports whether nothing may be started on an executor because its failure domain
// is evacuated.
func (c *Controller) isEvacuated(e *executor) bool { return c.state.Evacuated(e.domain) }

// isCold reports whether new runs on the executor are slow because it started a short time ago.
func (e *executor) isCold(now time.Duration) bool { return now < e.warmAt }

// checkDomain handles a report that names another failure domain than an earlier one of its
// incarnation. An executor does not move, so one of them came from another sender. Which one is
// not known: the executor is in none until it restarts, so that no report takes it out of an
// evacuation.
func (c *Controller) checkDomain(e *executor, r *Report) {
	if !e.domainUnclear && e.domain != "" && r.Domain != e.domain {
		c.log.Info("reports name different failure domains of an executor", "executor", e.key.ID, "born", e.key.Incarnation, "domain", e.domain, "reported", r.Domain)
		e.domain, e.domainUnclear = "", true
	}
	if e.domainUnclear {
		r.Domain = ""
	}
}
