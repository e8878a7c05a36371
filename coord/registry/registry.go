// Package registry keeps announcements that hosts disseminate among each
// other.
package registry

import "time"

// Registry holds the newest announcement of each id.
type Registry struct{}

// New returns an empty registry.
func New(cfg Config) *Registry { return &Registry{} }

// Merge adds announcements received from servers or other hosts.
func (r *Registry) Merge(now time.Duration, entries []Entry) MergeResult { return MergeResult{} }

// Digest returns the known versions, sorted by id.
func (r *Registry) Digest() []Version { return nil }

// Delta returns entries that are newer than the digest, at most maxBytes of
// them when encoded, and whether more remain.
func (r *Registry) Delta(now time.Duration, digest []Version, maxBytes int) (entries []Entry, more bool) {
	return nil, false
}

// Expire marks entries that were not renewed as expired, forgets old
// tombstones and returns the entries that expired, in order of expiry.
func (r *Registry) Expire(now time.Duration) []Entry { return nil }

// Changes returns the entries changed after the given local revision, oldest
// change first, and the current revision.
func (r *Registry) Changes(now time.Duration, since uint64) ([]Change, uint64) { return nil, 0 }

// Get returns the live entry of an id.
func (r *Registry) Get(now time.Duration, id string) (Entry, bool) { return Entry{}, false }

// Live returns all live entries, sorted by id.
func (r *Registry) Live(now time.Duration) []Entry { return nil }
