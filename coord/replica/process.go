package replica

import "cranberrydrum.dev/coord/raft"

// process executes the node's pending work until there is none left.
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
		r.node.Advance(rd)
		if err := r.snapshotIfDue(); err != nil {
			return Output{}, err
		}
	}
}

// executeReady stores the state of rd, applies its committed entries and adds
// its messages and results to out.
func (r *Replica) executeReady(rd raft.Ready, out *Output) error {
	if err := r.persist(rd); err != nil {
		return err
	}
	if rd.Snapshot != nil {
		if err := r.machine.Restore(rd.Snapshot.Data); err != nil {
			return r.fail(OperationRestore, err)
		}
		r.setApplied(rd.Snapshot.Meta)
		out.Restored = rd.Snapshot.Meta.Index
	}
	out.Messages = append(out.Messages, rd.Messages...)
	for _, e := range rd.Committed {
		r.apply(e, out)
	}
	return nil
}

func (r *Replica) persist(rd raft.Ready) error {
	if rd.Snapshot != nil {
		if err := r.storage.SaveSnapshot(rd.Snapshot.Meta, rd.Snapshot.Data); err != nil {
			return r.fail(OperationSaveSnapshot, err)
		}
	}
	if rd.HardState == nil {
		return nil
	}
	if err := r.storage.Save(*rd.HardState, rd.Entries); err != nil {
		return r.fail(OperationSave, err)
	}
	return nil
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

// snapshotIfDue takes a snapshot and compacts the log once enough entries or
// bytes were applied since the last snapshot.
func (r *Replica) snapshotIfDue() error {
	if r.entriesSinceSnapshot < r.cfg.SnapshotEntries && r.bytesSinceSnapshot < r.cfg.SnapshotBytes {
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
	if err := r.storage.SaveSnapshot(meta, data); err != nil {
		return r.fail(OperationSaveSnapshot, err)
	}
	r.setApplied(meta)
	r.node.Compact(meta, data, r.cfg.KeepEntries)
	return nil
}
