package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run. Each line begins with the
// seconds since the start.
type record struct {
	started time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: f}, nil
}

func (r *record) line(format string, args ...any) {
	text := fmt.Sprintf("%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(text)
	fmt.Print(text)
}

func (r *record) close() { _ = r.file.Close() }

// runKey names one run of a subtask.
type runKey struct {
	task string
	run  int
}

// runTimes is when a run began and ended on its executor.
type runTimes struct {
	executor string
	began    time.Time
	ended    time.Time
	ending   string
	hasEnded bool
}

// ledger holds the runs of all executors.
type ledger struct {
	rec *record

	mu   sync.Mutex
	runs map[runKey]*runTimes
	last map[string]int
}

func newLedger(rec *record) *ledger {
	return &ledger{rec: rec, runs: map[runKey]*runTimes{}, last: map[string]int{}}
}

func (l *ledger) began(executor, task string, run int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[runKey{task, run}] = &runTimes{executor: executor, began: time.Now()}
	l.last[task] = max(l.last[task], run)
	l.rec.line("%s: run %d of %s begins", executor, run, task)
}

func (l *ledger) ended(executor, task string, run int, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.runs[runKey{task, run}]; r != nil && !r.hasEnded {
		r.ended, r.hasEnded, r.ending = time.Now(), true, how
	}
	l.rec.line("%s: run %d of %s ends: %s", executor, run, task, how)
}

// get returns a copy of what is known of a run.
func (l *ledger) get(task string, run int) (runTimes, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.runs[runKey{task, run}]; r != nil {
		return *r, true
	}
	return runTimes{}, false
}

// lastRun returns the highest run number of a subtask that has begun, or 0.
func (l *ledger) lastRun(task string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last[task]
}

// overlaps returns the longest time for which two runs of one subtask were there at the
// same time.
func (l *ledger) overlaps(task string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	longest := time.Duration(0)
	for a, first := range l.runs {
		for b, second := range l.runs {
			if a.task != task || b.task != task || a.run >= b.run {
				continue
			}
			from := second.began
			if first.began.After(from) {
				from = first.began
			}
			to := time.Now()
			if first.hasEnded {
				to = first.ended
			}
			if second.hasEnded && second.ended.Before(to) {
				to = second.ended
			}
			longest = max(longest, to.Sub(from))
		}
	}
	return longest
}
