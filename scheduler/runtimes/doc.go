// Package runtimes predicts the run times of tasks from those of finished runs. It is pure:
// time is an argument.
//
// All sums are of logarithms, because run times and their errors are ratios. A prediction
// begins with a regression of run times on estimates for the queue of a job. The mean errors
// of steps of the same shape and of jobs of the same customer correct it, and the errors that
// remain give the quantiles. Finished tasks of the same step outweigh all of that. Weights of
// earlier observations decay.
package runtimes
