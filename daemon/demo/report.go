package demo

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cranberrydrum.dev/daemon/standin"
)

// check compares the replies to callers with the records of the stand-ins after
// the run.
func (s *scenario) check() {
	for _, w := range s.load.results.wrong {
		s.fail("P3: %s", w)
	}
	s.checkCharges()
	s.checkTasks()
	s.checkExecutors()
}

// checkCharges compares the replies to non-idempotent requests with the runs that
// the executors recorded.
func (s *scenario) checkCharges() {
	runs := map[string]int{}
	for _, e := range s.d.executors {
		for key, n := range e.Stats().RunsByKey {
			runs[key] += n
		}
	}
	for _, key := range slices.Sorted(maps.Keys(s.load.results.repliesByKey)) {
		c := s.load.results.repliesByKey[key]
		if runs[key] > 1 {
			s.fail("P5: non-idempotent request %s ran %d times, want at most 1", key, runs[key])
		}
		if c.answers > 0 && runs[key] == 0 {
			s.fail("P3: request %s was answered although no executor ran it", key)
		}
		if c.answers == 0 && c.unknown == 0 && c.notRun > 0 && runs[key] > 0 {
			s.fail("P4: request %s was refused as not run although an executor ran it", key)
		}
	}
}

// checkTasks checks that the task log recorded no accelerator in use by two tasks
// and no job in two runs at once, and that no run of a gang used more accelerators
// than its job requests.
func (s *scenario) checkTasks() {
	for _, fault := range s.d.tasks.Violations() {
		s.fail("P2: %s", fault)
	}
	sizes := map[string]int{}
	for _, start := range s.d.tasks.Starts() {
		if start.Run > 0 {
			sizes[runKey(start)] += len(start.Accelerators)
		}
	}
	expected := s.expectedGangSizes()
	for _, start := range s.d.tasks.Starts() {
		if size, known := expected[start.Job]; known && sizes[runKey(start)] > size {
			s.fail("P2: a run of job %s used %d accelerators, want %d", start.Job, sizes[runKey(start)], size)
		}
	}
}

// startDelays returns, for each job, the time from its acceptance to the start of
// the last task of its first run.
func (s *scenario) startDelays() []time.Duration {
	last := map[string]time.Duration{}
	for _, start := range s.d.tasks.Starts() {
		if submitted, ok := s.submitted[start.Job]; ok && start.Run == 1 {
			last[start.Job] = max(last[start.Job], start.At.Sub(submitted))
		}
	}
	return slices.Collect(maps.Values(last))
}

func runKey(start standin.TaskStart) string { return fmt.Sprint(start.Job, "/", start.Run) }

func (s *scenario) expectedGangSizes() map[string]int {
	sizes := map[string]int{}
	next := 0
	for _, kind := range s.d.profile.jobs {
		for range kind.count {
			if next < len(s.jobs) {
				sizes[s.jobs[next]] = kind.accelerators
			}
			next++
		}
	}
	return sizes
}

// checkExecutors checks the limits on slots and connections, and that the draining
// executor received no new work after drainBound.
func (s *scenario) checkExecutors() {
	for i, e := range s.d.executors {
		stats := e.Stats()
		if stats.MaxRunning > 8 {
			s.fail("executor %d ran %d requests at once, limit is 8 slots", i, stats.MaxRunning)
		}
		if stats.MaxConnections > 64 {
			s.fail("executor %d had %d connections, limit is 64", i, stats.MaxConnections)
		}
	}
	if late := s.drainedExecutor.Stats().LastRequestAt.Sub(s.drainedAt); late > drainBound {
		s.fail("P6: the draining executor received new work %s after the drain", late)
	}
}

// report prints the table of results.
func (s *scenario) report() {
	r := s.load.results
	fmt.Fprintln(s.out)
	answered := 0
	for _, kind := range s.d.profile.requests {
		fmt.Fprintf(s.out, "%-34s %8d\n", "answered: "+kind.name, r.answered[kind.name])
		answered += r.answered[kind.name]
	}
	charges := 0
	for _, c := range r.repliesByKey {
		charges += c.answers
	}
	fmt.Fprintf(s.out, "%-34s %8d of %d keys\n", "answered: charges with resends", charges, len(r.repliesByKey))
	for _, code := range slices.Sorted(maps.Keys(r.refused)) {
		fmt.Fprintf(s.out, "%-34s %8d\n", "refused: "+string(code), r.refused[code])
	}
	fmt.Fprintf(s.out, "%-34s %8d\n", "no answer within the timeout", r.lost)
	fmt.Fprintf(s.out, "%-34s %8d of %d\n", "jobs finished", len(s.jobs)-len(s.unfinishedJobs()), len(s.jobs))
	fmt.Fprintf(s.out, "%-34s %8s\n", "short work, p50", formatDuration(percentile(r.shortLatencies, 0.50)))
	fmt.Fprintf(s.out, "%-34s %8s\n", "short work, p99", formatDuration(percentile(r.shortLatencies, 0.99)))
	fmt.Fprintf(s.out, "%-34s %8s\n", "gang start after submission, p50", formatDuration(percentile(s.startDelays(), 0.50)))
	fmt.Fprintf(s.out, "%-34s %8s\n", "gang start after submission, max", formatDuration(percentile(s.startDelays(), 1)))
	fmt.Fprintf(s.out, "%-34s %8s\n", "configuration in force after heal", formatDuration(s.configDelay))
	for _, f := range s.d.hosts[0].node.Status(false).Fragmentation {
		fmt.Fprintf(s.out, "%-34s %8.2f\n", "fragmentation, "+f.FailureDomain, f.Index)
	}
	fmt.Fprintf(s.out, "%-34s %8d\n", "bytes over the region link", s.d.regionBytes())
}

func formatDuration(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }
