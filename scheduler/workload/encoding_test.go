package workload

import (
	"reflect"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// plainOccurrence and the types of its fields are those of the snapshot without methods, which the
// library encodes by reflection as earlier versions did.
type (
	plainOccurrence struct {
		Steps     []plainStep `msgpack:"s"`
		Remaining int         `msgpack:"r"`
	}
	plainStep struct {
		Tasks             []plainTask   `msgpack:"t"`
		Remaining         int           `msgpack:"r"`
		Failures          int           `msgpack:"x,omitempty"`
		FailedRuns        []int         `msgpack:"a,omitempty"`
		LastIncompleteRun int           `msgpack:"b,omitempty"`
		Measured          int           `msgpack:"m,omitempty"`
		RunTimes          time.Duration `msgpack:"u,omitempty"`
	}
	plainTask struct {
		Done       bool   `msgpack:"d,omitempty"`
		LastRun    int    `msgpack:"l,omitempty"`
		Failures   int    `msgpack:"f,omitempty"`
		FailedRuns []int  `msgpack:"a,omitempty"`
		Checkpoint string `msgpack:"c,omitempty"`
		Run        *Run   `msgpack:"r,omitempty"`
	}
)

// TestOccurrenceEncoding guards against snapshots that a host of an earlier version reads
// differently, or that this version cannot read.
func TestOccurrenceEncoding(t *testing.T) {
	for _, plain := range []plainOccurrence{
		{},
		{Steps: []plainStep{}},
		{Remaining: 2, Steps: []plainStep{{Remaining: 300, Tasks: []plainTask{{}, {Done: true, LastRun: 1}}}, {Tasks: nil}}},
		{Remaining: 70_000, Steps: []plainStep{{
			Remaining: 1, Failures: 2, FailedRuns: []int{1, 200}, LastIncompleteRun: 5, Measured: 40, RunTimes: time.Hour,
			Tasks: []plainTask{{LastRun: 130, Failures: 1, FailedRuns: []int{2}, Checkpoint: "c", Run: &Run{Number: 130, Executor: ExecutorKey{ID: "e", Incarnation: 1}, Term: 9}}},
		}}},
	} {
		want, err := msgpack.Marshal(&plain)
		if err != nil {
			t.Fatal(err)
		}
		var read Occurrence
		if err := msgpack.Unmarshal(want, &read); err != nil {
			t.Fatal(err)
		}
		got, err := msgpack.Marshal(&read)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("%+v is encoded as %x, by an earlier version as %x", plain, got, want)
		}
		var back plainOccurrence
		if err := msgpack.Unmarshal(got, &back); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(back, plain) {
			t.Fatalf("%+v is read by an earlier version as %+v", plain, back)
		}
	}
	// A later version may add fields.
	data, err := msgpack.Marshal(map[string]any{"z": []int{1}, "r": 3, "s": []any{map[string]any{"y": "y", "r": 1, "t": []any{map[string]any{"w": 1, "l": 2}}}}})
	if err != nil {
		t.Fatal(err)
	}
	var read Occurrence
	if err := msgpack.Unmarshal(data, &read); err != nil || read.Remaining != 3 || read.Steps[0].Tasks[0].LastRun != 2 {
		t.Fatalf("an occurrence with unknown fields is read as %+v, %v", read, err)
	}
}
