// Package domain is the replicated state of one failure domain: its jobs and
// the request keys that have their home there. One log carries both, so that
// one leader owns them.
package domain
