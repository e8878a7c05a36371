package workload

import (
	"math/bits"
	"time"
)

// progress counts what is left of a job, so that a command and a decision cost by what they
// change and not by the size of the job. It is derived from the occurrences and not stored.
type progress struct {
	// dependents lists, for each step, the later steps that depend on it. It is nil if no step
	// depends on another.
	dependents [][]int32
	// waiting holds, for each step, the occurrences in which it waits: its dependencies are
	// done and it has idle tasks. running holds the occurrences with runs.
	waiting []occurrenceSet
	running occurrenceSet
	// runs counts the tasks with a run, attempts sums the highest run numbers of all tasks.
	runs, attempts int
	// waitingSteps counts the members of all sets in waiting.
	waitingSteps int
	steps        []stepProgress
}

// stepProgress sums up a step over all occurrences.
type stepProgress struct {
	// waiting counts the occurrences in which the step waits. idle and remaining sum up the
	// tasks of those in which its dependencies are done.
	waiting, idle, remaining int
	// measured and runTimes sum up StepState.Measured and StepState.RunTimes.
	measured int
	runTimes time.Duration
}

// occurrenceSet is a set of occurrences, a bit for each.
type occurrenceSet []uint64

const wordBits = 64

func wordsFor(occurrences int) int { return (occurrences + wordBits - 1) / wordBits }

func (s occurrenceSet) set(k int, member bool) {
	if member {
		s[k/wordBits] |= 1 << (k % wordBits)
	} else {
		s[k/wordBits] &^= 1 << (k % wordBits)
	}
}

// next returns the first member from an occurrence on that is below a limit, or limit.
func (s occurrenceSet) next(from, limit int) int {
	for from < limit {
		if word := s[from/wordBits] >> (from % wordBits); word != 0 {
			return min(from+bits.TrailingZeros64(word), limit)
		}
		from += wordBits - from%wordBits
	}
	return limit
}

// indexProgress derives the progress of a job from its occurrences.
func (j *Job) indexProgress() {
	steps, words := len(j.Spec.Steps), wordsFor(len(j.Occurrences))
	all := make(occurrenceSet, (steps+1)*words)
	p := &progress{steps: make([]stepProgress, steps), waiting: make([]occurrenceSet, steps), running: all[steps*words:]}
	for i := range p.waiting {
		p.waiting[i] = all[i*words : (i+1)*words]
	}
	p.dependents = dependentsOf(&j.Spec)
	j.progress = p
	for k := range j.Occurrences {
		o := &j.Occurrences[k]
		o.runs = 0
		for i := range o.Steps {
			j.indexStep(k, i)
		}
		p.running.set(k, o.runs > 0)
	}
}

// indexStep adds a step of one occurrence to the progress.
func (j *Job) indexStep(k, i int) {
	p, o := j.progress, &j.Occurrences[k]
	s := &o.Steps[i]
	s.idle, s.blockers = 0, 0
	for n := range s.Tasks {
		t := &s.Tasks[n]
		p.attempts += t.LastRun
		if t.Run != nil {
			o.runs++
			p.runs++
		} else if !t.Done {
			s.idle++
		}
	}
	for _, d := range j.Spec.Steps[i].DependsOn {
		if o.Steps[d].Remaining > 0 {
			s.blockers++
		}
	}
	p.steps[i].measured += s.Measured
	p.steps[i].runTimes += s.RunTimes
	j.countStep(k, i, 1)
}

func dependentsOf(s *Spec) [][]int32 {
	var dependents [][]int32
	for i := range s.Steps {
		for _, d := range s.Steps[i].DependsOn {
			if dependents == nil {
				dependents = make([][]int32, len(s.Steps))
			}
			dependents[d] = append(dependents[d], int32(i))
		}
	}
	return dependents
}

// countStep adds a step of one occurrence to the sums, or takes it out if sign is -1. Each change
// of a step is between the two.
func (j *Job) countStep(k, i, sign int) {
	s, sum := &j.Occurrences[k].Steps[i], &j.progress.steps[i]
	if s.Remaining == 0 || s.blockers > 0 {
		return
	}
	sum.remaining += sign * s.Remaining
	sum.idle += sign * int(s.idle)
	if s.idle > 0 {
		sum.waiting += sign
		j.progress.waitingSteps += sign
		j.progress.waiting[i].set(k, sign > 0)
	}
}

// countRun records that a task of an occurrence got a run, or has none any more if sign is -1.
func (j *Job) countRun(k, sign int) {
	o := &j.Occurrences[k]
	o.runs += int32(sign)
	j.progress.runs += sign
	j.progress.running.set(k, o.runs > 0)
}

// addIdle changes the number of idle tasks of a step.
func (j *Job) addIdle(k, i, change int) {
	j.countStep(k, i, -1)
	j.Occurrences[k].Steps[i].idle += int32(change)
	j.countStep(k, i, 1)
}

// unblock updates the steps that depend on a step that is done now.
func (j *Job) unblock(k, i int) {
	if j.progress.dependents == nil {
		return
	}
	for _, d := range j.progress.dependents[i] {
		j.Occurrences[k].Steps[d].blockers--
		j.countStep(k, int(d), 1)
	}
}

// HasRuns reports whether the job has runs that hold resources of executors.
func (j *Job) HasRuns() bool { return j.progress.runs > 0 }

// Attempts returns the sum of the highest run numbers of all tasks.
func (j *Job) Attempts() int { return j.progress.attempts }

// EachRun calls f for each run of the job.
func (j *Job) EachRun(f func(*Run)) {
	for k := j.progress.running.next(0, len(j.Occurrences)); k < len(j.Occurrences); k = j.progress.running.next(k+1, len(j.Occurrences)) {
		for i := range j.Occurrences[k].Steps {
			for n := range j.Occurrences[k].Steps[i].Tasks {
				if r := j.Occurrences[k].Steps[i].Tasks[n].Run; r != nil {
					f(r)
				}
			}
		}
	}
}

// HasWaitingSteps reports whether a step waits in any occurrence, due or not.
func (j *Job) HasWaitingSteps() bool { return j.progress.waitingSteps > 0 }

// WaitingSteps returns the number of occurrences in which a step waits for runs of idle tasks: the
// steps that it depends on are done. The first so many occurrences are due.
func (j *Job) WaitingSteps(step, due int) int {
	return max(0, j.progress.steps[step].waiting-j.untouched(step, due))
}

// untouched returns the number of occurrences that are not due in which a step waits all the same,
// since it depends on no other.
func (j *Job) untouched(step, due int) int {
	if len(j.Spec.Steps[step].DependsOn) > 0 {
		return 0
	}
	return len(j.Occurrences) - due
}

// NextWaiting returns the first occurrence from one on, below a limit, in which a step waits, or
// limit if there is none.
func (j *Job) NextWaiting(step, from, limit int) int {
	return j.progress.waiting[step].next(from, limit)
}

// DueTasks returns the tasks of a step whose dependencies are done: all that are not done, and
// those of them that are idle. The first so many occurrences are due; in the others
// nothing has begun.
func (j *Job) DueTasks(step, due int) (remaining, idle int) {
	sum, later := j.progress.steps[step], j.untouched(step, due)*j.Spec.Steps[step].Count
	return max(0, sum.remaining-later), max(0, sum.idle-later)
}

// MeasuredRuns returns the number of done runs of a step whose run time was measured, and the sum
// of these times.
func (j *Job) MeasuredRuns(step int) (int, time.Duration) {
	return j.progress.steps[step].measured, j.progress.steps[step].runTimes
}

// DueOccurrences returns the number of occurrences that are due at a Unix time. They are the first
// ones.
func (s *Spec) DueOccurrences(unix time.Duration) int {
	switch count := s.Occurrences(); {
	case unix < s.DueAt(0):
		return 0
	case s.Repeats == 0 || s.Interval <= 0:
		return count
	default:
		return int(min(time.Duration(count), (unix-s.FirstDue)/s.Interval+1))
	}
}
