package standin

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// TaskLog records the tasks of all workers that share it. It allows checks that
// no two tasks use one accelerator and that no gang runs in part.
type TaskLog struct {
	mu      sync.Mutex
	running map[taskID]TaskStart
	// finished are the executions that have ended.
	finished []TaskStart
	// checkpoints is the completed run time of each job at its last checkpoint.
	checkpoints map[string]time.Duration
	violations  []string
}

// taskID identifies the task of one run of a job on one worker.
type taskID struct {
	worker string
	job    string
	run    uint64
}

// TaskStart is one execution of a task. Ended is zero while the task runs.
type TaskStart struct {
	Worker       string
	Job          string
	Run          uint64
	Accelerators []int
	Limits       structs.Limits
	At           time.Time
	Ended        time.Time
}

// NewTaskLog returns an empty log.
func NewTaskLog() *TaskLog {
	return &TaskLog{running: map[taskID]TaskStart{}, checkpoints: map[string]time.Duration{}}
}

// recordStart records a start. It is a violation if an accelerator is already in
// use or if another run of the job is in progress.
func (l *TaskLog) recordStart(s TaskStart) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, other := range l.running {
		if other.Worker == s.Worker && overlaps(other.Accelerators, s.Accelerators) {
			l.violations = append(l.violations, "accelerator of "+s.Worker+" used by "+other.Job+" and "+s.Job)
		}
		if other.Job == s.Job && other.Run != s.Run {
			l.violations = append(l.violations, "job "+s.Job+" runs as run "+strconv.FormatUint(other.Run, 10)+" and "+strconv.FormatUint(s.Run, 10))
		}
	}
	l.running[taskID{s.Worker, s.Job, s.Run}] = s
}

// recordEnd records the end of a running task and returns its start.
func (l *TaskLog) recordEnd(worker, job string, run uint64) (TaskStart, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := taskID{worker, job, run}
	s, ok := l.running[id]
	if !ok {
		return s, false
	}
	delete(l.running, id)
	execution := s
	execution.Ended = time.Now()
	l.finished = append(l.finished, execution)
	return s, true
}

func (l *TaskLog) recordCheckpoint(job string, done time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkpoints[job] = max(l.checkpoints[job], done)
}

// checkpointOf returns the completed run time at the last checkpoint of a job.
func (l *TaskLog) checkpointOf(job string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.checkpoints[job]
}

// Violations returns the violations recorded so far.
func (l *TaskLog) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.violations)
}

// Starts returns all executions in the order of their starts, running ones
// included.
func (l *TaskLog) Starts() []TaskStart {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := slices.Clone(l.finished)
	for _, s := range l.running {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b TaskStart) int { return a.At.Compare(b.At) })
	return all
}

// Running returns the number of accelerators that the tasks of a job use now.
func (l *TaskLog) Running(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	used := 0
	for _, s := range l.running {
		if s.Job == job {
			used += len(s.Accelerators)
		}
	}
	return used
}

func overlaps(a, b []int) bool {
	return slices.ContainsFunc(a, func(x int) bool { return slices.Contains(b, x) })
}
