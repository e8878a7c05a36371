// Package forecast estimates for how long work that is submitted to a full pool waits. It is
// pure: it reads no clock and keeps no time of its own.
//
// The model is a queue in order of precedence whose work is served by the whole capacity of
// the pool. Work in progress is left out: as much of it is left when the new work starts as
// there is now, so that the waiting work alone determines the wait. Fragmentation, stops,
// restarts and later work of more precedence make the real wait longer; Accuracy measures by
// how much.
package forecast
