package workload

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawSpec draws steps with dependencies, gangs and steps that last.
func drawSpec(t *rapid.T) Spec {
	spec := Spec{Repeats: rapid.IntRange(0, 70).Draw(t, "repeats"), Interval: time.Millisecond}
	for i := range rapid.IntRange(1, 4).Draw(t, "steps") {
		step := Step{
			Count: rapid.IntRange(1, 3).Draw(t, "count"), Gang: rapid.Bool().Draw(t, "gang"),
			LongRunning: rapid.IntRange(0, 5).Draw(t, "lasts") == 0,
		}
		for d := range i {
			if rapid.Bool().Draw(t, "depends") {
				step.DependsOn = append(step.DependsOn, d)
			}
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

// drawCommand draws a start or an end of some task, which may not fit the state.
func drawCommand(t *rapid.T, j *Job) *Command {
	// Few occurrences, so that their steps get done.
	key := TaskKey{Job: j.ID, Occurrence: rapid.IntRange(0, min(2, len(j.Occurrences)-1)).Draw(t, "occurrence"), Step: rapid.IntRange(0, len(j.Spec.Steps)-1).Draw(t, "step")}
	key.Index = rapid.IntRange(0, j.Spec.Steps[key.Step].Count-1).Draw(t, "index")
	task := j.Task(key)
	executor := ExecutorKey{ID: "e"}
	if task.Run == nil {
		return &Command{Starts: []Start{{Task: key, Run: task.LastRun + 1, Executor: executor}}}
	}
	ending := rapid.SampledFrom([]Ending{EndDone, EndDone, EndDone, EndFailed, EndStopped}).Draw(t, "ending")
	return &Command{Ends: []End{{Task: key, Run: task.Run.Number, Executor: executor, Ending: ending, Took: time.Second, Checkpoint: "c"}}}
}

// TestProgress guards against counts of what is left of a job that drift from its tasks, so that a
// round or a cancel misses some, and against a snapshot from which they are derived differently.
func TestProgress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		apply := func(c *Command) {
			data, err := c.Encode()
			if err != nil {
				t.Fatal(err)
			}
			s.Apply(0, 1, data)
		}
		apply(&Command{Submit: &Job{ID: "j", MaxAttempts: 4, Spec: drawSpec(t)}})
		for range rapid.IntRange(0, 60).Draw(t, "commands") {
			apply(drawCommand(t, s.Job("j")))
		}
		data, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored := New()
		if err := restored.Restore(data); err != nil {
			t.Fatal(err)
		}
		kept, full := s.Job("j"), restored.Job("j")
		if !reflect.DeepEqual(kept.progress, full.progress) {
			t.Fatalf("progress is %+v, derived anew %+v", kept.progress, full.progress)
		}
		if !reflect.DeepEqual(kept.Occurrences, full.Occurrences) {
			t.Fatalf("occurrences are %+v, from a snapshot %+v", kept.Occurrences, full.Occurrences)
		}
		for k := range kept.Occurrences {
			for i := range kept.Spec.Steps {
				waits := kept.Runnable(k, i) && kept.Occurrences[k].Steps[i].Idle() > 0
				if (kept.NextWaiting(i, k, k+1) == k) != waits {
					t.Fatalf("step %d of occurrence %d waits: %v", i, k, waits)
				}
			}
		}
	})
}
