// Package agent is the pure core of a worker. It decides which tasks to
// prepare, start, checkpoint, throttle and stop, from the orders of the owner
// of its failure domain and from its own clock. The I/O layer around it sends
// the renewals, runs the tasks and delivers the events.
package agent
