package target

import (
	"sync"
	"time"
)

// memberID is one task: the member of a gang on one worker.
type memberID struct {
	job    string
	run    uint64
	worker string
}

// gang is what the workers run of one job.
type gang struct {
	run          uint64
	accelerators int
	lastStart    time.Time
}

// tracker knows what all workers run.
type tracker struct {
	mu      sync.Mutex
	members map[memberID]int
	gangs   map[string]*gang
	// running counts the accelerators in use by failure domain.
	running map[string]int
	// forced counts tasks that a worker ended because its lease was over.
	forced map[string]int
	// stopped counts all tasks that ended before their time.
	stopped map[string]int
	// terms are the highest terms seen in orders with a lease, and since when.
	terms  map[string]uint64
	termAt map[string]time.Time
}

func newTracker() *tracker {
	return &tracker{
		members: map[memberID]int{}, gangs: map[string]*gang{}, running: map[string]int{}, forced: map[string]int{},
		stopped: map[string]int{}, terms: map[string]uint64{}, termAt: map[string]time.Time{},
	}
}

func (t *tracker) started(domain string, m memberID, accelerators int) {
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

func (t *tracker) ended(domain string, m memberID, stopped, forced bool) {
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

// ordered notes the term of orders that carry a lease.
func (t *tracker) ordered(domain string, term uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term > t.terms[domain] {
		t.terms[domain] = term
		t.termAt[domain] = time.Now()
	}
}

func (t *tracker) term(domain string) (uint64, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.terms[domain], t.termAt[domain]
}

// complete returns when the last member of a gang started.
func (t *tracker) complete(job string, accelerators int) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.gangs[job]
	if g == nil || g.accelerators < accelerators {
		return time.Time{}, false
	}
	return g.lastStart, true
}

// counts returns the accelerators in use, the tasks that ended before their
// time and those of them that ended with the lease.
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

// allStopped returns the tasks of all failure domains that ended before their time.
func (t *tracker) allStopped() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := 0
	for _, n := range t.stopped {
		sum += n
	}
	return sum
}
