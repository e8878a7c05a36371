// Package fleet makes the scheduling decisions of the leader of the replicated
// log: which task runs on which executor, and which calls are sent to the
// executors. It performs no I/O: time, reports and responses are arguments,
// commands and calls are results.
//
// A run is stored in the log before its start is sent. If the outcome of a
// start is unknown, the run keeps its resources and its task until a later
// response of the executor shows that it is over, or until nothing can run any
// longer in that incarnation of the executor.
package fleet
