package registry_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"cranberrydrum.dev/coord/registry"
)

func up(id string, sequence uint64) registry.Entry {
	return registry.Entry{ID: id, Incarnation: 1, Sequence: sequence, State: registry.Up, TTL: ttl}
}

var _ = Describe("Registry", func() {
	// Guards against readers that treat each renewal as a change, or that miss
	// an expiry.
	It("reports renewals apart from material changes", func() {
		r := registry.New(bounds)
		r.Merge(0, []registry.Entry{up("a", 1), up("b", 1)})
		_, start := r.Changes(0, 0)
		r.Merge(100*time.Millisecond, []registry.Entry{up("a", 2)})
		changes, revision := r.Changes(100*time.Millisecond, start)
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].Sequence).To(BeEquivalentTo(2))
		Expect(changes[0].MaterialRevision).To(BeNumerically("<=", start))
		expired := r.Expire(ttl + 1)
		Expect(expired).To(HaveLen(1))
		Expect(expired[0].ID).To(Equal("b"))
		changes, _ = r.Changes(ttl+1, revision)
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].Expired).To(BeTrue())
		Expect(changes[0].MaterialRevision).To(BeNumerically(">", revision))
	})

	// Guards against entries from other hosts that exceed the memory limits or
	// stay live for too long.
	It("rejects invalid entries and entries beyond MaxEntries", func() {
		r := registry.New(bounds)
		for _, change := range []func(*registry.Entry){
			func(e *registry.Entry) { e.ID = "" },
			func(e *registry.Entry) { e.State = 4 },
			func(e *registry.Entry) { e.TTL = ttl + time.Millisecond },
			func(e *registry.Entry) { e.TTL = time.Microsecond },
			func(e *registry.Entry) { e.Age = -1 },
			func(e *registry.Entry) { e.Payload = make([]byte, bounds.MaxPayloadBytes+1) },
		} {
			e := up("x", 1)
			change(&e)
			Expect(r.Merge(0, []registry.Entry{e}).Rejected).To(Equal(1))
		}
		for i := range bounds.MaxEntries + 1 {
			r.Merge(0, []registry.Entry{up(fmt.Sprint(i), 1)})
		}
		Expect(r.Len()).To(Equal(bounds.MaxEntries))
		r.Expire(ttl + bounds.TombstoneRetention)
		Expect(r.Len()).To(Equal(bounds.MaxEntries))
		r.Expire(time.Hour)
		Expect(r.Len()).To(BeZero())
	})

	// Guards against a message of another format that is decoded as an entry.
	It("rejects encoded entries with a wrong number of fields", func() {
		data, err := msgpack.Marshal([]registry.Version{{ID: "a"}})
		Expect(err).NotTo(HaveOccurred())
		var versions []registry.Version
		Expect(msgpack.Unmarshal(data, &versions)).To(Succeed())
		var entries []registry.Entry
		Expect(msgpack.Unmarshal(data, &entries)).To(Equal(&registry.WireError{Fields: 4, Want: 7}))
	})
})

// Measures wire and heap bytes per announcement with a payload of the size that
// an executor announces. The results go into the capacity page.
func BenchmarkBytesPerAnnouncement(b *testing.B) {
	const count = 10_000
	cfg := bounds
	cfg.MaxEntries, cfg.MaxPayloadBytes = count, 1024
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := registry.New(cfg)
		for i := range count {
			e := up(fmt.Sprintf("zrh-oerlikon/executor-%04d", i), 100_000)
			e.Payload = make([]byte, 48)
			r.Merge(0, []registry.Entry{e})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		changes, _ := r.Changes(0, 0)
		entries, _ := r.Delta(time.Second/2, nil, 1<<30)
		wire, _ := msgpack.Marshal(entries)
		digest, _ := msgpack.Marshal(r.Digest())
		b.ReportMetric(float64(len(wire))/float64(len(changes)), "wireB/entry")
		b.ReportMetric(float64(len(digest))/float64(len(changes)), "digestB/entry")
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "heapB/entry")
	}
}

// Measures the time of one renewal in a registry of 1000 entries.
func BenchmarkMergeRenewal(b *testing.B) {
	cfg := bounds
	cfg.MaxEntries = 1000
	r := registry.New(cfg)
	sequence := uint64(0)
	for b.Loop() {
		sequence++
		r.Merge(time.Duration(sequence), []registry.Entry{up(fmt.Sprint(sequence%1000), sequence)})
	}
}
