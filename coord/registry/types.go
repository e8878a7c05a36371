package registry

import "time"

// State is the lifecycle state of the announced server. Within one incarnation
// it only moves forward, in the order of the constants.
type State uint8

// Lifecycle states, in order.
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
	// Incarnation increases with each start of the announced server.
	Incarnation uint64
	// Sequence increases with each announcement of one incarnation.
	Sequence uint64
	State    State
	// TTL is the time for which the announcement is valid after it was made.
	TTL time.Duration
	// Age is the time since the announcement was made, as known to the sender
	// of this copy. Hosts exchange durations because their clocks differ.
	Age     time.Duration
	Payload []byte
}

// Version identifies one announcement of an id. Compare orders the versions of
// an id.
type Version struct {
	ID          string
	Incarnation uint64
	Sequence    uint64
	State       State
}

// Change is an entry that changed since an earlier revision.
type Change struct {
	Entry
	// Revision is the local revision of the last change of the entry.
	Revision uint64
	// MaterialRevision is the local revision of the last change other than a
	// renewal, that is, a change of liveness, state, incarnation, payload or
	// time to live.
	MaterialRevision uint64
	// Expired is true if the entry was not renewed in time or has left.
	Expired bool
}

// MergeResult counts the entries of one Merge by outcome.
type MergeResult struct {
	// Applied entries were newer than the known version.
	Applied int
	// Stale entries were equal to or older than the known version, or had
	// already expired.
	Stale int
	// Rejected entries were invalid or exceeded Config.MaxEntries.
	Rejected int
}

// Config sets the limits of a registry.
type Config struct {
	// MaxEntries is the maximum number of live entries and tombstones together.
	MaxEntries int
	// MaxPayloadBytes is the maximum size of the payload of one entry.
	MaxPayloadBytes int
	// MaxTTL is the longest accepted time to live.
	MaxTTL time.Duration
	// TombstoneRetention is the time for which the version of an entry that
	// left or expired is kept after its TTL. It must be longer than MaxTTL plus
	// the longest total delay of a copy on its way through the hosts (see the
	// package comment).
	TombstoneRetention time.Duration
}
