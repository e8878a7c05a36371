package wal_test

import (
	"fmt"
	"testing"

	"cranberrydrum.dev/coord/wal"
)

// Measures bytes written and file syncs per saved entry. The results go into
// the capacity page.
func BenchmarkSave(b *testing.B) {
	for _, batch := range []int{1, 16} {
		for _, size := range []int{0, 256, 4096} {
			b.Run(fmt.Sprintf("batch=%d/data=%d", batch, size), func(b *testing.B) {
				benchmarkSave(b, batch, size)
			})
		}
	}
}

func benchmarkSave(b *testing.B, batch, size int) {
	store, err := wal.Open(b.TempDir(), wal.Options{StoreID: "0123456789abcdef"})
	if err != nil {
		b.Fatal(err)
	}
	start := store.Stats()
	index := uint64(0)
	saved := 0
	for b.Loop() {
		entries := make([]wal.Entry, batch)
		for i := range entries {
			index++
			entries[i] = wal.Entry{Index: index, Term: 7, Kind: 1, Data: make([]byte, size)}
		}
		if err := store.Save(wal.HardState{Term: 7, Vote: "host-1", Commit: index - 1}, entries); err != nil {
			b.Fatal(err)
		}
		saved += batch
	}
	end := store.Stats()
	b.ReportMetric(float64(end.BytesWritten-start.BytesWritten)/float64(saved), "B/entry")
	b.ReportMetric(float64(end.FileSyncs-start.FileSyncs)/float64(saved), "fsync/entry")
	if err := store.Close(); err != nil {
		b.Fatal(err)
	}
}
