// Package api defines the wire types of the HTTP API and a client for it. The
// daemon and the command-line tool share them; docs/api.md describes each
// endpoint. Times on the wire are durations in whole milliseconds, so that the
// clocks of different machines are never compared.
package api

import (
	"net/url"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// Paths of the API.
const (
	PathServices        = "/v1/services/"
	PathJobs            = "/v1/jobs"
	PathBackendAnnounce = "/v1/backends/announce"
	PathBackendDrain    = "/v1/backends/drain"
	PathBackendLeave    = "/v1/backends/leave"
	PathWorkerRenew     = "/v1/workers/renew"
	PathWorkerLeave     = "/v1/workers/leave"
	PathRules           = "/v1/rules"
	PathRulesHistory    = "/v1/rules/history"
	PathStatus          = "/v1/status"
	PathMembers         = "/v1/members"
	PathEvacuations     = "/v1/evacuations"
	PathMetrics         = "/metrics"
	PathHealth          = "/healthz"
	PathReady           = "/readyz"
	requestsSuffix      = "/requests"
)

// RequestsPath returns the path for requests to a service.
func RequestsPath(service string) string {
	return PathServices + url.PathEscape(service) + requestsSuffix
}

// JobPath returns the path of one job.
func JobPath(id string) string { return PathJobs + "/" + url.PathEscape(id) }

// Headers of requests and responses.
const (
	HeaderClass         = "X-Class"
	HeaderDeadline      = "X-Deadline-Ms"
	HeaderKey           = "Idempotency-Key"
	HeaderNonIdempotent = "X-Non-Idempotent"
	// HeaderWait is how long a host may delay the response to a worker's renewal
	// while the orders do not change, in milliseconds.
	HeaderWait = "X-Wait-Ms"
	// HeaderCustomer names the customer if the token does not.
	HeaderCustomer = "X-Customer"
	// HeaderRefusal carries the code of a refusal. Its presence distinguishes a
	// refusal from an error response of an executor.
	HeaderRefusal = "X-Refusal"
)

// Query parameters.
const (
	// QueryWorkers with the value "true" adds all workers to the status.
	QueryWorkers = "workers"
	// QueryCustomer and QueryStatus filter jobs.
	QueryCustomer = "customer"
	QueryStatus   = "status"
	// QueryGroup and QueryHost identify the replicated log and the member to
	// remove from it.
	QueryGroup = "group"
	QueryHost  = "host"
	// QueryAllowFewerLosses with the value "true" permits a removal after which the
	// log tolerates fewer losses than before.
	QueryAllowFewerLosses = "allow_fewer_losses"
	// QueryFailureDomain is the failure domain whose evacuation ends.
	QueryFailureDomain = "failure_domain"
)

// Milliseconds converts a duration to its wire format. It rounds up, so that a
// short positive duration does not become zero.
func Milliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// Duration converts a duration from its wire format.
func Duration(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// WorkerRenewRequest is the renewal message of a worker.
type WorkerRenewRequest = structs.WorkerReport

// WorkerRenewResponse is the response to a renewal.
type WorkerRenewResponse = structs.WorkerOrders

// WorkerLeaveRequest announces the planned shutdown of a worker.
type WorkerLeaveRequest struct {
	Worker      string `json:"worker"`
	Incarnation uint64 `json:"incarnation"`
}

// BackendAnnounceRequest announces a backend server. It is repeated every second.
type BackendAnnounceRequest struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	Slots         int    `json:"slots"`
	Connections   int    `json:"connections"`
	// Incarnation increases with each start of the process, and Sequence with
	// each announcement.
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
}

// BackendAnnounceResponse is the response to an announcement. TTLMS is how long
// the announcement is valid, in milliseconds.
type BackendAnnounceResponse struct {
	TTLMS int64 `json:"ttl_ms"`
}

// BackendRequest identifies a backend server that drains or leaves.
type BackendRequest struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// Incarnation 0 means the current one.
	Incarnation uint64 `json:"incarnation,omitempty"`
}

// EmptyResponse is the response to requests that return no data.
type EmptyResponse struct {
	Done bool `json:"done"`
}
