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
	// Guards against keys that exceed the accounted size, and against a table
	// restored from a part of a snapshot, which would send the missing keys
	// again.
	It("refuses keys of invalid length and truncated snapshots", func() {
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

	// Guards against a logical time that goes back, so that records would expire at
	// the wrong time.
	It("ignores a logical time below the highest one seen", func() {
		table := dedup.New(bounds)
		table.Expire(time.Hour)
		Expect(table.Begin(0, dedup.Request{Key: "k"}).Kind).To(Equal(dedup.Send))
		Expect(table.Now()).To(Equal(time.Hour))
		Expect(table.Begin(time.Second, dedup.Request{Key: "k"}).Kind).To(Equal(dedup.InProgress))
	})
})

var _ = Describe("Machine", func() {
	apply := func(m *dedup.Machine, term uint64, c dedup.Command) dedup.Result {
		data, err := dedup.EncodeCommand(c)
		Expect(err).NotTo(HaveOccurred())
		r, err := dedup.DecodeResult(m.Apply(1, term, data))
		Expect(err).NotTo(HaveOccurred())
		return r
	}

	// Guards against a run that a replaced leader begins after its keys were
	// marked unknown, and against results that are lost in the encoding.
	It("applies commands under the terms of their log entries", func() {
		m := dedup.NewMachine(bounds)
		begin := dedup.Command{Op: dedup.OpBegin, Key: "k", Digest: dedup.Digest{1}, Owner: "host-1"}
		Expect(apply(m, 3, begin).Decision.Kind).To(Equal(dedup.Send))
		again := apply(m, 3, begin).Decision
		Expect(again).To(Equal(dedup.Decision{Kind: dedup.InProgress, Owner: "host-1", Term: 3}))
		Expect(apply(m, 4, dedup.Command{Op: dedup.OpMarkUnknown}).Count).To(Equal(1))
		Expect(apply(m, 4, begin).Decision.Kind).To(Equal(dedup.UnknownOutcome))
		answer := dedup.Outcome{Kind: dedup.Answered, Status: 200, Body: []byte("body")}
		finish := dedup.Command{Op: dedup.OpFinish, Key: "k", Outcome: answer}
		Expect(apply(m, 4, finish).Finish).To(Equal(dedup.Stored))
		Expect(apply(m, 4, begin).Decision.Outcome).To(Equal(answer))
		late := dedup.Command{Op: dedup.OpBegin, Key: "late"}
		Expect(apply(m, 3, late).Decision.Kind).To(Equal(dedup.StaleTerm))
		expire := dedup.Command{Op: dedup.OpExpire, Now: 2 * bounds.Retention}
		Expect(apply(m, 4, expire).Count).To(Equal(1))
	})

	// Guards against a replica that fails on an entry which the others skip.
	It("reports malformed commands and does not apply them", func() {
		m := dedup.NewMachine(bounds)
		Expect(apply(m, 1, dedup.Command{Op: 9}).Malformed).To(BeTrue())
		r, err := dedup.DecodeResult(m.Apply(1, 1, []byte("\xc1")))
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Malformed).To(BeTrue())
		Expect(m.Table.Usage()).To(Equal(dedup.Usage{}))
	})
})

// Measures heap, accounted and snapshot bytes per key. fullRecordBytes and
// compactRecordBytes must not be below the heap bytes.
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
