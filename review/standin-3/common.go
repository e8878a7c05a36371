package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	clientHost = "nony24.example"
	prefix     = "/lohu930/"
	clientKey  = "d4a3hwrr6x73d3zji9n7"
	// maxBodyBytes is the limit that the configuration sets for the bodies of clients.
	maxBodyBytes = 262144
)

// configuration returns a configuration like that of the pages, with one queue of urgent jobs.
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-ce7ejsm", "host": clientHost, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 1500,
			"priority": 1, "service": "huvo11a", "max_attempts": 3, "stretch": 3.0, "public": false,
		}},
		"services": []any{map[string]any{
			"name": "huvo11a", "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "enforces_capacity": false, "spare": false,
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "kaje80", "api_keys": []string{clientKey}, "priority": 1, "guaranteed": map[string]int{"gpu": 8}}},
	}
}

// setUp starts a deployment with executors, configures it and waits until it serves.
func setUp(r *record, binary string, entries, executors int) (*deployment, []*executor, *observations, error) {
	d, err := newDeployment(r, binary, entries)
	if err != nil {
		return nil, nil, nil, err
	}
	runs := newObservations()
	var list []*executor
	fail := func(err error) (*deployment, []*executor, *observations, error) {
		d.close()
		return nil, nil, nil, err
	}
	if err := d.startAll(); err != nil {
		return fail(err)
	}
	if err := d.put(configuration(1)); err != nil {
		return fail(err)
	}
	for i := range executors {
		e := &executor{
			id: fmt.Sprintf("i-%d", i), service: "huvo11a", address: fmt.Sprintf("%s%d:%d", d.network, 100+i, d.port), rack: i / 8,
			record: r, controls: d.controls(), runs: runs,
		}
		if err := e.boot(); err != nil {
			return fail(err)
		}
		list = append(list, e)
	}
	if err := d.waitReady(); err != nil {
		return fail(err)
	}
	time.Sleep(2 * time.Second)
	return d, list, runs, nil
}

func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a21<<32+n) }

// newClient returns a client that waits for a response for a time.
func newClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
}

// stateOf returns the state of a job, or the status of the response.
func stateOf(client *http.Client, frontend, id string) string {
	status, text := call(client, http.MethodGet, frontend, prefix+id, clientHost, clientKey, nil)
	var reply struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &reply) != nil {
		return strconv.Itoa(status)
	}
	return reply.State
}
