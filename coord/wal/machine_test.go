package wal_test

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cranberrydrum.dev/coord/wal"
)

const dir = "/data/log"

// state is what a store must return after recovery.
type state struct {
	hard    wal.HardState
	meta    wal.SnapshotMeta
	data    []byte
	entries []wal.Entry
}

func (s state) last() uint64 { return s.meta.Index + uint64(len(s.entries)) }

func (s state) save(hs wal.HardState, entries []wal.Entry) state {
	s.hard = hs
	if len(entries) > 0 {
		keep := entries[0].Index - s.meta.Index - 1
		s.entries = append(append([]wal.Entry(nil), s.entries[:keep]...), entries...)
	}
	return s
}

func (s state) snapshot(meta wal.SnapshotMeta, data []byte) state {
	matches := meta.Index <= s.last() && s.entries[meta.Index-s.meta.Index-1].Term == meta.Term
	if matches {
		s.entries = s.entries[meta.Index-s.meta.Index:]
	} else {
		s.entries = nil
	}
	s.meta, s.data = meta, data
	return s
}

func (s state) String() string {
	return fmt.Sprintf("%v %v %x %v", s.hard, s.meta, s.data, s.entries)
}

func load(t interface{ Fatalf(string, ...any) }, s *wal.Store) state {
	hs, meta, data, entries, err := s.Load()
	if err != nil {
		t.Fatalf("load: %v", err)
	}
	if len(meta.Membership) == 0 {
		meta.Membership = nil
	}
	return state{hard: hs, meta: meta, data: data, entries: entries}
}

// machine compares a store with the states that it may be in. There is more
// than one only after an operation that failed.
type machine struct {
	fs       *wal.MemFS
	store    *wal.Store
	possible []state
}

func (m *machine) open() (*wal.Store, error) {
	opts := wal.Options{StoreID: "store-1", SegmentBytes: 150, FS: m.fs}
	return wal.Open(dir, opts)
}

// reopen recovers and checks that nothing acknowledged is lost and nothing
// else appears. The first attempt may be cut short as well.
func (m *machine) reopen(t *rapid.T) {
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
			m.possible = []state{got}
			return
		}
	}
	t.Fatalf("recovered %v\nwant one of %v", got, m.possible)
}

type injected struct{}

func (injected) Error() string { return "injected" }

// failAfter makes every operation after n successful ones fail.
func (m *machine) failAfter(n int) {
	m.fs.SetFault(func(wal.Op, string) error {
		if n--; n < 0 {
			return injected{}
		}
		return nil
	})
}

// change runs an operation that may be cut short by a fault.
func (m *machine) change(t *rapid.T, next state, run func() error) {
	if !rapid.Bool().Draw(t, "fault") {
		if err := run(); err != nil {
			t.Fatalf("operation failed: %v", err)
		}
		m.possible = []state{next}
		return
	}
	m.failAfter(rapid.IntRange(0, 8).Draw(t, "operations"))
	err := run()
	m.fs.SetFault(nil)
	if err == nil {
		m.possible = []state{next}
		return
	}
	m.possible = append(m.possible, next)
	if _, ok := m.store.Save(next.hard, nil).(*wal.FailedError); !ok {
		t.Fatalf("store usable after %v", err)
	}
	m.crash(t)
}

// crash ends the process, with or without power loss, and recovers.
func (m *machine) crash(t *rapid.T) {
	if rapid.Bool().Draw(t, "power loss") {
		m.fs.Crash(rapid.Uint64().Draw(t, "seed"))
	} else {
		m.fs.Kill()
	}
	m.reopen(t)
}

func (m *machine) save(t *rapid.T) {
	now := m.possible[0]
	hs := now.hard
	if rapid.Bool().Draw(t, "new term") {
		hs.Term++
		hs.Vote = rapid.SampledFrom([]string{"", "a", "bb"}).Draw(t, "vote")
	}
	count := rapid.IntRange(0, 4).Draw(t, "count")
	first := rapid.Uint64Range(max(now.meta.Index+1, now.last()-min(now.last(), 3)), now.last()+1).Draw(t, "first")
	var entries []wal.Entry
	for i := range count {
		data := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "data")
		entries = append(entries, wal.Entry{Index: first + uint64(i), Term: hs.Term, Kind: byte(i), Data: bytes.Clone(data)})
	}
	next := now.save(hs, entries)
	next.hard.Commit = rapid.Uint64Range(hs.Commit, max(hs.Commit, next.last())).Draw(t, "commit")
	m.change(t, next, func() error { return m.store.Save(next.hard, entries) })
}

func (m *machine) saveSnapshot(t *rapid.T) {
	now := m.possible[0]
	meta := wal.SnapshotMeta{
		Index:      rapid.Uint64Range(now.meta.Index+1, now.last()+3).Draw(t, "index"),
		Membership: []byte("members"),
	}
	if meta.Index <= now.last() {
		meta.Term = now.entries[meta.Index-now.meta.Index-1].Term
	}
	if rapid.IntRange(0, 3).Draw(t, "other term") == 0 {
		meta.Term += 7
	}
	keepFrom := rapid.Uint64Range(0, meta.Index+1).Draw(t, "keep from")
	data := []byte(fmt.Sprintf("snapshot %d", meta.Index))
	next := now.snapshot(meta, data)
	m.change(t, next, func() error { return m.store.SaveSnapshot(meta, data, keepFrom) })
}

// Guards against lost acknowledged entries, resurrected truncated entries and
// false damage reports after crashes at any file operation.
func TestRecoveryMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{fs: wal.NewMemFS(), possible: []state{{}}}
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
