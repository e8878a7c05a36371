// Package quarantine distinguishes faulty workers from faulty jobs by the
// reported failures, and decides which workers receive no jobs until a probe
// succeeds.
//
// A failed run is evidence against its worker and against its job. If the job
// succeeds on another worker, the failure counts against the worker with full
// weight. While the job has failed on only one worker, the failure counts with
// half of that weight. If the job has failed on several workers and succeeded
// on none, the failure counts against the job alone. Newer outcomes displace
// older ones: only the last few outcomes of a worker count, so successes push
// failures out.
package quarantine
