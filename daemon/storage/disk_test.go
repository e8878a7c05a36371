package storage_test

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/coord/replica"
	"cranberrydrum.dev/coord/testflags"
	"cranberrydrum.dev/coord/wal"
	"cranberrydrum.dev/daemon/storage"
)

// TestMain sets the seed and the number of rapid checks, unless the command
// line sets them.
func TestMain(m *testing.M) {
	testflags.SetDefaults(map[string]string{"rapid.seed": "4711", "rapid.checks": "25"})
	os.Exit(m.Run())
}

// machine drives a Disk and a MemoryStorage with the same random calls. The
// MemoryStorage is the reference implementation of replica.Storage.
type machine struct {
	dir    string
	opts   storage.Options
	disk   *storage.Disk
	memory *replica.MemoryStorage

	hardState    raft.HardState
	snapshotMeta raft.SnapshotMeta
	lastIndex    uint64
	terms        map[uint64]uint64
	// commit is the commit index that the disk must return.
	commit uint64
}

func (m *machine) open(t *rapid.T) {
	disk, err := storage.Open(m.dir, m.opts)
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	m.disk = disk
}

// save appends entries, which may overwrite stored ones, with a hard state that
// advances as raft advances it.
func (m *machine) save(t *rapid.T) {
	next := m.hardState
	if rapid.Bool().Draw(t, "newTerm") {
		next.Term += rapid.Uint64Range(1, 3).Draw(t, "terms")
		next.Vote = ""
	}
	if next.Vote == "" && rapid.Bool().Draw(t, "votes") {
		next.Vote = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "vote")
	}
	next.Commit += rapid.Uint64Range(0, 2).Draw(t, "committed")
	var entries []raft.Entry
	count := rapid.IntRange(0, 4).Draw(t, "count")
	first := rapid.Uint64Range(m.snapshotMeta.Index+1, m.lastIndex+1).Draw(t, "first")
	for i := range uint64(count) {
		entries = append(entries, raft.Entry{Index: first + i, Term: next.Term + 1, Kind: raft.EntryCommand,
			Data: rapid.SliceOfN(rapid.Byte(), 1, 20).Draw(t, "data")})
	}
	if err := m.disk.Save(next, entries); err != nil {
		t.Fatalf("disk: %v", err)
	}
	if err := m.memory.Save(next, entries); err != nil {
		t.Fatalf("memory: %v", err)
	}
	if !m.opts.SkipCommitOnlySaves || count > 0 || next.Term != m.hardState.Term || next.Vote != m.hardState.Vote {
		m.commit = next.Commit
	}
	m.hardState = next
	for _, e := range entries {
		m.terms[e.Index] = e.Term
		m.lastIndex = e.Index
	}
}

// snapshot saves a snapshot whose last entry is in the log, is missing, or has
// another term.
func (m *machine) snapshot(t *rapid.T) {
	meta := raft.SnapshotMeta{
		Index:      rapid.Uint64Range(m.snapshotMeta.Index+1, m.lastIndex+5).Draw(t, "index"),
		Membership: raft.Membership{Voters: []string{"a", "b"}, Learners: rapid.SampledFrom([][]string{nil, {"c"}}).Draw(t, "learners")},
	}
	term, present := m.terms[meta.Index]
	present = present && meta.Index <= m.lastIndex
	meta.Term = term
	if !present || rapid.Bool().Draw(t, "otherTerm") {
		present = false
		meta.Term = term + 1
	}
	data := rapid.SliceOfN(rapid.Byte(), 1, 200).Draw(t, "state")
	if err := m.disk.SaveSnapshot(meta, data); err != nil {
		t.Fatalf("disk: %v", err)
	}
	if err := m.memory.SaveSnapshot(meta, data); err != nil {
		t.Fatalf("memory: %v", err)
	}
	m.snapshotMeta = meta
	if !present {
		m.lastIndex = meta.Index
	}
}

func (m *machine) restart(t *rapid.T) {
	if err := m.disk.Close(); err != nil {
		t.Fatalf("close: %v", err)
	}
	m.open(t)
	if recovery := m.disk.Recovery(); recovery.TornTail {
		t.Fatalf("log has a torn tail after a clean close: %+v", recovery)
	}
}

// check compares the results of Load of both storages.
func (m *machine) check(t *rapid.T) {
	got, gotData, err := m.disk.Load()
	if err != nil {
		t.Fatalf("load: %v", err)
	}
	want, wantData, _ := m.memory.Load()
	want.HardState.Commit = m.commit
	if len(got.Entries) == 0 && len(want.Entries) == 0 {
		got.Entries, want.Entries = nil, nil
	}
	if !reflect.DeepEqual(normalize(got), normalize(want)) || string(gotData) != string(wantData) {
		t.Fatalf("Load returned\n%+v %x\nwant\n%+v %x", got, gotData, want, wantData)
	}
}

// normalize removes the difference between nil and empty lists of learners.
func normalize(r raft.RestoredState) raft.RestoredState {
	if len(r.Snapshot.Membership.Learners) == 0 {
		r.Snapshot.Membership.Learners = nil
	}
	return r
}

// Guards against a Disk whose state after any sequence of saves, snapshots and
// restarts differs from that of a MemoryStorage.
func TestDiskMatchesMemoryStorage(t *testing.T) {
	for name, skipCommitOnly := range map[string]bool{"every commit": false, "skip commit-only saves": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			base := t.TempDir()
			rapid.Check(t, func(t *rapid.T) {
				dir, err := os.MkdirTemp(base, "")
				if err != nil {
					t.Fatal(err)
				}
				m := &machine{dir: filepath.Join(dir, "log"), opts: storage.Options{StoreID: "store", SkipCommitOnlySaves: skipCommitOnly},
					memory: replica.NewMemoryStorage(), terms: map[uint64]uint64{}}
				m.open(t)
				defer func() { _ = m.disk.Close() }()
				t.Repeat(map[string]func(*rapid.T){"save": m.save, "snapshot": m.snapshot, "restart": m.restart, "": m.check})
			})
		})
	}
}

// Guards against saves with SkipCommitOnlySaves that sync a change of the
// commit index alone. Without the option each such change in a busy group costs
// a sync.
func TestSkipCommitOnlySavesSyncsLess(t *testing.T) {
	for _, skipCommitOnly := range []bool{false, true} {
		disk, err := storage.Open(t.TempDir(), storage.Options{StoreID: "store", SkipCommitOnlySaves: skipCommitOnly})
		if err != nil {
			t.Fatal(err)
		}
		syncsBefore := disk.Stats().FileSyncs
		for commit := range uint64(10) {
			if err := disk.Save(raft.HardState{Term: 1, Commit: commit}, nil); err != nil {
				t.Fatal(err)
			}
		}
		syncs := disk.Stats().FileSyncs - syncsBefore
		if skipCommitOnly && syncs != 1 || !skipCommitOnly && syncs != 10 {
			t.Errorf("SkipCommitOnlySaves %v: %d file syncs", skipCommitOnly, syncs)
		}
		if err := disk.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against opening a directory with the identity of another one, which can
// happen after a data directory was copied or confused with another, and against
// opening a directory twice.
func TestDiskOfAnotherStore(t *testing.T) {
	dir := t.TempDir()
	disk, err := storage.Open(dir, storage.Options{StoreID: "one"})
	if err != nil {
		t.Fatal(err)
	}
	var locked *wal.LockedError
	if _, err := storage.Open(dir, storage.Options{StoreID: "one"}); !errors.As(err, &locked) {
		t.Errorf("second Open of an open directory: error %v, want LockedError", err)
	}
	if err := disk.Close(); err != nil {
		t.Fatal(err)
	}
	var other *wal.IdentityError
	if _, err := storage.Open(dir, storage.Options{StoreID: "two"}); !errors.As(err, &other) {
		t.Errorf("Open with another identity: error %v, want IdentityError", err)
	}
	disk, err = storage.Open(dir, storage.Options{StoreID: "one"})
	if err != nil {
		t.Fatal(err)
	}
	_ = disk.Close()
}
