package dedup_test

import (
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/coord/dedup"
)

var _ = Describe("Table", func() {
	It("refuses malformed keys and damaged snapshots", func() {
		table := dedup.New(bounds)
		for _, key := range []string{"", strings.Repeat("k", dedup.MaxNameBytes+1)} {
			Expect(table.Begin(0, dedup.Request{Key: key}).Kind).To(Equal(dedup.Invalid))
		}
		Expect(table.Begin(0, dedup.Request{Key: "k"}).Kind).To(Equal(dedup.Send))
		data, err := table.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		var damaged *dedup.SnapshotError
		for end := range data {
			Expect(errors.As(dedup.New(bounds).Restore(data[:end]), &damaged)).To(BeTrue())
		}
	})

	It("ignores logical time that goes back", func() {
		table := dedup.New(bounds)
		table.Expire(time.Hour)
		Expect(table.Begin(0, dedup.Request{Key: "k"}).Kind).To(Equal(dedup.Send))
		Expect(table.Now()).To(Equal(time.Hour))
		Expect(table.Begin(time.Second, dedup.Request{Key: "k"}).Kind).To(Equal(dedup.InProgress))
	})
})

// Measures heap, accounted and snapshot bytes for each key, to check the
// constants behind MaxBytes.
func BenchmarkBytesPerKey(b *testing.B) {
	for _, compact := range []bool{false, true} {
		b.Run(fmt.Sprintf("compact=%v", compact), func(b *testing.B) {
			for b.Loop() {
				measureKeys(b, compact)
			}
		})
	}
}

func measureKeys(b *testing.B, compact bool) {
	const keys = 100_000
	cfg := dedup.Config{MaxKeys: keys, MaxRecords: keys, MaxBytes: 1 << 40, MaxResponseBytes: 4096}
	cfg.Retention, cfg.ExpiredRetention = time.Hour, time.Hour
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := dedup.New(cfg)
	for i := range keys {
		key := fmt.Sprintf("0123456789abcdef-%015d", i)
		table.Begin(0, dedup.Request{Key: key, Owner: "host-1", Term: 1})
		table.Finish(0, key, "", dedup.Outcome{Kind: dedup.Answered, Status: 200, Body: make([]byte, 128)})
	}
	if compact {
		table.Expire(time.Hour + 1)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	data, err := table.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "heapB/key")
	b.ReportMetric(float64(table.Usage().Bytes)/keys, "accountedB/key")
	b.ReportMetric(float64(len(data))/keys, "snapshotB/key")
}
