package registry

import "time"

// State is where the announced server is in its life. Within one incarnation
// it only grows.
type State uint8

// States in their order.
const (
	Up State = iota + 1
	Draining
	Left
)

// String returns the state as it appears in logs.
func (s State) String() string {
	switch s {
	case Up:
		return "up"
	case Draining:
		return "draining"
	case Left:
		return "left"
	}
	return "invalid"
}

// Entry is one announcement.
type Entry struct {
	ID string
	// Incarnation grows with each start of the announced server.
	Incarnation uint64
	// Sequence grows with each announcement of one incarnation.
	Sequence uint64
	State    State
	// TTL is how long the announcement is valid.
	TTL time.Duration
	// Age is how long ago the announcement was made, as known to the sender
	// of this copy. Hosts exchange durations because their clocks differ.
	Age     time.Duration
	Payload []byte
}

// Version is the part of an announcement that decides which one is newer.
type Version struct {
	ID          string
	Incarnation uint64
	Sequence    uint64
	State       State
}

// Change is one changed entry.
type Change struct {
	Entry
	// Revision is the local revision of the last change of the entry.
	Revision uint64
	// Material is the local revision of the last change other than a renewal
	// (liveness, state, incarnation, payload or time to live).
	Material uint64
	// Expired is true if the entry was not renewed in time or has left.
	Expired bool
}

// MergeResult counts what Merge did with the entries.
type MergeResult struct {
	// Applied entries were newer than the known ones.
	Applied int
	// Stale entries were equal to or older than the known ones.
	Stale int
	// Rejected entries were invalid or did not fit.
	Rejected int
}

// Config bounds a registry.
type Config struct {
	// MaxEntries bounds live entries and tombstones together.
	MaxEntries int
	// MaxPayloadBytes bounds the payload of one entry.
	MaxPayloadBytes int
	// MaxTTL is the longest accepted time to live.
	MaxTTL time.Duration
	// TombstoneRetention is how long the version of an entry that left or
	// expired is remembered. It must be longer than MaxTTL plus the longest
	// time that a message can be delayed.
	TombstoneRetention time.Duration
}
