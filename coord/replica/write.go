package replica

import "cranberrydrum.dev/coord/raft"

// MaxWritesInProgress is the largest number of writes in the background that a replica
// starts before one is complete: one of its log and one of a snapshot that it took.
const MaxWritesInProgress = 2

// Write is a write to the storage of a replica.
type Write struct {
	storage Storage
	// ready is the work of the node that the write stores. taken is a snapshot that
	// the replica took itself; ready is empty then.
	ready raft.Ready
	taken *raft.Snapshot
}

// Run performs the write. It blocks until the write is durable and may run on any
// goroutine, but writes must run one at a time, in the order in which they started.
func (w *Write) Run() error {
	for _, s := range []*raft.Snapshot{w.taken, w.ready.Snapshot} {
		if s == nil {
			continue
		}
		if err := w.storage.SaveSnapshot(s.Meta, s.Data); err != nil {
			return err
		}
	}
	if w.ready.HardState == nil {
		return nil
	}
	return w.storage.Save(*w.ready.HardState, w.ready.Entries)
}

// operation names the write in an error. A snapshot is the part of a write that is
// most likely to fail.
func (w *Write) operation() Operation {
	if w.taken != nil || w.ready.Snapshot != nil {
		return OperationSaveSnapshot
	}
	return OperationSave
}

// WriteInBackground makes the replica pass its writes to start instead of waiting for
// them. For each write, in order, the caller must call Run on another goroutine and then
// CompleteWrite. At most MaxWritesInProgress are in progress. The storage must not be
// closed meanwhile.
func (r *Replica) WriteInBackground(start func(*Write)) { r.startWrite = start }

// CommitSkipper is implemented by a Storage that may ignore saves without entries that
// change only HardState.Commit.
type CommitSkipper interface{ SkipsCommitOnlySaves() bool }
