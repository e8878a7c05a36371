package replica

import "cranberrydrum.dev/coord/raft"

// process carries out what the node asks for until it asks for nothing more.
func (r *Replica) process() (Output, error) {
	var out Output
	for {
		rd, todo := r.node.Ready()
		if !todo {
			return out, nil
		}
		if err := r.handle(rd, &out); err != nil {
			// Messages of earlier rounds are safe to send, but a failed
			// replica stays silent, so that others replace it soon.
			return Output{}, err
		}
		r.node.Advance(rd)
		if err := r.snapshotIfDue(); err != nil {
			return Output{}, err
		}
	}
}

func (r *Replica) handle(rd raft.Ready, out *Output) error {
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
	r.entriesSince++
	r.bytesSince += e.Size()
	if e.Kind == raft.EntryNoop {
		return
	}
	applied := Applied{Index: e.Index, Term: e.Term, Kind: e.Kind}
	if e.Kind == raft.EntryCommand {
		applied.Result = r.machine.Apply(e.Index, e.Term, e.Data)
	}
	out.Applied = append(out.Applied, applied)
}

// snapshotIfDue takes a snapshot when enough was applied since the last one,
// and compacts the log.
func (r *Replica) snapshotIfDue() error {
	if r.entriesSince < r.cfg.SnapshotEntries && r.bytesSince < r.cfg.SnapshotBytes {
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
