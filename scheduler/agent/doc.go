// Package agent is the pure core of a worker. It decides which tasks to
// prepare, start, checkpoint, throttle and stop, from the orders of the owner
// of its failure domain and from its own clock. The I/O layer around it sends
// the renewals, runs the tasks and delivers the events.
//
// What the I/O layer must guarantee:
//   - RenewalSent is delivered before the renewal leaves, and Timer at the Deadline.
//   - An incarnation grows with each start of the process, and the tasks of an
//     earlier process have ended before the first renewal of the next one.
//   - A forced StopTask ends a task within the margin that the leader adds to
//     the lease.
//   - Tasks do not run while the process is frozen, and after it continues not
//     before a Timer event was handled. A task that outlived its lease in a
//     freeze would otherwise run beside its replacement for a moment.
package agent
