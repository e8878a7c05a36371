package raft

import "time"

// Defaults and limits of Config.
const (
	defaultElectionTimeout    = time.Second
	defaultHeartbeatInterval  = 100 * time.Millisecond
	defaultClockError         = 50 * time.Millisecond
	defaultMaxBatchBytes      = 256 << 10
	defaultSnapshotChunkBytes = 64 << 10
	defaultMaxInflight        = 64
	// Half a MiB occupies a link of 30 Mbit/s for 140 ms, so that heartbeats
	// behind it arrive well within an election timeout.
	defaultMaxInflightBytes    = 512 << 10
	defaultMaxUncommittedBytes = 32 << 20

	// minHeartbeatsPerLease keeps one lost heartbeat from ending a lease.
	minHeartbeatsPerLease = 3

	// The lease ends at this share of the longest safe time, so that work
	// begun shortly before its end still falls within that time.
	leaseFractionNumerator   = 9
	leaseFractionDenominator = 10
)

// Config holds the parameters of a Node. Zero values select defaults, except
// for ID and Group, which are required.
type Config struct {
	// ID identifies this host among the members and is never reused.
	ID string
	// Group names the replicated log; messages of other groups are rejected.
	Group string
	// ElectionTimeout is the time without a leader after which a voter may
	// campaign, and without a quorum after which a leader steps down.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the longest time between two messages of a leader
	// to a member.
	HeartbeatInterval time.Duration
	// ClockError bounds by how much two hosts' measurements of the same
	// interval of one ElectionTimeout differ.
	ClockError time.Duration
	// MaxBatchBytes bounds the entries in a message and the size of a command.
	MaxBatchBytes int
	// SnapshotChunkBytes is the size of the pieces a snapshot is sent in.
	SnapshotChunkBytes int
	// MaxInflight bounds the unacknowledged batches to a member.
	MaxInflight int
	// MaxInflightBytes is the size of the unacknowledged batches to a member
	// from which on no further batch is sent.
	MaxInflightBytes int
	// MaxUncommittedBytes bounds the entries a leader holds uncommitted.
	MaxUncommittedBytes int
	// PromoteLag is how many committed entries a learner may lack when it is
	// promoted. A far learner always lacks those of the last round trip while a
	// group is busy; the promotion is committed only by a quorum that has them.
	PromoteLag uint64
	// Seed determines the election timeouts, together with ID.
	Seed uint64
	// LowPriority makes the node campaign later than others and transfer
	// leadership to a caught-up voter of normal priority.
	LowPriority bool
}

// Lease returns how long a leader may act after the send time of a heartbeat
// that a quorum has acknowledged. It is shorter than ElectionTimeout minus
// ClockError.
func (c Config) Lease() time.Duration {
	c = c.withDefaults()
	maxLease := c.ElectionTimeout - c.ClockError
	return maxLease * leaseFractionNumerator / leaseFractionDenominator
}

func (c Config) withDefaults() Config {
	setDurationDefault(&c.ElectionTimeout, defaultElectionTimeout)
	setDurationDefault(&c.HeartbeatInterval, defaultHeartbeatInterval)
	setDurationDefault(&c.ClockError, defaultClockError)
	setIntDefault(&c.MaxBatchBytes, defaultMaxBatchBytes)
	setIntDefault(&c.SnapshotChunkBytes, defaultSnapshotChunkBytes)
	setIntDefault(&c.MaxInflight, defaultMaxInflight)
	setIntDefault(&c.MaxInflightBytes, defaultMaxInflightBytes)
	setIntDefault(&c.MaxUncommittedBytes, defaultMaxUncommittedBytes)
	return c
}

func setDurationDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

func setIntDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

func (c Config) validate() error {
	switch {
	case c.ID == "":
		return &ConfigError{Field: "ID"}
	case c.Group == "":
		return &ConfigError{Field: "Group"}
	case c.ElectionTimeout <= 0:
		return &ConfigError{Field: "ElectionTimeout"}
	case c.HeartbeatInterval <= 0:
		return &ConfigError{Field: "HeartbeatInterval"}
	case c.ClockError < 0 || c.ClockError >= c.ElectionTimeout/2:
		return &ConfigError{Field: "ClockError"}
	case c.HeartbeatInterval*minHeartbeatsPerLease > c.Lease():
		return &ConfigError{Field: "HeartbeatInterval"}
	}
	return c.validateSizes()
}

func (c Config) validateSizes() error {
	switch {
	case c.MaxBatchBytes < 0:
		return &ConfigError{Field: "MaxBatchBytes"}
	case c.SnapshotChunkBytes < 0:
		return &ConfigError{Field: "SnapshotChunkBytes"}
	case c.MaxInflight < 0:
		return &ConfigError{Field: "MaxInflight"}
	case c.MaxInflightBytes < 0:
		return &ConfigError{Field: "MaxInflightBytes"}
	case c.MaxUncommittedBytes < 0:
		return &ConfigError{Field: "MaxUncommittedBytes"}
	}
	return nil
}
