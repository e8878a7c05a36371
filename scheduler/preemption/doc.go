// Package preemption computes the cost of preempting running jobs and chooses the
// cheapest victims for a job inside its guarantee or for an urgent job. Cost is
// mainly the number of lost accelerator-hours. The caller never passes jobs inside
// their own guarantee.
package preemption
