// Package workload is the replicated state of the jobs that consist of steps
// of tasks, and of the configuration that they obey. It is a pure state
// machine: it changes only by commands of the replicated log, in their order,
// and reads no clock.
package workload
