package structs

import "time"

// Class is the urgency of a request.
type Class string

// Classes of requests, most important first.
const (
	ClassUrgent Class = "urgent"
	ClassNormal Class = "normal"
	ClassBulk   Class = "bulk"
)

// Request is a call to a service, without its body.
type Request struct {
	ID            string
	Service       string
	Customer      string
	Class         Class
	Remaining     time.Duration
	NonIdempotent bool
	Key           string
}

// BackendState is where a backend server is in its life.
type BackendState string

// States of backend servers.
const (
	BackendUp       BackendState = "up"
	BackendDraining BackendState = "draining"
	BackendLeft     BackendState = "left"
)

// Backend is an announced backend server (executor) of a service.
type Backend struct {
	ID          string       `json:"id"`
	Service     string       `json:"service"`
	Domain      string       `json:"domain"`
	Address     string       `json:"address"`
	Slots       int          `json:"slots"`
	Connections int          `json:"connections"`
	State       BackendState `json:"state"`
	// Incarnation grows with each start of the backend server process.
	Incarnation uint64 `json:"incarnation"`
}
