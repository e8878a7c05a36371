package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	clientTimeout = 3 * time.Second
	apiKey        = "d4a3hwrr6x73d3zji9n7"
	routeHost     = "nony24.example"
)

// response is the response to a call; its status is 0 if none came.
type response struct {
	status int
	body   string
}

func (r response) String() string {
	if r.status == 0 {
		return "no response"
	}
	return fmt.Sprintf("%d %s", r.status, r.body)
}

// call makes one HTTP call on a channel of its own.
func call(method, address, host, path string, body any, timeout time.Duration) response {
	var data io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return response{}
		}
		data = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, "http://"+address+path, data)
	if err != nil {
		return response{}
	}
	if host != "" {
		request.Host = host
		request.Header.Set("X-Api-Key", apiKey)
		request.Header.Set("X-Timeout-Ms", strconv.FormatInt(clientTimeout.Milliseconds(), 10))
	}
	request.Header.Set("Content-Type", "application/json")
	transport := &http.Transport{DisableKeepAlives: true}
	client := &http.Client{Timeout: timeout, Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return nil }}
	reply, err := client.Do(request)
	if err != nil {
		return response{}
	}
	defer reply.Body.Close()
	text, err := io.ReadAll(reply.Body)
	if err != nil {
		return response{}
	}
	return response{status: reply.StatusCode, body: string(text)}
}

// client sends the call of a client to an entry host and records it.
func (r *run) client(entry int, method, path string, body any) response {
	return r.clientWithin(entry, method, path, body, clientTimeout)
}

func (r *run) clientWithin(entry int, method, path string, body any, timeout time.Duration) response {
	address := r.entryAddresses()[entry%entryHosts]
	r.add("client sends %s %s to %s", method, path, address)
	reply := call(method, address, routeHost, path, body, timeout)
	r.add("client gets for %s %s: %s", method, path, reply)
	return reply
}

// operator sends a call of the operator to one control host after another until one gives a
// clear response.
func (r *run) operator(method, path string, body any) response {
	const attempts = 40
	for i := range attempts {
		address := r.controlAddresses()[i%controlHosts]
		reply := call(method, address, "", path, body, time.Second)
		if reply.status/100 == 2 || reply.status == 400 || reply.status == 404 || reply.status == 409 || reply.status == 413 {
			r.add("operator sends %s %s to %s and gets %d", method, path, address, reply.status)
			return reply
		}
		time.Sleep(250 * time.Millisecond)
	}
	return response{}
}

// configure sends a configuration and returns an error if it is not confirmed.
func (r *run) configure(c configuration) error {
	data, _ := json.Marshal(c)
	r.add("operator's configuration: %s", data)
	if reply := r.operator("POST", "/api/Config.Put", c); reply.status != http.StatusOK {
		return fmt.Errorf("configuration %d not confirmed: %s", c.Version, reply)
	}
	r.add("configuration %d confirmed", c.Version)
	return nil
}

// awaitReady waits until all entry hosts are ready.
func (r *run) awaitReady() error {
	for _, host := range r.entries() {
		if err := await(20*time.Second, func() bool {
			return call("GET", r.address(host, portReadiness), "", "/api/ready", nil, time.Second).status == http.StatusOK
		}); err != nil {
			return fmt.Errorf("entry host %s is not ready: %w", host, err)
		}
	}
	r.add("entry hosts are ready")
	return nil
}

// await waits until a condition holds.
func await(limit time.Duration, condition func() bool) error {
	const interval = 100 * time.Millisecond
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(interval) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("not within %v", limit)
}

// Types of the operator's and the clients' bodies.
type (
	configuration struct {
		Version  int       `json:"version"`
		Routes   []route   `json:"routes"`
		Services []service `json:"services"`
		Limits   limits    `json:"limits"`
		Tenants  []tenant  `json:"tenants"`
	}
	route struct {
		Name            string  `json:"name"`
		Host            string  `json:"host"`
		PathPrefix      string  `json:"path_prefix"`
		Kind            string  `json:"kind"`
		TimeoutMS       int     `json:"timeout_ms"`
		TargetLatencyMS int     `json:"target_latency_ms"`
		Priority        int     `json:"priority"`
		Service         string  `json:"service"`
		MaxAttempts     int     `json:"max_attempts"`
		Stretch         float64 `json:"stretch"`
		Public          bool    `json:"public"`
		Advice          *advice `json:"advice,omitempty"`
	}
	advice struct {
		DecideMS int `json:"decide_ms"`
		EachMS   int `json:"each_ms"`
		ValidMS  int `json:"valid_ms"`
	}
	service struct {
		Name             string `json:"name"`
		HealthPath       string `json:"health_path"`
		MaxConnections   int    `json:"max_connections"`
		Protocol         string `json:"protocol"`
		TLS              bool   `json:"tls"`
		EnforcesCapacity bool   `json:"enforces_capacity"`
		Spare            bool   `json:"spare"`
	}
	limits struct {
		MaxHeaderBytes  int `json:"max_header_bytes"`
		MaxBodyBytes    int `json:"max_body_bytes"`
		HeaderTimeoutMS int `json:"header_timeout_ms"`
		IdleTimeoutMS   int `json:"idle_timeout_ms"`
	}
	tenant struct {
		Name       string   `json:"name"`
		APIKeys    []string `json:"api_keys"`
		Guaranteed struct {
			GPU int `json:"gpu"`
		} `json:"guaranteed"`
	}
	job struct {
		Spec  string `json:"spec"`
		Steps []step `json:"steps"`
		// The times of a scheduled job are in milliseconds since 1970.
		RepeatCount int   `json:"repeat_count,omitempty"`
		FirstRunMS  int64 `json:"first_run_ms,omitempty"`
		IntervalMS  int64 `json:"interval_ms,omitempty"`
	}
	step struct {
		Count      int   `json:"count"`
		CPU        int   `json:"cpu"`
		MemMB      int   `json:"mem_mb"`
		GPU        int   `json:"gpu,omitempty"`
		EstimateMS int   `json:"estimate_ms"`
		DependsOn  []int `json:"depends_on,omitempty"`
		// The other fields are those of steps that last.
		LongRunning bool   `json:"long_running,omitempty"`
		Image       string `json:"image,omitempty"`
		TargetMS    int    `json:"target_ms,omitempty"`
		Fills       bool   `json:"fills,omitempty"`
		// AntiAffinity is the most subtasks of the step on one executor.
		AntiAffinity int `json:"anti_affinity,omitempty"`
	}
)

// newRoute returns a route to a service.
func newRoute(name, prefix, serviceName string) route {
	return route{
		Name: name, Host: routeHost, PathPrefix: prefix, Kind: "non_idempotent", TimeoutMS: 3000, TargetLatencyMS: 600,
		Priority: 1, Service: serviceName, MaxAttempts: 4, Stretch: 3,
	}
}

func newService(name string) service {
	return service{Name: name, HealthPath: "/health", MaxConnections: 64, Protocol: "h1"}
}

// newConfiguration returns a configuration with one tenant.
func newConfiguration(version int, routes []route, services ...service) configuration {
	return configuration{
		Version: version, Routes: routes, Services: services,
		Limits:  limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Tenants: []tenant{{Name: "kaje80", APIKeys: []string{apiKey}}},
	}
}

// newJob returns a job whose steps follow each other. Each has one subtask that works for
// the given time.
func newJob(work time.Duration, steps int) job {
	spec, _ := json.Marshal(map[string]int64{"work_ms": work.Milliseconds()})
	j := job{Spec: string(spec)}
	for i := range steps {
		s := step{Count: 1, CPU: 7500, MemMB: 11000, GPU: 1, EstimateMS: int(work.Milliseconds())}
		if i > 0 {
			s.DependsOn = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// newJobID returns an identifier of 16 hexadecimal digits.
func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
