package cli

import (
	"strconv"
	"strings"

	"cranberrydrum.dev/daemon/api"
)

// unknownNumber is the API value of a number that the responding host does not
// know.
const unknownNumber = -1

// Number formats a count. An unknown count is shown as "?".
func Number[T ~int | ~int64 | ~uint64](n T) string {
	if int64(n) == unknownNumber {
		return "?"
	}
	return strconv.FormatInt(int64(n), 10)
}

// Duration formats a duration given in milliseconds. An unknown duration is shown
// as "?".
func Duration(ms int64) string {
	if ms == unknownNumber {
		return "?"
	}
	return api.Duration(ms).String()
}

// MembersTable returns a table of the members of replicated logs.
func MembersTable(groups []api.GroupStatus) Table {
	t := Table{Header: []string{"LOG", "TERM", "HOST", "ROLE", "LAG", "SEEN", "TOLERATED LOSSES"}}
	for _, g := range groups {
		for _, r := range g.Replicas {
			t.Rows = append(t.Rows, []string{g.Group, Number(g.Term), r.Host, roleOf(g, r), Number(r.Lag), Duration(r.SeenMS), Number(g.ToleratedLosses)})
		}
	}
	return t
}

func roleOf(g api.GroupStatus, r api.ReplicaStatus) string {
	role := "learner"
	switch {
	case r.Host == g.Leader:
		role = "leader"
	case r.Voter:
		role = "voter"
	}
	if r.Silent {
		role += ", silent"
	}
	return role
}

// WorkersTable returns a table of workers.
func WorkersTable(workers []api.WorkerStatus) Table {
	t := Table{Header: []string{"WORKER", "FAILURE DOMAIN", "RACK", "USED", "TOTAL", "SEEN", "QUARANTINED"}}
	for _, w := range workers {
		quarantined := ""
		if w.Quarantined {
			quarantined = strings.TrimSpace("yes " + w.Reason)
		}
		t.Rows = append(t.Rows, []string{w.ID, w.Domain, w.Rack, Number(w.Used), Number(w.Accelerators), Duration(w.SeenMS), quarantined})
	}
	return t
}

// BackendsTable returns a table of backend servers.
func BackendsTable(backends []api.BackendStatus) Table {
	t := Table{Header: []string{"BACKEND SERVER", "SERVICE", "FAILURE DOMAIN", "ADDRESS", "STATE", "IN FLIGHT", "SLOTS", "SEEN"}}
	for _, b := range backends {
		t.Rows = append(t.Rows, []string{b.ID, b.Service, b.Domain, b.Address, string(b.State), Number(b.InFlight), Number(b.Slots), Duration(b.SeenMS)})
	}
	return t
}

// JobsTable returns a table of jobs.
func JobsTable(jobs []api.Job) Table {
	t := Table{Header: []string{"JOB", "NAME", "CUSTOMER", "FAILURE DOMAIN", "PRIORITY", "ACCELERATORS", "STATUS", "ATTEMPTS", "REASON"}}
	for _, j := range jobs {
		t.Rows = append(t.Rows, []string{j.ID, j.Name, j.Customer, j.FailureDomain, j.Priority, Number(j.Accelerators), string(j.Status), Number(j.Attempts), j.Reason})
	}
	return t
}
