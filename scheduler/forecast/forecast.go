package forecast

import (
	"math"
	"time"
)

// Never is the expiry of work that keeps its turn whatever its age.
const Never = time.Duration(math.MaxInt64)

// Amount is capacity, demand, or work: then it is in accelerator-seconds and core-seconds.
type Amount struct{ Accelerators, Cores float64 }

// Add returns the sum.
func (a Amount) Add(b Amount) Amount {
	return Amount{Accelerators: a.Accelerators + b.Accelerators, Cores: a.Cores + b.Cores}
}

// Scale returns a multiple.
func (a Amount) Scale(factor float64) Amount {
	return Amount{Accelerators: a.Accelerators * factor, Cores: a.Cores * factor}
}

// share returns the part of a capacity that an amount takes, by the scarcer of both. What the
// capacity does not contain at all is not counted.
func (a Amount) share(capacity Amount) float64 {
	share := 0.0
	if capacity.Accelerators > 0 {
		share = a.Accelerators / capacity.Accelerators
	}
	if capacity.Cores > 0 {
		share = max(share, a.Cores/capacity.Cores)
	}
	return share
}

// maxSize bounds the sizes that are told apart.
const maxSize = 6

// Size returns how often a demand fits on an executor, as a power of two, at most maxSize.
// Small tasks fit where others do not, and start before them.
func (a Amount) Size(executor Amount) int {
	share := a.share(executor)
	if share <= 0 {
		return maxSize
	}
	return int(min(max(-math.Log2(share), 0), maxSize))
}

// Tasks are equal tasks that wait.
type Tasks struct {
	Count int
	// Need is what one task occupies, RunTime for how long.
	Need    Amount
	RunTime time.Duration
	// Gang is set if the tasks start together.
	Gang bool
}

// Work returns the work of tasks on executors of a given capacity. A gang whose tasks take
// more than half of an executor occupies whole executors, because they are kept free for it.
func (t *Tasks) Work(executor Amount) Amount {
	need := t.Need
	if share := need.share(executor); t.Gang && share > 0.5 && share < 1 {
		need = need.Scale(1 / share)
	}
	return need.Scale(float64(t.Count) * t.RunTime.Seconds())
}

// Pool holds the sums of the work that waits for one pool, by level. A level comes before
// all higher ones.
type Pool struct {
	capacity Amount
	work     map[int]Amount
	total    Amount
}

// NewPool returns a pool of a capacity for which no work waits.
func NewPool(capacity Amount) *Pool { return &Pool{capacity: capacity, work: map[int]Amount{}} }

// Queue adds waiting work. It is called in order of precedence. Work that expires before its
// turn is not added, because it takes no capacity from what comes after it; the wait for its
// turn is the modelled one times factor. Queue reports whether the work was added.
func (p *Pool) Queue(level int, work Amount, expires time.Duration, factor float64) bool {
	if expires != Never && float64(expires) < factor*float64(p.timeFor(p.total)) {
		return false
	}
	p.Add(level, work)
	return true
}

// Add adds work at the end of a level.
func (p *Pool) Add(level int, work Amount) {
	p.work[level] = p.work[level].Add(work)
	p.total = p.total.Add(work)
}

// Wait returns the modelled wait of work that is submitted to a level now, with other work
// ahead of it that is not in the sums.
func (p *Pool) Wait(level int, other Amount) time.Duration {
	ahead := other
	for l, work := range p.work {
		if l <= level {
			ahead = ahead.Add(work)
		}
	}
	return p.timeFor(ahead)
}

// TimeFor returns the time that the whole pool needs for some work.
func (p *Pool) TimeFor(work Amount) time.Duration { return p.timeFor(work) }

// maxWait bounds a wait, so that sums with it stay in range.
const maxWait = time.Duration(math.MaxInt64 / 16)

func (p *Pool) timeFor(work Amount) time.Duration {
	return time.Duration(min(work.share(p.capacity)*float64(time.Second), float64(maxWait)))
}
