package demo

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cranberrydrum.dev/daemon/standin"
)

// check looks at what the stand-ins saw after the run.
func (s *scenario) check() {
	for _, w := range s.load.results.wrong {
		s.fail("P3: %s", w)
	}
	s.checkCharges()
	s.checkTasks()
	s.checkExecutors()
}

// checkCharges compares what callers were told with what executors ran.
func (s *scenario) checkCharges() {
	runs := map[string]int{}
	for _, e := range s.d.executors {
		for key, n := range e.Stats().RunsByKey {
			runs[key] += n
		}
	}
	for _, key := range slices.Sorted(maps.Keys(s.load.results.charges)) {
		c := s.load.results.charges[key]
		if runs[key] > 1 {
			s.fail("P5: %s ran %d times", key, runs[key])
		}
		if c.answers > 0 && runs[key] == 0 {
			s.fail("P3: %s was answered and never ran", key)
		}
		if c.answers == 0 && c.unknown == 0 && c.notRun > 0 && runs[key] > 0 {
			s.fail("P4: %s was refused as not run and ran", key)
		}
	}
}

// checkTasks looks for accelerators used twice and for gangs in part.
func (s *scenario) checkTasks() {
	for _, fault := range s.d.tasks.Faults() {
		s.fail("P2: %s", fault)
	}
	sizes := map[string]int{}
	for _, start := range s.d.tasks.Starts() {
		if start.Run > 0 {
			sizes[runOf(start)] += len(start.Accelerators)
		}
	}
	wanted := s.jobSizes()
	for _, start := range s.d.tasks.Starts() {
		if size, known := wanted[start.Job]; known && sizes[runOf(start)] > size {
			s.fail("P2: job %s used %d accelerators instead of %d", start.Job, sizes[runOf(start)], size)
		}
	}
}

// startDelays returns the times from the acceptance of each job to the start
// of the last member of its first run.
func (s *scenario) startDelays() []time.Duration {
	last := map[string]time.Duration{}
	for _, start := range s.d.tasks.Starts() {
		if submitted, ok := s.submitted[start.Job]; ok && start.Run == 1 {
			last[start.Job] = max(last[start.Job], start.At.Sub(submitted))
		}
	}
	return slices.Collect(maps.Values(last))
}

func runOf(start standin.TaskStart) string { return fmt.Sprint(start.Job, "/", start.Run) }

func (s *scenario) jobSizes() map[string]int {
	sizes := map[string]int{}
	i := 0
	for _, kind := range s.d.profile.jobs {
		for range kind.count {
			if i < len(s.jobs) {
				sizes[s.jobs[i]] = kind.accelerators
			}
			i++
		}
	}
	return sizes
}

// checkExecutors looks at slots, connections and the executor that left.
func (s *scenario) checkExecutors() {
	for i, e := range s.d.executors {
		stats := e.Stats()
		if stats.MaxRunning > 8 {
			s.fail("executor %d ran %d requests on 8 slots", i, stats.MaxRunning)
		}
		if stats.MaxConnections > 64 {
			s.fail("executor %d had %d connections of 64", i, stats.MaxConnections)
		}
	}
	if late := s.drained.Stats().LastNew.Sub(s.drainedAt); late > drainBound {
		s.fail("P6: a leaving executor got new work after %s", late)
	}
}

// report prints the table.
func (s *scenario) report() {
	r := s.load.results
	fmt.Fprintln(s.out)
	answered := 0
	for _, kind := range s.d.profile.requests {
		fmt.Fprintf(s.out, "%-34s %8d\n", "answered: "+kind.name, r.answered[kind.name])
		answered += r.answered[kind.name]
	}
	charges := 0
	for _, c := range r.charges {
		charges += c.answers
	}
	fmt.Fprintf(s.out, "%-34s %8d of %d keys\n", "answered: charges with resends", charges, len(r.charges))
	for _, code := range slices.Sorted(maps.Keys(r.refused)) {
		fmt.Fprintf(s.out, "%-34s %8d\n", "refused: "+string(code), r.refused[code])
	}
	fmt.Fprintf(s.out, "%-34s %8d\n", "no answer within the timeout", r.lost)
	fmt.Fprintf(s.out, "%-34s %8d of %d\n", "jobs finished", len(s.jobs)-len(s.openJobs()), len(s.jobs))
	fmt.Fprintf(s.out, "%-34s %8s\n", "short work, p50", round(percentile(r.short, 0.50)))
	fmt.Fprintf(s.out, "%-34s %8s\n", "short work, p99", round(percentile(r.short, 0.99)))
	fmt.Fprintf(s.out, "%-34s %8s\n", "gang start after submission, p50", round(percentile(s.startDelays(), 0.50)))
	fmt.Fprintf(s.out, "%-34s %8s\n", "gang start after submission, max", round(percentile(s.startDelays(), 1)))
	fmt.Fprintf(s.out, "%-34s %8s\n", "configuration after heal", round(s.convergence))
	for _, f := range s.d.hosts[0].node.Status(false).Fragmentation {
		fmt.Fprintf(s.out, "%-34s %8.2f\n", "fragmentation, "+f.FailureDomain, f.Index)
	}
	fmt.Fprintf(s.out, "%-34s %8d\n", "bytes over the region link", s.d.regionBytes())
}

func round(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }
