package placement

import (
	"slices"
	"strings"
	"time"

	"cranberrydrum.dev/scheduler/guarantee"
	"cranberrydrum.dev/scheduler/structs"
)

// worker is a worker with its occupancy.
type worker struct {
	id        string
	rack      int
	usable    guarantee.Mask // empty if quarantined
	free      guarantee.Mask // usable and held by no job
	protected guarantee.Mask // held by jobs inside their guarantee that are not stopping
	jobs      []occupant     // sorted by job ID
	// level is the level of the largest available cell, or -1 if there is none. It
	// selects the entry of rack.levels that counts the worker.
	level int
	// The fields below are valid only within a round.
	assigned      guarantee.Mask // assigned to a job in this round
	reserved      guarantee.Mask // reserved for a gang in this round
	reservedUntil time.Duration  // earliest start of the reservations on this worker
	modified      bool           // must be rolled back at the end of the round
	// wholeFreeAt is when the whole worker is expected to be free, as computed in
	// round wholeAtRound.
	wholeFreeAt  time.Duration
	wholeAtRound uint64
}

// occupant is a job on a worker with the accelerators that it holds there.
type occupant struct {
	job  *job
	mask guarantee.Mask
}

// available returns the accelerators that a new job may be given.
func (w *worker) available() guarantee.Mask {
	return w.free &^ (w.assigned | w.reserved)
}

// rack is a rack with counts of its workers. levels[l+1] is the number of workers
// whose largest available cell has level l; levels[0] counts those without any.
type rack struct {
	workers []int
	whole   int // workers that are available as a whole
	healthy int // workers of which all accelerators are usable
	levels  [cellLevels + 1]int
}

// job is a waiting or running job.
type job struct {
	id       string
	spec     structs.JobSpec
	customer *customer
	running  bool
	queuedAt time.Duration // when the job was first queued
	estimate time.Duration
	avoid    []string // workers on which the job has failed

	members       []structs.Member
	parts         []guarantee.Part
	complete      bool   // all members are on known workers
	held          int    // number of accelerators of all members
	reservedIndex uint64 // log index of the reservation
	started       time.Duration
	checkpointed  time.Duration
	stopping      bool
	stopBy        time.Duration // when the grace period ends, if stopping
	inside        bool          // inside the guarantee of its customer
	isClaimant    bool          // set for jobs in Scheduler.claims, valid only within a rebuild

	// decidedRound is the number of the last round that decided on the job, and
	// victimRound that of the last round that preempted it.
	decidedRound, victimRound uint64
	victimStopBy              time.Duration // when the grace period of that preemption ends
}

// avoids reports whether the job must not be placed on a worker.
func (j *job) avoids(w *worker) bool {
	return len(j.avoid) > 0 && slices.Contains(j.avoid, w.id)
}

// customer is a tenant with its queue.
type customer struct {
	name    string
	weight  int
	quota   int
	account int       // index in the ledger, or noAccount
	held    int       // accelerators held by running jobs
	inside  int       // accelerators held by jobs inside the guarantee
	jobs    int       // number of waiting and running jobs
	buckets []*bucket // sorted by priority and size
	// roundHeld and roundInside are what the current round adds to held and
	// inside.
	roundHeld, roundInside int
	// blocked is set if a starving job of the customer waits for quota. No further
	// jobs of the customer are placed in the fair-share phase of the round then.
	blocked bool
	// next is the next job of the customer in the fair-share phase, with its bucket
	// and effective priority.
	next struct {
		bucket   *bucket
		job      *job
		priority structs.Priority
	}
}

// noWorker marks a worker that was removed.
const noWorker = -1

// noAccount marks a customer without a guarantee.
const noAccount = -1

// bucket holds the waiting jobs of one customer, priority and gang size, the
// oldest first. For placement, jobs of a bucket differ only in estimate and avoided
// workers, so a round examines only the first few.
type bucket struct {
	priority structs.Priority
	size     int
	jobs     []*job
	// cursor is the position of the next job and tried the number of skipped jobs.
	// They are valid only within one phase of a round.
	cursor, tried int
}

// compareQueued orders waiting jobs by age.
func compareQueued(a, b *job) int {
	if a.queuedAt != b.queuedAt {
		if a.queuedAt < b.queuedAt {
			return -1
		}
		return 1
	}
	return strings.Compare(a.id, b.id)
}

// bucketFor returns the bucket of a job and creates it if needed.
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

// dequeue removes a waiting job, and its bucket if that is empty then.
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

// withinQuota reports whether the quota allows n more accelerators.
func (c *customer) withinQuota(n int) bool {
	return c.quota == unlimited || c.held+c.roundHeld+n <= c.quota
}

// hasSmallerShare reports whether c holds fewer accelerators per weight than d. Of
// equal shares, the customer whose name sorts first counts as the smaller.
func (c *customer) hasSmallerShare(d *customer) bool {
	mine := (c.held + c.roundHeld) * d.weight
	theirs := (d.held + d.roundHeld) * c.weight
	if mine != theirs {
		return mine < theirs
	}
	return c.name < d.name
}

// cellLevels is the number of cell sizes of a worker, from 1 to 64 accelerators.
const cellLevels = 7
