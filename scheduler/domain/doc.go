// Package domain implements the replicated state of one failure domain: its jobs
// and the request keys whose home is the domain. Both are replicated through one
// log, so that the same leader owns them.
package domain
