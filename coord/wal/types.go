package wal

// HardState is the consensus state other than the log that must be durable
// before messages that depend on it are sent.
type HardState struct {
	Term   uint64
	Vote   string
	Commit uint64
}

// Entry is one log entry. The store does not interpret Kind and Data.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  uint8
	Data  []byte
}

// SnapshotMeta describes a snapshot. Index and Term are those of the last
// entry that the snapshot covers; a zero Index means that there is none. The
// store does not interpret Membership.
type SnapshotMeta struct {
	Index      uint64
	Term       uint64
	Membership []byte
}

const (
	// DefaultSegmentBytes is the size at which a log segment is sealed and the
	// next one is started.
	DefaultSegmentBytes = 16 << 20
	// MaxRecordBytes is the maximum encoded size of one Save. Recovery treats a
	// larger length field as damage instead of allocating memory for it.
	MaxRecordBytes = 256 << 20
)

// Options configure Open.
type Options struct {
	// StoreID becomes the identity of the store if Open creates it. An existing
	// store keeps its identity. The caller must choose it at random.
	StoreID string
	// ExpectStoreID, if not empty, must equal the identity on disk. Open then
	// refuses a directory without an identity, because the host has lost its
	// disk and must not vote under its old identity.
	ExpectStoreID string
	// SegmentBytes is the segment size that triggers a rollover;
	// DefaultSegmentBytes if zero.
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
	// UnfinishedRollover is true if a segment left by an interrupted rollover
	// has been removed. It held no entries.
	UnfinishedRollover bool
	// UnfinishedSnapshot is true if the log had no record of a durable snapshot
	// and the record has been appended.
	UnfinishedSnapshot bool
	// File, Offset and Bytes locate the truncated tail.
	File   string
	Offset int64
	Bytes  int64
}

// Stats holds counters of the work done since Open and the current number of
// segments.
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
