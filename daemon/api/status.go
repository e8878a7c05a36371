package api

import (
	"cranberrydrum.dev/scheduler/configstate"
	"cranberrydrum.dev/scheduler/structs"
)

// StatusResponse describes the deployment as the answering host knows it.
// Lists are sorted by name.
type StatusResponse struct {
	Host          HostStatus      `json:"host"`
	Config        ConfigStatus    `json:"config"`
	Groups        []GroupStatus   `json:"groups"`
	Backends      []BackendStatus `json:"backends"`
	Queues        []QueueStatus   `json:"queues"`
	Workers       []WorkerStatus  `json:"workers,omitempty"`
	Quarantined   []WorkerStatus  `json:"quarantined"`
	Fragmentation []Fragmentation `json:"fragmentation"`
	Refusals      []RefusalCount  `json:"refusals"`
}

// HostStatus describes the answering host.
type HostStatus struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	Build         string `json:"build"`
	UptimeMS      int64  `json:"uptime_ms"`
	Stopping      bool   `json:"stopping"`
	// NotReady says why the host is not ready; empty if it is.
	NotReady  string                `json:"not_ready,omitempty"`
	Readiness configstate.Readiness `json:"readiness"`
}

// ConfigStatus tells which configuration version is in force where.
type ConfigStatus struct {
	Version uint64       `json:"version"`
	Digest  string       `json:"digest"`
	Hosts   []HostConfig `json:"hosts"`
}

// HostConfig is the version that a host last reported.
type HostConfig struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	Version       uint64 `json:"version"`
	Reachable     bool   `json:"reachable"`
	// SeenMS is the age of the report.
	SeenMS int64 `json:"seen_ms"`
}

// GroupStatus describes one replicated log: "config" or "domain/<name>".
type GroupStatus struct {
	Group string `json:"group"`
	// Leader is empty if none is known.
	Leader   string          `json:"leader"`
	Term     uint64          `json:"term"`
	Commit   uint64          `json:"commit"`
	Replicas []ReplicaStatus `json:"replicas"`
}

// ReplicaStatus describes one member of a log. Lag and SeenMS are -1 where
// the answering host cannot know them, because only the leader does.
type ReplicaStatus struct {
	Host   string `json:"host"`
	Voter  bool   `json:"voter"`
	Lag    int64  `json:"lag_entries"`
	SeenMS int64  `json:"seen_ms"`
}

// BackendStatus describes a backend server.
type BackendStatus struct {
	structs.Backend
	InFlight int   `json:"in_flight"`
	SeenMS   int64 `json:"seen_ms"`
}

// QueueStatus describes the queue of one class of a service on the answering host.
type QueueStatus struct {
	Service  string        `json:"service"`
	Class    structs.Class `json:"class"`
	Queued   int           `json:"queued"`
	InFlight int           `json:"in_flight"`
}

// WorkerStatus describes a worker.
type WorkerStatus struct {
	structs.Worker
	// Used counts the accelerators that are granted or still reported as used.
	Used int `json:"used_accelerators"`
	// Reason says why the worker is quarantined.
	Reason string `json:"reason,omitempty"`
	SeenMS int64  `json:"seen_ms"`
}

// Fragmentation describes the free accelerators of a failure domain.
type Fragmentation struct {
	FailureDomain string `json:"failure_domain"`
	Total         int    `json:"total_accelerators"`
	Free          int    `json:"free_accelerators"`
	// LargestGang is the largest gang that could start at once.
	LargestGang int `json:"largest_gang"`
	// Index compares LargestGang with the gang that the free accelerators would
	// allow if they lay together, at most one rack: 0 is none lost, 1 all.
	Index float64 `json:"index"`
}

// RefusalCount counts the refusals of one code since the host started.
type RefusalCount struct {
	Code  structs.Code `json:"code"`
	Count uint64       `json:"count"`
}

// MembersResponse lists the members of all logs.
type MembersResponse struct {
	Groups []GroupStatus `json:"groups"`
}

// MemberRequest adds a host to a log.
type MemberRequest struct {
	Group string `json:"group"`
	Host  string `json:"host"`
}
