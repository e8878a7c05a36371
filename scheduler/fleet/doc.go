// Package fleet decides, at the leader of the replicated log, which task runs
// on which executor, and which calls are made to the executors. It is pure:
// time, reports and answers are passed in, commands and calls are returned.
//
// A run is in the log before it is sent. A run whose start got no clear answer
// keeps its room and its task until an executor has said, in an answer to a
// later call, that it is over, or until nothing can run any more in that life
// of the executor.
package fleet
