package target

import (
	"sync"
	"time"
)

// memberID identifies one task: the member of a gang on one worker.
type memberID struct {
	job    string
	run    uint64
	worker string
}

// gang is the running part of one run of a job.
type gang struct {
	run          uint64
	accelerators int
	lastStart    time.Time
}

// tracker records the tasks that all workers run.
type tracker struct {
	mu sync.Mutex
	// members are the running tasks and their accelerators.
	members map[memberID]int
	gangs   map[string]*gang
	// running counts the accelerators in use by failure domain.
	running map[string]int
	// forced counts the tasks that a worker ended because its lease had expired, by
	// failure domain.
	forced map[string]int
	// stopped counts the tasks that ended before their run time, by failure
	// domain.
	stopped map[string]int
	// terms and termAt are the highest term received in orders with a lease, and the
	// time of its first receipt, by failure domain.
	terms  map[string]uint64
	termAt map[string]time.Time
}

func newTracker() *tracker {
	return &tracker{
		members: map[memberID]int{}, gangs: map[string]*gang{}, running: map[string]int{}, forced: map[string]int{},
		stopped: map[string]int{}, terms: map[string]uint64{}, termAt: map[string]time.Time{},
	}
}

// recordStart records the start of a task. A later run replaces the gang of the job.
func (t *tracker) recordStart(domain string, m memberID, accelerators int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members[m] = accelerators
	t.running[domain] += accelerators
	g := t.gangs[m.job]
	if g == nil || g.run < m.run {
		g = &gang{run: m.run}
		t.gangs[m.job] = g
	}
	if g.run == m.run {
		g.accelerators += accelerators
		g.lastStart = time.Now()
	}
}

// recordEnd records the end of a task. A stopped task ended before its run time, a
// forced one because the lease had expired.
func (t *tracker) recordEnd(domain string, m memberID, stopped, forced bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	accelerators, ok := t.members[m]
	if !ok {
		return
	}
	delete(t.members, m)
	t.running[domain] -= accelerators
	if g := t.gangs[m.job]; g.run == m.run {
		g.accelerators -= accelerators
	}
	if stopped {
		t.stopped[domain]++
	}
	if forced {
		t.forced[domain]++
	}
}

// recordTerm records the term of orders with a lease.
func (t *tracker) recordTerm(domain string, term uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term > t.terms[domain] {
		t.terms[domain] = term
		t.termAt[domain] = time.Now()
	}
}

// term returns the highest term received and the time of its first receipt.
func (t *tracker) term(domain string) (uint64, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.terms[domain], t.termAt[domain]
}

// gangStartedAt returns the time at which the last member of a gang started. It
// returns false unless the gang runs on the given number of accelerators.
func (t *tracker) gangStartedAt(job string, accelerators int) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.gangs[job]
	if g == nil || g.accelerators < accelerators {
		return time.Time{}, false
	}
	return g.lastStart, true
}

// counts returns the accelerators in use, the number of tasks that ended before
// their run time, and the number of these whose lease had expired.
func (t *tracker) counts(domain string) (running, stopped, forced int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running[domain], t.stopped[domain], t.forced[domain]
}

// total returns the accelerators in use and the running tasks.
func (t *tracker) total() (accelerators, tasks int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range t.running {
		accelerators += n
	}
	return accelerators, len(t.members)
}

// totalStopped returns the number of tasks in all failure domains that ended before
// their run time.
func (t *tracker) totalStopped() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := 0
	for _, n := range t.stopped {
		sum += n
	}
	return sum
}
