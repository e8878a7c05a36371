package wal

// Store is an open log folder.
type Store struct {
	// Recovery reports what Open changed on disk.
	Recovery Recovery
}

// Open opens the store in dir and recovers its content. It creates the store
// if the folder holds none.
func Open(dir string, opts Options) (*Store, error) { return &Store{}, nil }

// StoreID returns the identity of the store.
func (s *Store) StoreID() string { return "" }

// Stats returns counters of the work done since Open.
func (s *Store) Stats() Stats { return Stats{} }

// Load returns the hard state, the newest snapshot with its data and the
// entries above the snapshot index.
func (s *Store) Load() (HardState, SnapshotMeta, []byte, []Entry, error) {
	return HardState{}, SnapshotMeta{}, nil, nil, nil
}

// Save appends the hard state and the entries and syncs them.
func (s *Store) Save(hs HardState, entries []Entry) error { return nil }

// SaveSnapshot stores a snapshot durably and then drops the log segments that
// hold only entries below keepFrom.
func (s *Store) SaveSnapshot(meta SnapshotMeta, data []byte, keepFrom uint64) error { return nil }

// Close releases the folder.
func (s *Store) Close() error { return nil }
