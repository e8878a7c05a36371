// Package placement compares placement policies under generated load. It drives
// the scheduler through its interface with a small event loop that knows only
// submissions, ends, stops and worker faults. All loads are derived from a seed.
package placement
