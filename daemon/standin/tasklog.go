package standin

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// TaskLog records which tasks ran where, for workers that share it. It is what
// a check of "no accelerator used twice, no gang in part" looks at.
type TaskLog struct {
	mu       sync.Mutex
	running  map[taskID]TaskStart
	starts   []TaskStart
	progress map[string]time.Duration
	faults   []string
}

type taskID struct {
	worker string
	job    string
	run    uint64
}

// TaskStart is one start of a task.
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
	return &TaskLog{running: map[taskID]TaskStart{}, progress: map[string]time.Duration{}}
}

// started records a start and notes an accelerator that is already in use, or
// a job that runs in another run at the same time.
func (l *TaskLog) started(s TaskStart) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, other := range l.running {
		if other.Worker == s.Worker && overlaps(other.Accelerators, s.Accelerators) {
			l.faults = append(l.faults, "accelerator of "+s.Worker+" used by "+other.Job+" and "+s.Job)
		}
		if other.Job == s.Job && other.Run != s.Run {
			l.faults = append(l.faults, "job "+s.Job+" runs as run "+strconv.FormatUint(other.Run, 10)+" and "+strconv.FormatUint(s.Run, 10))
		}
	}
	l.running[taskID{s.Worker, s.Job, s.Run}] = s
}

func (l *TaskLog) ended(worker, job string, run uint64) (TaskStart, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := taskID{worker, job, run}
	s, ok := l.running[id]
	if !ok {
		return s, false
	}
	delete(l.running, id)
	finished := s
	finished.Ended = time.Now()
	l.starts = append(l.starts, finished)
	return s, true
}

func (l *TaskLog) checkpoint(job string, done time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.progress[job] = max(l.progress[job], done)
}

func (l *TaskLog) resumeFrom(job string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.progress[job]
}

// Faults returns the violations seen so far.
func (l *TaskLog) Faults() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.faults)
}

// Starts returns all starts, those that still run included.
func (l *TaskLog) Starts() []TaskStart {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := slices.Clone(l.starts)
	for _, s := range l.running {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b TaskStart) int { return a.At.Compare(b.At) })
	return all
}

// Running returns the number of accelerators in use by a job.
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
