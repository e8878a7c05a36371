package api

import (
	"cranberrydrum.dev/scheduler/configstate"
	"cranberrydrum.dev/scheduler/structs"
)

// StatusResponse describes the deployment from the point of view of the
// responding host. Lists are sorted by name.
type StatusResponse struct {
	Host          HostStatus      `json:"host"`
	Config        ConfigStatus    `json:"config"`
	Groups        []GroupStatus   `json:"groups"`
	Backends      []BackendStatus `json:"backends"`
	Queues        []QueueStatus   `json:"queues"`
	Workers       []WorkerStatus  `json:"workers,omitempty"`
	Quarantined   []WorkerStatus  `json:"quarantined"`
	Fragmentation []Fragmentation `json:"fragmentation"`
	// Evacuations lists the evacuated failure domains.
	Evacuations []EvacuationStatus `json:"evacuations"`
	Refusals    []RefusalCount     `json:"refusals"`
}

// HostStatus describes the responding host.
type HostStatus struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	Build         string `json:"build"`
	UptimeMS      int64  `json:"uptime_ms"`
	Stopping      bool   `json:"stopping"`
	// NotReady is the reason why the host is not ready. It is empty if the host is
	// ready.
	NotReady  string                `json:"not_ready,omitempty"`
	Readiness configstate.Readiness `json:"readiness"`
}

// ConfigStatus describes the configuration in force and the versions on all
// hosts.
type ConfigStatus struct {
	Version uint64       `json:"version"`
	Digest  string       `json:"digest"`
	Hosts   []HostConfig `json:"hosts"`
}

// HostConfig is the configuration version that a host last reported.
type HostConfig struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	Version       uint64 `json:"version"`
	Reachable     bool   `json:"reachable"`
	// SeenMS is the age of the report, in milliseconds.
	SeenMS int64 `json:"seen_ms"`
}

// GroupStatus describes one replicated log: "config" or "domain/<name>".
type GroupStatus struct {
	Group string `json:"group"`
	// Leader is the host id of the leader, or empty if none is known.
	Leader string `json:"leader"`
	Term   uint64 `json:"term"`
	Commit uint64 `json:"commit"`
	// ToleratedLosses is the number of voters that may be lost now without the log
	// losing its majority, or -1 if the responding host does not know it, because
	// only the leader does.
	ToleratedLosses int             `json:"tolerated_losses"`
	Replicas        []ReplicaStatus `json:"replicas"`
}

// ReplicaStatus describes one member of a replicated log. Lag and SeenMS are -1
// if the responding host does not know them, because only the leader does.
type ReplicaStatus struct {
	Host   string `json:"host"`
	Voter  bool   `json:"voter"`
	Lag    int64  `json:"lag_entries"`
	SeenMS int64  `json:"seen_ms"`
	// Silent reports whether the member did not reply to the leader within an
	// election timeout. It does not count towards a majority then.
	Silent bool `json:"silent,omitempty"`
}

// BackendStatus describes a backend server.
type BackendStatus struct {
	structs.Backend
	// InFlight is the number of requests of the responding host in progress.
	InFlight int   `json:"in_flight"`
	SeenMS   int64 `json:"seen_ms"`
}

// QueueStatus describes the queue of one class of a service on the responding
// host.
type QueueStatus struct {
	Service  string        `json:"service"`
	Class    structs.Class `json:"class"`
	Queued   int           `json:"queued"`
	InFlight int           `json:"in_flight"`
}

// WorkerStatus describes a worker.
type WorkerStatus struct {
	structs.Worker
	// Used counts the accelerators that are allocated to jobs or that the worker
	// still reports as used.
	Used int `json:"used_accelerators"`
	// Reason says why the worker takes no new tasks, for example because it is
	// lost.
	Reason string `json:"reason,omitempty"`
	SeenMS int64  `json:"seen_ms"`
}

// Fragmentation describes the free accelerators of a failure domain.
type Fragmentation struct {
	FailureDomain string `json:"failure_domain"`
	Total         int    `json:"total_accelerators"`
	Free          int    `json:"free_accelerators"`
	// LargestGang is the size of the largest gang that could start at once.
	LargestGang int `json:"largest_gang"`
	// Index is the loss of gang size to fragmentation: 1 - LargestGang / G, where G
	// is the gang that the free accelerators would allow if they were together, at
	// most one rack. 0 means that nothing is lost, 1 that everything is.
	Index float64 `json:"index"`
}

// RefusalCount is the number of refusals with one code since the host started.
type RefusalCount struct {
	Code  structs.Code `json:"code"`
	Count uint64       `json:"count"`
}

// MembersResponse lists the members of all replicated logs.
type MembersResponse struct {
	Groups []GroupStatus `json:"groups"`
}

// MemberRequest adds a host to a replicated log or removes it.
type MemberRequest struct {
	Group string `json:"group"`
	Host  string `json:"host"`
	// AllowFewerLosses permits a removal after which the log tolerates fewer losses
	// than before.
	AllowFewerLosses bool `json:"allow_fewer_losses,omitempty"`
}
