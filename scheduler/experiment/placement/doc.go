// Package placement compares placement policies under a generated workload. A
// discrete-event simulation drives the scheduler through its public interface
// with job submissions, completions, preemptions and worker faults. Each
// workload is derived from a seed, so equal options give equal results.
package placement
