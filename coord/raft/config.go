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
	// defaultMaxInflightBytes (512 KiB) occupies a link of 30 Mbit/s for 140 ms,
	// so a heartbeat queued behind these batches still arrives well within an
	// election timeout.
	defaultMaxInflightBytes    = 512 << 10
	defaultMaxUncommittedBytes = 32 << 20

	// minHeartbeatsPerLease is the least number of heartbeat intervals in a
	// lease. With 3, one lost heartbeat does not end the lease.
	minHeartbeatsPerLease = 3

	// The lease lasts 9/10 of the longest safe time, so that an operation
	// started shortly before the lease ends still completes within that time.
	leaseFractionNumerator   = 9
	leaseFractionDenominator = 10
)

// Config holds the parameters of a Node. ID and Group are required. A zero
// value in ElectionTimeout, HeartbeatInterval, ClockError or a size limit
// selects the default.
type Config struct {
	// ID identifies this host among the members. An ID is never reused.
	ID string
	// Group names the replicated log; messages of other groups are rejected.
	Group string
	// ElectionTimeout is the time without contact to a leader after which a
	// voter may campaign, and the time without replies from a quorum after
	// which a leader steps down.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the longest time between two messages from a leader
	// to the same member.
	HeartbeatInterval time.Duration
	// ClockError is the largest difference between two hosts' measurements of
	// the same interval, for an interval of one ElectionTimeout.
	ClockError time.Duration
	// MaxBatchBytes limits the size of the entries in one message and the size
	// of a command entry.
	MaxBatchBytes int
	// SnapshotChunkBytes is the size of the chunks in which a snapshot is sent.
	SnapshotChunkBytes int
	// MaxInflight limits the number of unacknowledged batches per member.
	MaxInflight int
	// MaxInflightBytes limits the size of the unacknowledged batches per
	// member: no further batch is sent once their size reaches it.
	MaxInflightBytes int
	// MaxUncommittedBytes limits the size of the leader's uncommitted entries.
	MaxUncommittedBytes int
	// Seed, together with ID, determines the random part of election timeouts.
	Seed uint64
	// DurableCommit makes the node return committed entries only once the commit
	// index is durable, so that a host never shows an older state after a restart than
	// before. The storage must save changes of the commit index alone.
	DurableCommit bool
	// AnnounceCommit makes a leader tell the members at once which entries are committed,
	// instead of with its next batch or heartbeat, so that they apply what a client was
	// told even if the leader is lost right after it. It costs a message per member for
	// each commit without a later batch.
	AnnounceCommit bool
	// LowPriority makes the node campaign later than nodes of normal priority
	// and, as leader, transfer leadership to a caught-up voter of normal
	// priority.
	LowPriority bool
}

// Lease returns the duration of the leader lease, which starts at the send time
// of a heartbeat that a quorum has acknowledged. It is shorter than
// ElectionTimeout minus ClockError.
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
