package fleet

import (
	"cmp"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/workload"
)

// backlog holds the jobs that have not ended, in the order of their acceptance. A round visits
// each of them once and then only the steps that wait, so that occurrences that are not due and
// steps that have nothing to start cost nothing.
type backlog struct {
	jobs  []*activeJob
	known map[string]*activeJob
	// ended holds the ended jobs about which other records have not been removed yet.
	ended []*workload.Job
	// turns holds, for each customer, the sequence number of the last job that had a turn while
	// there were too many for one round.
	turns map[string]uint64
}

// activeJob is a job that has not ended.
type activeJob struct {
	job *workload.Job
	// seenAt is when this leader learned of the job.
	seenAt time.Duration
	// gpus is the number of accelerators that its widest step needs.
	gpus int64
	// resume holds, for each step, the occurrence at which the next round goes on after those that
	// have waited longest. It is nil until a round leaves some of them out.
	resume []int
}

func newBacklog() *backlog {
	return &backlog{known: map[string]*activeJob{}, turns: map[string]uint64{}}
}

// add adds jobs that are not known yet.
func (b *backlog) add(now time.Duration, jobs []*workload.Job) {
	slices.SortFunc(jobs, func(x, y *workload.Job) int { return cmp.Compare(x.Sequence, y.Sequence) })
	for _, j := range jobs {
		if b.known[j.ID] == nil {
			a := &activeJob{job: j, seenAt: now, gpus: widestGPU(j)}
			b.known[j.ID] = a
			b.jobs = append(b.jobs, a)
		}
	}
}

// rebuild replaces the jobs by those of the state. What is known of the others is kept.
func (b *backlog) rebuild(now time.Duration, state *workload.State) {
	var fresh []*workload.Job
	state.ActiveJobs(func(j *workload.Job) {
		if a := b.known[j.ID]; a != nil && a.job.Sequence == j.Sequence {
			a.job = j
		} else {
			delete(b.known, j.ID)
			fresh = append(fresh, j)
		}
	})
	b.jobs = slices.DeleteFunc(b.jobs, func(a *activeJob) bool { return b.known[a.job.ID] != a })
	b.add(now, fresh)
}

// removeEnded removes the jobs that have ended.
func (b *backlog) removeEnded() {
	b.jobs = slices.DeleteFunc(b.jobs, func(a *activeJob) bool {
		if !a.job.Phase.Ended() {
			return false
		}
		delete(b.known, a.job.ID)
		b.ended = append(b.ended, a.job)
		return true
	})
}

// takeEnded returns the jobs that were removed since the last call.
func (b *backlog) takeEnded() []*workload.Job {
	ended := b.ended
	b.ended = nil
	return ended
}

// waitingSince returns since when the first steps of an occurrence have waited: since it was due
// or since this leader learned of the job, whichever is later.
func (a *activeJob) waitingSince(now, unixOffset time.Duration, occurrence int) time.Duration {
	return min(now, max(a.seenAt, a.job.Spec.DueAt(occurrence)-unixOffset))
}

// resumeAt returns the occurrence at which a round goes on with a step.
func (a *activeJob) resumeAt(step int) int {
	if a.resume == nil {
		return 0
	}
	return a.resume[step]
}

func (a *activeJob) setResume(step, occurrence int) {
	if a.resume == nil {
		if occurrence == 0 {
			return
		}
		a.resume = make([]int, len(a.job.Spec.Steps))
	}
	a.resume[step] = occurrence
}
