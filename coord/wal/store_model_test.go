package wal_test

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cranberrydrum.dev/coord/wal"
)

const dir = "/data/log"

// storeState is the content that a store must return after recovery.
type storeState struct {
	hardState wal.HardState
	meta      wal.SnapshotMeta
	data      []byte
	entries   []wal.Entry
}

func (s storeState) lastIndex() uint64 { return s.meta.Index + uint64(len(s.entries)) }

// save returns the state after Store.Save.
func (s storeState) save(hs wal.HardState, entries []wal.Entry) storeState {
	s.hardState = hs
	if len(entries) > 0 {
		keep := entries[0].Index - s.meta.Index - 1
		s.entries = append(append([]wal.Entry(nil), s.entries[:keep]...), entries...)
	}
	return s
}

// snapshot returns the state after Store.SaveSnapshot.
func (s storeState) snapshot(meta wal.SnapshotMeta, data []byte) storeState {
	matches := meta.Index <= s.lastIndex() && s.entries[meta.Index-s.meta.Index-1].Term == meta.Term
	if matches {
		s.entries = s.entries[meta.Index-s.meta.Index:]
	} else {
		s.entries = nil
	}
	s.meta, s.data = meta, data
	return s
}

func (s storeState) String() string {
	return fmt.Sprintf("%v %v %x %v", s.hardState, s.meta, s.data, s.entries)
}

func load(t interface{ Fatalf(string, ...any) }, s *wal.Store) storeState {
	hs, meta, data, entries, err := s.Load()
	if err != nil {
		t.Fatalf("load: %v", err)
	}
	if len(meta.Membership) == 0 {
		meta.Membership = nil
	}
	return storeState{hardState: hs, meta: meta, data: data, entries: entries}
}

// storeModel compares a store with the states that it may be in. There is more
// than one possible state only after a failed operation.
type storeModel struct {
	fs       *wal.MemFS
	store    *wal.Store
	possible []storeState
}

func (m *storeModel) open() (*wal.Store, error) {
	opts := wal.Options{StoreID: "store-1", SegmentBytes: 150, FS: m.fs}
	return wal.Open(dir, opts)
}

// reopen opens the store and checks that the recovered state is a possible one:
// no acknowledged data is lost and no other data appears. A first attempt to
// open the store may fail and end in a power loss.
func (m *storeModel) reopen(t *rapid.T) {
	if rapid.Bool().Draw(t, "crash while opening") {
		m.failAfter(rapid.IntRange(0, 12).Draw(t, "operations of open"))
		_, err := m.open()
		m.fs.SetFault(nil)
		if damage, ok := err.(*wal.DamageError); ok {
			t.Fatalf("damage reported while opening: %v", damage)
		}
		m.fs.Crash(rapid.Uint64().Draw(t, "seed"))
	}
	store, err := m.open()
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	m.store = store
	got := load(t, store)
	for _, want := range m.possible {
		if got.String() == want.String() {
			m.possible = []storeState{got}
			return
		}
	}
	t.Fatalf("recovered %v\nwant one of %v", got, m.possible)
}

type injectedError struct{}

func (injectedError) Error() string { return "injected" }

// failAfter makes every operation after n successful ones fail.
func (m *storeModel) failAfter(n int) {
	m.fs.SetFault(func(wal.Op, string) error {
		if n--; n < 0 {
			return injectedError{}
		}
		return nil
	})
}

// runWithFault runs an operation that an injected fault may interrupt. next is
// the state after the operation.
func (m *storeModel) runWithFault(t *rapid.T, next storeState, run func() error) {
	if !rapid.Bool().Draw(t, "fault") {
		if err := run(); err != nil {
			t.Fatalf("operation failed: %v", err)
		}
		m.possible = []storeState{next}
		return
	}
	m.failAfter(rapid.IntRange(0, 8).Draw(t, "operations"))
	err := run()
	m.fs.SetFault(nil)
	if err == nil {
		m.possible = []storeState{next}
		return
	}
	m.possible = append(m.possible, next)
	if _, ok := m.store.Save(next.hardState, nil).(*wal.FailedError); !ok {
		t.Fatalf("store usable after %v", err)
	}
	m.crash(t)
}

// crash ends the process, with or without power loss, and opens the store
// again.
func (m *storeModel) crash(t *rapid.T) {
	if rapid.Bool().Draw(t, "power loss") {
		m.fs.Crash(rapid.Uint64().Draw(t, "seed"))
	} else {
		m.fs.Kill()
	}
	m.reopen(t)
}

func (m *storeModel) save(t *rapid.T) {
	current := m.possible[0]
	hs := current.hardState
	if rapid.Bool().Draw(t, "new term") {
		hs.Term++
		hs.Vote = rapid.SampledFrom([]string{"", "a", "bb"}).Draw(t, "vote")
	}
	count := rapid.IntRange(0, 4).Draw(t, "count")
	first := rapid.Uint64Range(max(current.meta.Index+1, current.lastIndex()-min(current.lastIndex(), 3)), current.lastIndex()+1).Draw(t, "first")
	var entries []wal.Entry
	for i := range count {
		data := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "data")
		entries = append(entries, wal.Entry{Index: first + uint64(i), Term: hs.Term, Kind: byte(i), Data: bytes.Clone(data)})
	}
	next := current.save(hs, entries)
	next.hardState.Commit = rapid.Uint64Range(hs.Commit, max(hs.Commit, next.lastIndex())).Draw(t, "commit")
	m.runWithFault(t, next, func() error { return m.store.Save(next.hardState, entries) })
}

func (m *storeModel) saveSnapshot(t *rapid.T) {
	current := m.possible[0]
	meta := wal.SnapshotMeta{
		Index:      rapid.Uint64Range(current.meta.Index+1, current.lastIndex()+3).Draw(t, "index"),
		Membership: []byte("members"),
	}
	if meta.Index <= current.lastIndex() {
		meta.Term = current.entries[meta.Index-current.meta.Index-1].Term
	}
	if rapid.IntRange(0, 3).Draw(t, "other term") == 0 {
		meta.Term += 7
	}
	keepFrom := rapid.Uint64Range(0, meta.Index+1).Draw(t, "keep from")
	data := []byte(fmt.Sprintf("snapshot %d", meta.Index))
	next := current.snapshot(meta, data)
	m.runWithFault(t, next, func() error { return m.store.SaveSnapshot(meta, data, keepFrom) })
}

// Guards against lost acknowledged entries, truncated entries that appear again
// and false reports of damage, after a crash at any file operation.
func TestRecoveryMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &storeModel{fs: wal.NewMemFS(), possible: []storeState{{}}}
		m.reopen(t)
		t.Repeat(map[string]func(*rapid.T){
			"save":     m.save,
			"snapshot": m.saveSnapshot,
			"crash":    m.crash,
			"reload": func(t *rapid.T) {
				if got := load(t, m.store); got.String() != m.possible[0].String() {
					t.Fatalf("loaded %v, want %v", got, m.possible[0])
				}
			},
		})
	})
}
