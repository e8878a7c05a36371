package raft

import "slices"

// memLog is the part of the log that is held in memory. Slices of entries
// that were handed out are never overwritten.
type memLog struct {
	// offset and offsetTerm identify the entry before entries[0].
	offset, offsetTerm uint64
	entries            []Entry
	// stable is the last index that is known to be durable.
	stable uint64
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
	own, ok := l.term(index)
	return ok && own == term
}

// isUpToDate reports whether a log that ends with the given entry may replace
// this one.
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

// batch returns entries after prev of at most maxBytes, but at least one.
func (l *memLog) batch(prev uint64, maxBytes int) []Entry {
	all := l.between(prev, l.lastIndex())
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
	l.stable = min(l.stable, index-1)
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

// reset drops all entries and continues after a snapshot.
func (l *memLog) reset(meta SnapshotMeta) {
	l.entries = nil
	l.offset, l.offsetTerm = meta.Index, meta.Term
	l.stable = meta.Index
}

// lastIndexWithTermAtMost returns the highest index up to the given one whose term is at
// most term, or the first index whose term is not known any more.
func (l *memLog) lastIndexWithTermAtMost(index, term uint64) uint64 {
	for index > 0 {
		own, ok := l.term(index)
		if !ok || own <= term {
			return index
		}
		index--
	}
	return 0
}
