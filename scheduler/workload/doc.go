// Package workload implements the replicated state of the jobs, which consist of
// steps of tasks, and of the configuration of queues, services and customers. It is a
// deterministic state machine: its state depends only on the commands of the
// replicated log and their order, and it reads no clock.
package workload
