package placement

import (
	"math/bits"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/guarantee"
	"cranberrydrum.dev/scheduler/structs"
)

// classLimits are the largest gang sizes, in accelerators, of the classes in the
// table.
var classLimits = []int{1, 4, 8, 32, 64}

// metrics collects the results of one simulation run.
type metrics struct {
	completionTimes [5][]time.Duration
	urgentWaits     []time.Duration
	lostHours       float64
	preemptions     int
	probes          int
	violations      int
	refused         int
	unfinished      int
	doubleUse       int
	// unusableSeconds is the integral over time of the share of free accelerators
	// that the largest waiting gang cannot use. observedSeconds is the
	// length of the integration interval.
	unusableSeconds, observedSeconds float64
}

// recordCompletion records the time from submission to completion of a job.
func (m *metrics) recordCompletion(j *simJob, now time.Duration) {
	class := slices.IndexFunc(classLimits, func(limit int) bool { return j.arrival.spec.Accelerators <= limit })
	if class >= 0 {
		m.completionTimes[class] = append(m.completionTimes[class], now-j.arrival.at)
	}
}

// recordStart records how long an urgent job waited for its first start, unless
// it waited for the quota of its customer.
func (m *metrics) recordStart(j *simJob, now time.Duration) {
	if j.firstStartWait >= 0 {
		return
	}
	j.firstStartWait = now - j.arrival.at
	if j.arrival.spec.Priority == structs.PriorityUrgent && !j.waitedForQuota {
		m.urgentWaits = append(m.urgentWaits, j.firstStartWait)
	}
}

// recordPreemption counts a preemption and the accelerator-hours that it lost.
func (m *metrics) recordPreemption(j *simJob, lost time.Duration) {
	m.preemptions++
	m.lostHours += lost.Hours() * float64(j.arrival.spec.Accelerators)
}

// addFragmentation adds a span without state changes to the fragmentation
// integral. Only time within the workload's length and with a waiting gang and free
// accelerators counts.
func (m *metrics) addFragmentation(s *sim, span time.Duration) {
	if span <= 0 || s.now > s.length {
		return
	}
	largest := 0
	for _, j := range s.jobs {
		if j.running == nil {
			largest = max(largest, j.arrival.spec.Accelerators)
		}
	}
	free, usable := s.usableAccelerators(largest)
	if largest == 0 || free == 0 {
		return
	}
	m.observedSeconds += span.Seconds()
	if usable >= largest {
		return
	}
	m.unusableSeconds += span.Seconds() * float64(free-usable) / float64(free)
}

// usableAccelerators returns the number of free accelerators, and how many of them
// a gang that fits into a rack could use: the largest free cell of one worker, or
// the completely free workers of one rack.
func (s *sim) usableAccelerators(gang int) (free, usable int) {
	rack, wholeInRack := "", 0
	full := guarantee.FullMask(acceleratorsPerWorker)
	for _, w := range s.workload.workers {
		mask := s.free[w.ID]
		free += bits.OnesCount64(mask)
		if w.Rack != rack {
			rack, wholeInRack = w.Rack, 0
		}
		if mask == full {
			wholeInRack += acceleratorsPerWorker
		}
		if gang < acceleratorsPerWorker && mask != 0 {
			usable = max(usable, 1<<guarantee.LargestCell(mask))
		}
		usable = max(usable, wholeInRack)
	}
	return free, usable
}
