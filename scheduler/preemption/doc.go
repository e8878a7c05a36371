// Package preemption weighs and chooses the running jobs that make room for a
// job inside its guarantee or for an urgent job. It prefers the fewest lost
// accelerator-hours. The caller never offers jobs inside their own guarantee.
package preemption
