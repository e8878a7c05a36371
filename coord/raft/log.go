package raft

import "slices"

// memLog is the part of the log that is held in memory. Slices that its methods
// have returned are never overwritten.
type memLog struct {
	// offset and offsetTerm identify the entry before entries[0].
	offset, offsetTerm uint64
	entries            []Entry
	// handed is the index of the last entry that was given to the caller to be
	// stored, and stable that of the last entry known to be durable.
	handed, stable uint64
}

func (l *memLog) lastIndex() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *memLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index if it is known.
func (l *memLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index < l.offset || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

// matches reports whether the log holds the entry with this index and term.
func (l *memLog) matches(index, term uint64) bool {
	entryTerm, ok := l.term(index)
	return ok && entryTerm == term
}

// isUpToDate reports whether a candidate's log that ends with the given entry
// is at least as up-to-date as this one: it ends in a later term, or in the same
// term and is at least as long.
func (l *memLog) isUpToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

// between returns the entries after low up to and including high.
func (l *memLog) between(low, high uint64) []Entry {
	if low < l.offset || high <= low {
		return nil
	}
	from, to := low-l.offset, high-l.offset
	return l.entries[from:to:to]
}

// batch returns entries after prev, up to and including high, with a total size of
// at most maxBytes. It returns the first entry even if that entry alone exceeds
// maxBytes.
func (l *memLog) batch(prev, high uint64, maxBytes int) []Entry {
	all := l.between(prev, high)
	size := 0
	for i := range all {
		size += all[i].Size()
		if size > maxBytes && i > 0 {
			return all[:i:i]
		}
	}
	return all
}

func (l *memLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate drops the entries from index on.
func (l *memLog) truncate(index uint64) {
	keep := index - l.offset - 1
	l.entries = l.entries[:keep:keep]
	l.handed = min(l.handed, index-1)
	l.stable = min(l.stable, index-1)
}

// stableTo records that the entries up to an index are durable, unless the entry at
// that index was replaced while it was stored.
func (l *memLog) stableTo(index, term uint64) {
	if l.matches(index, term) {
		l.stable = max(l.stable, index)
	}
}

// compact drops the entries up to and including index.
func (l *memLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.offset {
		return
	}
	l.entries = slices.Clone(l.between(index, l.lastIndex()))
	l.offset, l.offsetTerm = index, term
}

// reset drops all entries; the log then starts after a snapshot that is not durable
// yet.
func (l *memLog) reset(meta SnapshotMeta) {
	l.entries = nil
	l.offset, l.offsetTerm = meta.Index, meta.Term
	l.handed, l.stable = meta.Index, 0
}

// lastIndexWithTermAtMost searches backwards from index and returns the first
// index whose entry has a term of at most term, or whose term is not known any
// more because the entry was compacted.
func (l *memLog) lastIndexWithTermAtMost(index, term uint64) uint64 {
	for index > 0 {
		entryTerm, ok := l.term(index)
		if !ok || entryTerm <= term {
			return index
		}
		index--
	}
	return 0
}
