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

// Request is a request to a service, without its body.
type Request struct {
	ID       string
	Service  string
	Customer string
	Class    Class
	// Remaining is the time left until the deadline, or 0 for the default
	// deadline of the class.
	Remaining     time.Duration
	NonIdempotent bool
	// Key is the idempotency key, which a non-idempotent request needs.
	Key string
}

// BackendState is the lifecycle state of a backend server.
type BackendState string

// States of backend servers.
const (
	BackendUp       BackendState = "up"
	BackendDraining BackendState = "draining"
	BackendLeft     BackendState = "left"
)

// Backend is a backend server (executor) of a service, as it announced itself.
type Backend struct {
	ID          string       `json:"id"`
	Service     string       `json:"service"`
	Domain      string       `json:"domain"`
	Address     string       `json:"address"`
	Slots       int          `json:"slots"`
	Connections int          `json:"connections"`
	State       BackendState `json:"state"`
	// Incarnation increases with each start of the backend server process.
	Incarnation uint64 `json:"incarnation"`
}
