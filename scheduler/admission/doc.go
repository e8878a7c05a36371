// Package admission decides the requests of customers for jobs and queues from the
// replicated state: it answers a request, refuses it, or returns the command that has to be
// committed before it can be answered. It reads no clock.
package admission
