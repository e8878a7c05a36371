package wal_test

import (
	"errors"
	"fmt"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/coord/wal"
)

// newFilledStore creates and closes a store with four segments and a snapshot.
// It returns the successive states of the store, oldest first.
func newFilledStore(fs *wal.MemFS) []storeState {
	store, err := wal.Open(dir, wal.Options{StoreID: "store-1", SegmentBytes: 120, FS: fs})
	Expect(err).NotTo(HaveOccurred())
	history := []storeState{{}}
	step := func(next storeState, err error) {
		Expect(err).NotTo(HaveOccurred())
		history = append(history, next)
	}
	for i := uint64(1); i <= 9; i++ {
		current := history[len(history)-1]
		hs := wal.HardState{Term: 1 + i/4, Vote: "a", Commit: i - 1}
		entries := []wal.Entry{{Index: i, Term: hs.Term, Data: []byte(fmt.Sprintf("entry %d", i))}}
		step(current.save(hs, entries), store.Save(hs, entries))
		if i == 5 {
			meta := wal.SnapshotMeta{Index: 3, Term: 1, Membership: []byte("abc")}
			data := []byte("snapshot data")
			next := history[len(history)-1].snapshot(meta, data)
			step(next, store.SaveSnapshot(meta, data, 4))
		}
	}
	Expect(store.Close()).To(Succeed())
	return history
}

func overwrite(fs wal.FS, name string, content []byte) {
	f, err := fs.Create(filepath.Join(dir, name))
	Expect(err).NotTo(HaveOccurred())
	_, err = f.Write(content)
	Expect(err).NotTo(HaveOccurred())
	Expect(f.Sync()).To(Succeed())
}

func readContent(fs wal.FS, name string) []byte {
	data, err := fs.ReadFile(filepath.Join(dir, name))
	Expect(err).NotTo(HaveOccurred())
	return data
}

func reopen(fs wal.FS) (*wal.Store, error) {
	return wal.Open(dir, wal.Options{StoreID: "other", SegmentBytes: 120, FS: fs})
}

const (
	firstFile  = "0000000000000002.wal"
	middleFile = "0000000000000003.wal"
	lastFile   = "0000000000000004.wal"
	snapFile   = "0000000000000003-0000000000000001.snap"
	identity   = "identity"
)

// Guards against silent repair: for each kind of damage except a torn tail,
// Open must return a DamageError with the specific reason, and the list of
// files must stay the same.
var _ = DescribeTable("damage is reported and not repaired",
	func(file string, damageFile func(fs *wal.MemFS), reason wal.Reason) {
		fs := wal.NewMemFS()
		newFilledStore(fs)
		damageFile(fs)
		before, _ := fs.List(dir)
		for range 2 {
			_, err := reopen(fs)
			var damage *wal.DamageError
			Expect(errors.As(err, &damage)).To(BeTrue(), "%v", err)
			Expect(damage.Reason).To(Equal(reason))
			Expect(filepath.Base(damage.File)).To(Equal(file))
		}
		Expect(fs.List(dir)).To(Equal(before))
	},
	Entry("bit flip in a middle segment", middleFile, flipBits(middleFile, 60), wal.ReasonChecksum),
	Entry("bit flip before the last record", lastFile, flipBits(lastFile, 40), wal.ReasonChecksum),
	Entry("bit flip in a segment header", middleFile, flipBits(middleFile, 9), wal.ReasonHeader),
	Entry("bit flip in the last header", lastFile, flipBits(lastFile, 9), wal.ReasonHeader),
	Entry("middle segment truncated", middleFile, truncate(middleFile, 70), wal.ReasonChecksum),
	Entry("last segment truncated to its header", lastFile, truncate(lastFile, 28), wal.ReasonHeader),
	Entry("first segment missing", firstFile, removeFile(firstFile), wal.ReasonMissingSegment),
	Entry("middle segment missing", firstFile, removeFile(middleFile), wal.ReasonMissingSegment),
	Entry("last segment missing", lastFile, removeFile(lastFile), wal.ReasonMissingSegment),
	Entry("segment replaced by another", middleFile, func(fs *wal.MemFS) {
		overwrite(fs, middleFile, readContent(fs, firstFile))
	}, wal.ReasonHeader),
	Entry("record repeated", lastFile, func(fs *wal.MemFS) {
		data := readContent(fs, lastFile)
		overwrite(fs, lastFile, append(data, data[28:]...))
	}, wal.ReasonSequence),
	Entry("bit flip in the snapshot", snapFile, flipBits(snapFile, 45), wal.ReasonSnapshotChecksum),
	Entry("snapshot truncated", snapFile, truncate(snapFile, 20), wal.ReasonSnapshotChecksum),
	Entry("snapshot missing", snapFile, removeFile(snapFile), wal.ReasonMissingSnapshot),
	Entry("bit flip in the identity", identity, flipBits(identity, 10), wal.ReasonIdentity),
	Entry("identity truncated", identity, truncate(identity, 3), wal.ReasonIdentity),
	Entry("identity missing", identity, removeFile(identity), wal.ReasonMissingIdentity),
)

func flipBits(file string, offset int64) func(*wal.MemFS) {
	return func(fs *wal.MemFS) {
		Expect(fs.FlipBits(filepath.Join(dir, file), offset, 0x10)).To(BeTrue())
	}
}

func truncate(file string, size int64) func(*wal.MemFS) {
	return func(fs *wal.MemFS) {
		Expect(fs.Truncate(filepath.Join(dir, file), size)).To(BeTrue())
	}
}

func removeFile(file string) func(*wal.MemFS) {
	return func(fs *wal.MemFS) {
		Expect(fs.Remove(filepath.Join(dir, file))).To(Succeed())
	}
}

var _ = Describe("Store", func() {
	// Guards against a crash during a save that is reported as damage, or that
	// loses earlier records as well.
	It("truncates a torn tail and reports it", func() {
		fs := wal.NewMemFS()
		history := newFilledStore(fs)
		size := int64(len(readContent(fs, lastFile)))
		truncate(lastFile, size-1)(fs)
		store, err := reopen(fs)
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Recovery.TornTail).To(BeTrue())
		Expect(filepath.Base(store.Recovery.File)).To(Equal(lastFile))
		Expect(store.Recovery.Offset + store.Recovery.Bytes).To(Equal(size - 1))
		Expect(load(GinkgoT(), store).String()).To(Equal(history[len(history)-2].String()))
	})

	// Guards against a host that votes under the identity of another host, or
	// under its old one after it has lost its disk.
	It("keeps its identity and refuses a different expected one", func() {
		fs := wal.NewMemFS()
		newFilledStore(fs)
		_, err := wal.Open(dir, wal.Options{ExpectStoreID: "store-2", FS: fs})
		Expect(err).To(Equal(&wal.IdentityError{Dir: dir, Found: "store-1", Expected: "store-2"}))
		store, err := wal.Open(dir, wal.Options{StoreID: "new", ExpectStoreID: "store-1", FS: fs})
		Expect(err).NotTo(HaveOccurred())
		Expect(store.StoreID()).To(Equal("store-1"))
		_, err = wal.Open("/empty", wal.Options{StoreID: "new", ExpectStoreID: "store-1", FS: fs})
		Expect(err).To(Equal(&wal.IdentityError{Dir: "/empty", Expected: "store-1"}))
	})

	// Guards against records that are appended after a partial one, and against
	// a store that cannot be opened once the disk has space again.
	It("is unusable after a write to a full disk and recovers when opened again", func() {
		fs := wal.NewMemFS()
		store, err := reopen(fs)
		Expect(err).NotTo(HaveOccurred())
		fs.SetCapacity(150)
		err = store.Save(wal.HardState{Term: 1}, []wal.Entry{{Index: 1, Term: 1, Data: make([]byte, 100)}})
		Expect(errors.As(err, &wal.DiskFullError{})).To(BeTrue())
		_, _, _, _, err = store.Load()
		var failed *wal.FailedError
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(store.Close()).To(Succeed())
		_, err = reopen(fs)
		Expect(errors.As(err, &wal.DiskFullError{})).To(BeTrue())
		fs.SetCapacity(0)
		store, err = reopen(fs)
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Recovery.TornTail).To(BeTrue())
		Expect(store.LastIndex()).To(BeZero())
		Expect(store.Save(wal.HardState{Term: 1}, []wal.Entry{{Index: 1, Term: 1}})).To(Succeed())
	})

	// Guards against a log with gaps, and against a hard state that goes back,
	// with which a host could vote twice in one term.
	DescribeTable("refuses invalid arguments and stays usable",
		func(hs wal.HardState, index uint64, rule wal.ArgumentRule) {
			fs := wal.NewMemFS()
			newFilledStore(fs)
			store, err := reopen(fs)
			Expect(err).NotTo(HaveOccurred())
			var argument *wal.ArgumentError
			err = store.Save(hs, []wal.Entry{{Index: index, Term: 3}})
			Expect(errors.As(err, &argument)).To(BeTrue(), "%v", err)
			Expect(argument.Rule).To(Equal(rule))
			Expect(store.Save(wal.HardState{Term: 4, Commit: 9}, nil)).To(Succeed())
		},
		Entry("gap in the indexes", wal.HardState{Term: 4, Commit: 9}, uint64(11), wal.RuleGap),
		Entry("entry covered by the snapshot", wal.HardState{Term: 4, Commit: 9}, uint64(3), wal.RuleBelowSnapshot),
		Entry("term goes back", wal.HardState{Term: 2, Commit: 9}, uint64(10), wal.RuleHardState),
		Entry("vote changes", wal.HardState{Term: 3, Vote: "b", Commit: 9}, uint64(10), wal.RuleHardState),
	)

	// Guards against a store that works only on a MemFS, and against two
	// processes that write to one directory.
	It("works on a real file system and locks the directory", func() {
		real := GinkgoT().TempDir()
		opts := wal.Options{StoreID: "id", SegmentBytes: 200}
		store, err := wal.Open(real, opts)
		Expect(err).NotTo(HaveOccurred())
		_, err = wal.Open(real, opts)
		var locked *wal.LockedError
		Expect(errors.As(err, &locked)).To(BeTrue())
		want := storeState{}
		for i := uint64(1); i <= 20; i++ {
			hs := wal.HardState{Term: 1, Vote: "v", Commit: i - 1}
			entries := []wal.Entry{{Index: i, Term: 1, Data: []byte("some data")}}
			Expect(store.Save(hs, entries)).To(Succeed())
			want = want.save(hs, entries)
		}
		meta := wal.SnapshotMeta{Index: 15, Term: 1}
		Expect(store.SaveSnapshot(meta, []byte("s"), 16)).To(Succeed())
		want = want.snapshot(meta, []byte("s"))
		Expect(store.Close()).To(Succeed())
		Expect(store.Save(want.hardState, nil)).To(Equal(wal.ClosedError{}))
		last, err := filepath.Glob(filepath.Join(real, "*.wal"))
		Expect(err).NotTo(HaveOccurred())
		Expect(len(last)).To(BeNumerically("<", 4))
		f, err := wal.OSFS{}.Append(last[len(last)-1])
		Expect(err).NotTo(HaveOccurred())
		_, err = f.Write([]byte("torn"))
		Expect(err).NotTo(HaveOccurred())
		Expect(f.Close()).To(Succeed())
		store, err = wal.Open(real, opts)
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Recovery.Bytes).To(Equal(int64(4)))
		Expect(load(GinkgoT(), store).String()).To(Equal(want.String()))
		Expect(store.Close()).To(Succeed())
	})
})
