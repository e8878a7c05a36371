package api

import (
	"strconv"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// Methods of the API.
const (
	methodGet    = "GET"
	methodPost   = "POST"
	methodDelete = "DELETE"
)

// Status returns the status of the deployment. If workers is true, the status
// includes all workers.
func (c *Client) Status(workers bool) (StatusResponse, error) {
	q := call{method: methodGet, path: PathStatus}
	if workers {
		q.query = map[string]string{QueryWorkers: "true"}
	}
	var out StatusResponse
	err := c.callJSON(q, nil, &out)
	return out, err
}

// Rules returns the configuration in force.
func (c *Client) Rules() (RulesResponse, error) {
	var out RulesResponse
	err := c.callJSON(call{method: methodGet, path: PathRules}, nil, &out)
	return out, err
}

// RulesHistory returns the accepted versions, oldest first.
func (c *Client) RulesHistory() (RulesHistoryResponse, error) {
	var out RulesHistoryResponse
	err := c.callJSON(call{method: methodGet, path: PathRulesHistory}, nil, &out)
	return out, err
}

// SubmitJob submits a job. A resend with the same name returns the same job.
func (c *Client) SubmitJob(r JobSubmitRequest) (Job, error) {
	var out Job
	err := c.callJSON(call{method: methodPost, path: PathJobs}, r, &out)
	return out, err
}

// Jobs lists the jobs with a customer and a status. An empty argument selects
// all values.
func (c *Client) Jobs(customer string, status structs.JobStatus) (JobListResponse, error) {
	q := call{method: methodGet, path: PathJobs, query: map[string]string{}}
	if customer != "" {
		q.query[QueryCustomer] = customer
	}
	if status != "" {
		q.query[QueryStatus] = string(status)
	}
	var out JobListResponse
	err := c.callJSON(q, nil, &out)
	return out, err
}

// Job returns one job.
func (c *Client) Job(id string) (Job, error) {
	var out Job
	err := c.callJSON(call{method: methodGet, path: JobPath(id)}, nil, &out)
	return out, err
}

// CancelJob cancels a job and returns its state.
func (c *Client) CancelJob(id string) (Job, error) {
	var out Job
	err := c.callJSON(call{method: methodDelete, path: JobPath(id)}, nil, &out)
	return out, err
}

// Members lists the members of all replicated logs.
func (c *Client) Members() (MembersResponse, error) {
	var out MembersResponse
	err := c.callJSON(call{method: methodGet, path: PathMembers}, nil, &out)
	return out, err
}

// AddMember adds a host to a replicated log.
func (c *Client) AddMember(r MemberRequest) (GroupStatus, error) {
	var out GroupStatus
	err := c.callJSON(call{method: methodPost, path: PathMembers}, r, &out)
	return out, err
}

// RemoveMember removes a host from a replicated log.
func (c *Client) RemoveMember(r MemberRequest) (GroupStatus, error) {
	q := call{method: methodDelete, path: PathMembers, query: map[string]string{QueryGroup: r.Group, QueryHost: r.Host}}
	if r.AllowFewerLosses {
		q.query[QueryAllowFewerLosses] = "true"
	}
	var out GroupStatus
	err := c.callJSON(q, nil, &out)
	return out, err
}

// DrainBackend tells all hosts to send no new requests to a backend server.
func (c *Client) DrainBackend(r BackendRequest) error {
	var out EmptyResponse
	return c.callJSON(call{method: methodPost, path: PathBackendDrain}, r, &out)
}

// ServiceRequest is one request to a service.
type ServiceRequest struct {
	Service string
	Class   structs.Class
	// Deadline is a duration from the arrival of the request. 0 selects the
	// default of the class in the rules.
	Deadline time.Duration
	// Key is the idempotency key, which a non-idempotent request needs.
	Key           string
	NonIdempotent bool
	Body          []byte
}

// ServiceResponse is the complete response of an executor.
type ServiceResponse struct {
	Status int
	Body   []byte
}

// Send sends one request to a service. It returns the response of the executor
// with any HTTP status. If a host refuses the request, it returns a
// *RefusedError.
func (c *Client) Send(r ServiceRequest) (ServiceResponse, error) {
	q := call{method: methodPost, path: RequestsPath(r.Service), body: r.Body, headers: r.headers()}
	if r.Deadline > 0 {
		q.timeout = r.Deadline + c.config.DialTimeout
	}
	resp, err := c.do(q)
	if err != nil {
		return ServiceResponse{}, err
	}
	if resp.refusal != "" {
		return ServiceResponse{}, resp.refusalError()
	}
	return ServiceResponse{Status: resp.status, Body: resp.body}, nil
}

func (r *ServiceRequest) headers() map[string]string {
	h := map[string]string{"Content-Type": "application/octet-stream"}
	if r.Class != "" {
		h[HeaderClass] = string(r.Class)
	}
	if r.Deadline > 0 {
		h[HeaderDeadline] = strconv.FormatInt(Milliseconds(r.Deadline), 10)
	}
	if r.Key != "" {
		h[HeaderKey] = r.Key
	}
	if r.NonIdempotent {
		h[HeaderNonIdempotent] = "true"
	}
	return h
}
