package wal

// HardState is the part of the consensus state that must be durable before
// messages that depend on it are sent.
type HardState struct {
	Term   uint64
	Vote   string
	Commit uint64
}

// Entry is one log entry.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  uint8
	Data  []byte
}

// SnapshotMeta describes a snapshot. Index and Term are those of the last
// entry that the snapshot covers; a zero Index means that there is none.
type SnapshotMeta struct {
	Index      uint64
	Term       uint64
	Membership []byte
}

const (
	// DefaultSegmentBytes is the size at which a log segment is closed and
	// the next one is started.
	DefaultSegmentBytes = 16 << 20
	// MaxRecordBytes bounds the encoded size of one Save. It protects
	// recovery from allocating memory for a damaged length field.
	MaxRecordBytes = 256 << 20
)

// Options configure Open.
type Options struct {
	// StoreID becomes the identity of the store if the folder is new. An
	// existing store keeps its identity. The caller draws it at random.
	StoreID string
	// ExpectStoreID, if not empty, must equal the identity found on disk. A
	// folder without an identity is then refused, because the host lost its
	// disk and must not vote under its old identity.
	ExpectStoreID string
	// SegmentBytes is the rollover size; DefaultSegmentBytes if zero.
	SegmentBytes int64
	// FS is the file system; OSFS if nil.
	FS FS
}

// Recovery reports what Open changed on disk.
type Recovery struct {
	// Created is true if Open created a new store.
	Created bool
	// TornTail is true if the last record of the last segment was incomplete
	// and has been truncated.
	TornTail bool
	// UnfinishedRollover is true if a segment that was being started when
	// the process ended has been removed. It held no entries.
	UnfinishedRollover bool
	// UnfinishedSnapshot is true if a synced snapshot was found that the log
	// did not name yet, and has been added to the log.
	UnfinishedSnapshot bool
	// File, Offset and Bytes locate the truncated tail.
	File   string
	Offset int64
	Bytes  int64
}

// Stats counts the work done since Open.
type Stats struct {
	// BytesWritten counts bytes of log records, segment headers and
	// snapshots.
	BytesWritten int64
	// FileSyncs and DirSyncs count completed syncs.
	FileSyncs int64
	DirSyncs  int64
	// Segments is the number of log segments on disk.
	Segments int
}
