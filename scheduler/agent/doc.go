// Package agent is the state machine of a worker, without I/O. From the orders
// of the owner of its failure domain and from its own clock it decides which
// tasks to prepare, start, checkpoint, throttle and stop. The I/O layer around
// it sends the lease renewals, runs the tasks and delivers the events.
//
// Requirements on the I/O layer:
//   - RenewalSent is delivered before the renewal is sent, and Timer at the
//     Deadline.
//   - The incarnation grows with each start of the process, and the tasks of an
//     earlier process have ended before the first renewal of the next one.
//   - A forced StopTask ends a task within the margin that the leader adds to
//     the lease.
//   - Tasks do not run while the process is frozen, nor after it continues until
//     a Timer event was handled. Otherwise a task whose lease expired during the
//     freeze could run for a moment at the same time as its replacement.
package agent
