package raft

// validateMessage returns an error for a message that violates the protocol, so
// that the handlers can rely on valid fields.
func (n *Node) validateMessage(m Message) error {
	if m.Group != n.cfg.Group || m.To != n.cfg.ID {
		return &WrongGroupError{Group: m.Group, To: m.To}
	}
	if reason := n.malformedReason(m); reason != "" {
		return &MalformedMessageError{Kind: m.Kind, From: m.From, Reason: reason}
	}
	if n.isRemoved(m.From) {
		return &RemovedMemberError{ID: m.From}
	}
	return nil
}

// isRemoved reports whether a host is a removed member and no membership change
// is in progress. Messages of a leader that removed itself are accepted until it
// has stepped down.
func (n *Node) isRemoved(id string) bool {
	committed := n.changeIndex() <= n.commit
	return committed && id != n.leader && n.membership().IsRemoved(id)
}

// malformedReason returns the reason why a message is malformed, or an empty
// string.
func (n *Node) malformedReason(m Message) string {
	switch {
	case m.Kind == 0 || m.Kind >= kindEnd:
		return "unknown kind"
	case m.From == "" || m.From == n.cfg.ID || len(m.From) > maxIDBytes:
		return "invalid sender"
	case m.Term == 0:
		return "missing term"
	case m.LogTerm > m.Term:
		return "log term is newer than the term"
	case len(m.Entries) > 0 && m.Kind != KindAppend:
		return "unexpected entries"
	case (m.Chunk != nil) != (m.Kind == KindSnapshot):
		return "missing or unexpected snapshot chunk"
	case m.Kind == KindAppend:
		return malformedEntriesReason(m)
	case m.Kind == KindSnapshot:
		return malformedChunkReason(m)
	}
	return ""
}

func malformedEntriesReason(m Message) string {
	if m.Index == 0 && m.LogTerm != 0 {
		return "log term without an index"
	}
	prev := Entry{Index: m.Index, Term: m.LogTerm}
	for _, e := range m.Entries {
		switch {
		case e.Index != prev.Index+1 || e.Index == 0:
			return "gap between entries"
		case e.Term < prev.Term || e.Term == 0 || e.Term > m.Term:
			return "entry term is zero, decreases or exceeds the message's term"
		case !validEntry(e):
			return "unknown entry kind or undecodable membership change"
		}
		prev = e
	}
	return ""
}

func validEntry(e Entry) bool {
	if e.Kind == 0 || e.Kind >= entryKindEnd {
		return false
	}
	if e.Kind != EntryChange {
		return true
	}
	_, ok := DecodeChange(e.Data)
	return ok
}

func malformedChunkReason(m Message) string {
	c := m.Chunk
	size := uint64(len(c.Data))
	switch {
	case c.Meta.Index == 0 || c.Meta.Term == 0 || c.Meta.Term > m.Term:
		return "invalid index or term of the snapshot"
	case c.Meta.Membership.Empty() || !c.Meta.Membership.valid():
		return "invalid snapshot membership"
	case c.Offset > c.Total || size > c.Total-c.Offset:
		return "snapshot chunk exceeds the snapshot"
	case size == 0 && c.Total > 0:
		return "empty snapshot chunk"
	}
	return ""
}
