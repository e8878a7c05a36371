package replica

import (
	"time"

	"cranberrydrum.dev/coord/raft"
)

// process executes the node's pending work until there is none left or the rest waits
// for a write in progress.
func (r *Replica) process() (Output, error) {
	var out Output
	for {
		rd, hasWork := r.node.Ready()
		if !hasWork {
			return out, nil
		}
		if err := r.executeReady(rd, &out); err != nil {
			// Messages of earlier rounds would be safe to send, but a failed
			// replica sends nothing, so that the other members soon replace it
			// as leader.
			return Output{}, err
		}
		if err := r.snapshotIfDue(); err != nil {
			return Output{}, err
		}
	}
}

// executeReady performs or starts the write of rd, applies its committed entries and adds
// its messages and results to out.
func (r *Replica) executeReady(rd raft.Ready, out *Output) error {
	w := &Write{storage: r.storage, ready: rd}
	background := r.startWrite != nil && !r.skipsSave(rd)
	if !background {
		if err := r.finishWrite(w, w.Run(), out); err != nil {
			return err
		}
	}
	out.Messages = append(out.Messages, rd.Messages...)
	for _, e := range rd.Committed {
		r.apply(e, out)
	}
	if !background {
		r.node.Advance(rd)
		return nil
	}
	r.node.Accept(rd)
	r.startWrite(w)
	return nil
}

// skipsSave reports whether the storage has nothing to do for rd, so that it needs no
// write in the background.
func (r *Replica) skipsSave(rd raft.Ready) bool {
	if !rd.HasWrite() {
		return true
	}
	return r.skipsCommitOnlySaves() && rd.Snapshot == nil && !rd.MustSync
}

func (r *Replica) skipsCommitOnlySaves() bool {
	s, ok := r.storage.(CommitSkipper)
	return ok && s.SkipsCommitOnlySaves()
}

func (r *Replica) apply(e raft.Entry, out *Output) {
	r.applied, r.appliedTerm = e.Index, e.Term
	r.entriesSinceSnapshot++
	r.bytesSinceSnapshot += e.Size()
	if e.Kind == raft.EntryNoop {
		return
	}
	applied := Applied{Index: e.Index, Term: e.Term, Kind: e.Kind}
	if e.Kind == raft.EntryCommand {
		applied.Result = r.machine.Apply(e.Index, e.Term, e.Data)
	}
	out.Applied = append(out.Applied, applied)
}

// snapshotIfDue takes a snapshot once enough entries or bytes were applied since the
// last one. The storage must have, or be about to get, the entries up to it. There is
// none to take while a newer snapshot, which the leader sent, waits to be stored.
func (r *Replica) snapshotIfDue() error {
	if r.entriesSinceSnapshot < r.cfg.SnapshotEntries && r.bytesSinceSnapshot < r.cfg.SnapshotBytes {
		return nil
	}
	if r.isStoringSnapshot || r.node.HandedIndex() < r.applied || r.node.SnapshotIndex() > r.applied {
		return nil
	}
	data, err := r.machine.Snapshot()
	if err != nil {
		return r.fail(OperationSnapshot, err)
	}
	meta := raft.SnapshotMeta{
		Index: r.applied, Term: r.appliedTerm,
		Membership: r.node.MembershipAt(r.applied),
	}
	r.setApplied(meta)
	r.isStoringSnapshot = true
	w := &Write{storage: r.storage, taken: &raft.Snapshot{Meta: meta, Data: data}}
	if r.startWrite == nil {
		return r.finishSnapshot(w, w.Run())
	}
	r.startWrite(w)
	return nil
}

// CompleteWrite continues after a write in the background, with the error that Run
// returned.
func (r *Replica) CompleteWrite(now time.Duration, w *Write, writeErr error) (Output, error) {
	if r.fatalErr != nil {
		return Output{}, r.fatalErr
	}
	if w.taken != nil {
		if err := r.finishSnapshot(w, writeErr); err != nil {
			return Output{}, err
		}
		return r.process()
	}
	var done Output
	if err := r.finishWrite(w, writeErr, &done); err != nil {
		return Output{}, err
	}
	r.node.WriteDone(now, w.ready)
	out, err := r.process()
	out.Restored = max(out.Restored, done.Restored)
	return out, err
}

// finishWrite replaces the state of the state machine after a snapshot was received and
// stored, or stops the replica after a failed write.
func (r *Replica) finishWrite(w *Write, writeErr error, out *Output) error {
	if writeErr != nil {
		return r.fail(w.operation(), writeErr)
	}
	s := w.ready.Snapshot
	if s == nil {
		return nil
	}
	if err := r.machine.Restore(s.Data); err != nil {
		return r.fail(OperationRestore, err)
	}
	r.setApplied(s.Meta)
	out.Restored = s.Meta.Index
	return nil
}

// finishSnapshot drops the entries that a stored snapshot of this replica replaces.
func (r *Replica) finishSnapshot(w *Write, writeErr error) error {
	if writeErr != nil {
		return r.fail(w.operation(), writeErr)
	}
	r.isStoringSnapshot = false
	r.node.Compact(w.taken.Meta, w.taken.Data, r.cfg.KeepEntries)
	return nil
}
