package workload_test

import (
	"fmt"
	"testing"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// largeState returns a state with four jobs of as many tasks as a job may have.
func largeState(b *testing.B) *workload.State {
	s := workload.New()
	for n := range 4 {
		applyEntry(b, s, largeJob(n))
	}
	return s
}

func largeJob(n int) *workload.Command {
	steps := make([]workload.Step, 10)
	for i := range steps {
		steps[i] = workload.Step{Count: 1, Demand: workload.Resources{CPU: 1000}}
	}
	return &workload.Command{Submit: &workload.Job{
		ID: fmt.Sprintf("%016x", n), MaxAttempts: 3, Spec: workload.Spec{Steps: steps, Repeats: 10_000, FirstDue: time.Second, Interval: time.Millisecond},
	}}
}

func applyEntry(b *testing.B, s *workload.State, c *workload.Command) {
	data, err := c.Encode()
	if err != nil {
		b.Fatal(err)
	}
	s.Apply(0, 1, data)
}

// BenchmarkLargeJobs reports the time of what the goroutine of the log does with jobs of 400,000
// tasks in all.
func BenchmarkLargeJobs(b *testing.B) {
	b.Run("submit", func(b *testing.B) {
		for b.Loop() {
			applyEntry(b, workload.New(), largeJob(0))
		}
	})
	state := largeState(b)
	b.Run("cancel", func(b *testing.B) {
		for b.Loop() {
			applyEntry(b, state, &workload.Command{At: time.Hour, Cancel: fmt.Sprintf("%016x", 0)})
		}
	})
	b.Run("snapshot", func(b *testing.B) {
		for b.Loop() {
			if _, err := state.Snapshot(); err != nil {
				b.Fatal(err)
			}
		}
	})
	data, err := state.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.Run("restore", func(b *testing.B) {
		for b.Loop() {
			if err := workload.New().Restore(data); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(data)), "snapshot-bytes")
	})
}
