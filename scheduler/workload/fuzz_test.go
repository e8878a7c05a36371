package workload_test

import (
	"testing"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// seedCommands are commands of each kind.
func seedCommands() []workload.Command {
	spec := workload.Spec{Steps: []workload.Step{{Count: 2, Gang: true}, {Count: 1, DependsOn: []int{0}}}}
	task := workload.TaskKey{Job: "a"}
	return []workload.Command{
		{Configure: &workload.Config{Version: 3, Document: []byte("{}"), Queues: []workload.Queue{{Name: "q"}}}},
		{Submit: &workload.Job{ID: "a", MaxAttempts: 1, Spec: spec}},
		{Starts: []workload.Start{{Task: task, Run: 1, Executor: executor}}},
		{At: time.Minute, Ends: []workload.End{{Task: task, Run: 1, Executor: executor, Ending: workload.EndFailed}}},
		{Register: &workload.Executor{Key: executor}},
		{At: time.Minute, Deregister: []workload.ExecutorKey{executor}, Left: true},
		{Cancel: "a"},
		{Purge: []string{"a"}},
	}
}

// FuzzApply guards against an entry of the log that ends every host that applies
// it, and again after each restart.
func FuzzApply(f *testing.F) {
	for _, c := range seedCommands() {
		data, err := c.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, step := range []workload.Step{{Count: -1}, {Count: 1, DependsOn: []int{7}}, {Count: 1 << 40}} {
		c := workload.Command{Submit: &workload.Job{ID: "b", Spec: workload.Spec{Steps: []workload.Step{step}}}}
		data, err := c.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := workload.New()
		for _, c := range seedCommands()[:3] {
			encoded, err := c.Encode()
			if err != nil {
				t.Fatal(err)
			}
			s.Apply(1, 1, encoded)
		}
		s.Apply(2, 1, data)
		snapshot, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := workload.New().Restore(snapshot); err != nil {
			t.Fatalf("the snapshot of an applied state cannot be restored: %v", err)
		}
	})
}

// FuzzRestore guards against a snapshot that ends the process instead of being
// refused, and against one that is restored but cannot be used.
func FuzzRestore(f *testing.F) {
	s := workload.New()
	for _, c := range seedCommands()[:5] {
		encoded, err := c.Encode()
		if err != nil {
			f.Fatal(err)
		}
		s.Apply(1, 1, encoded)
	}
	snapshot, err := s.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(snapshot)
	f.Fuzz(func(t *testing.T, data []byte) {
		s := workload.New()
		if s.Restore(data) != nil {
			return
		}
		for _, c := range seedCommands()[2:] {
			encoded, err := c.Encode()
			if err != nil {
				t.Fatal(err)
			}
			s.Apply(2, 1, encoded)
		}
	})
}
