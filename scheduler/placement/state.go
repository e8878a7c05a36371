package placement

import (
	"slices"
	"strings"
	"time"

	"cranberrydrum.dev/scheduler/guarantee"
	"cranberrydrum.dev/scheduler/structs"
)

// worker is the occupancy of one worker.
type worker struct {
	id     string
	rack   int
	usable guarantee.Mask // empty if quarantined
	free   guarantee.Mask // usable and held by no job
	fixed  guarantee.Mask // held by jobs inside their guarantee that do not stop
	jobs   []occupant     // sorted by job ID
	// level is the largest free cell under which the rack counts the worker.
	level int
	// The rest holds only within a round.
	taken     guarantee.Mask // given to a job in this round
	hold      guarantee.Mask // reserved in this round
	holdUntil time.Duration
	touched   bool
	// wholeAt is when the whole worker is expected to be free, in round wholeStamp.
	wholeAt    time.Duration
	wholeStamp uint64
}

// occupant is a job on a worker.
type occupant struct {
	job  *job
	mask guarantee.Mask
}

// avail returns the accelerators that a new job may take.
func (w *worker) avail() guarantee.Mask {
	return w.free &^ (w.taken | w.hold)
}

// rack counts the workers of a rack by their largest available cell.
type rack struct {
	workers []int
	whole   int // workers that are available as a whole
	healthy int // workers that are whole when idle
	levels  [cellLevels + 1]int
}

// job is a waiting or running job.
type job struct {
	id       string
	spec     structs.JobSpec
	customer *customer
	running  bool
	since    time.Duration
	estimate time.Duration
	avoid    []string

	members      []structs.Member
	parts        []guarantee.Part
	complete     bool // all members are on known workers
	held         int
	order        uint64
	started      time.Duration
	checkpointed time.Duration
	stopping     bool
	stopBy       time.Duration
	inside       bool
	claims       bool // is one of the claims, only within a rebuild

	// stamp is the number of the round that has decided on the job, and victim
	// the one that has chosen it to stop.
	stamp, victim uint64
	victimBy      time.Duration // when the grace as a victim ends
}

// avoids reports whether the job must not run on a worker.
func (j *job) avoids(w *worker) bool {
	return len(j.avoid) > 0 && slices.Contains(j.avoid, w.id)
}

// customer is a tenant with its queue.
type customer struct {
	name    string
	weight  int
	quota   int
	account int // index in the ledger, or noAccount
	held    int // accelerators held by running jobs
	inside  int // accelerators held by jobs inside the guarantee
	jobs    int
	buckets []*bucket // sorted by priority and size
	// roundHeld and roundInside are added in the current round.
	roundHeld, roundInside int
	blocked                bool
	// turn is the job that the customer would run next.
	turn struct {
		bucket *bucket
		job    *job
		level  structs.Priority
	}
}

// noWorker marks a worker that was removed.
const noWorker = -1

// noAccount marks a customer without a guarantee.
const noAccount = -1

// bucket holds the waiting jobs of one customer, priority and gang size, the
// oldest first. Jobs of a bucket differ only in estimate and avoided workers,
// so a round examines only its head.
type bucket struct {
	priority structs.Priority
	size     int
	jobs     []*job
	// cursor and tried hold only within a phase of a round.
	cursor, tried int
}

// compareQueued orders waiting jobs by age.
func compareQueued(a, b *job) int {
	if a.since != b.since {
		if a.since < b.since {
			return -1
		}
		return 1
	}
	return strings.Compare(a.id, b.id)
}

// bucketFor returns the bucket of a job, which is created if needed.
func (c *customer) bucketFor(j *job) *bucket {
	at, found := slices.BinarySearchFunc(c.buckets, j, func(b *bucket, j *job) int {
		if b.priority != j.spec.Priority {
			return int(j.spec.Priority) - int(b.priority)
		}
		return b.size - j.spec.Accelerators
	})
	if !found {
		b := &bucket{priority: j.spec.Priority, size: j.spec.Accelerators}
		c.buckets = slices.Insert(c.buckets, at, b)
	}
	return c.buckets[at]
}

// enqueue adds a waiting job.
func (c *customer) enqueue(j *job) {
	b := c.bucketFor(j)
	at, _ := slices.BinarySearchFunc(b.jobs, j, compareQueued)
	b.jobs = slices.Insert(b.jobs, at, j)
}

// dequeue removes a waiting job.
func (c *customer) dequeue(j *job) {
	b := c.bucketFor(j)
	at, found := slices.BinarySearchFunc(b.jobs, j, compareQueued)
	if found {
		b.jobs = slices.Delete(b.jobs, at, at+1)
	}
	if len(b.jobs) == 0 {
		c.buckets = slices.DeleteFunc(c.buckets, func(o *bucket) bool { return o == b })
	}
}

// fits reports whether the quota allows n more accelerators.
func (c *customer) fits(n int) bool {
	return c.quota == unlimited || c.held+c.roundHeld+n <= c.quota
}

// less reports whether c holds a smaller weighted share than d.
func (c *customer) less(d *customer) bool {
	mine := (c.held + c.roundHeld) * d.weight
	theirs := (d.held + d.roundHeld) * c.weight
	if mine != theirs {
		return mine < theirs
	}
	return c.name < d.name
}

// cellLevels is the number of cell sizes of a worker, from 1 to 64 accelerators.
const cellLevels = 7
