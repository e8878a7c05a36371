// Package quarantine tells bad workers from bad jobs by the failures that are
// reported, and decides which workers get no work until a probe succeeds.
//
// A failed run is evidence against its worker and against its job. Once the
// job runs well on another worker, the failure is charged to the worker in
// full. While the job has failed on one worker only, the worker carries half
// of it. Once the job has failed on several workers and run well on none, it
// is charged to the job alone. Evidence expires by newer outcomes: only the
// last few outcomes of a worker count, and successes push failures out.
package quarantine
