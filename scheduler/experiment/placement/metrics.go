package placement

import (
	"math/bits"
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/guarantee"
	"cranberrydrum.dev/scheduler/structs"
)

// classLimits are the largest gang sizes of the classes in the table.
var classLimits = []int{1, 4, 8, 32, 64}

// metrics collects the results of one run.
type metrics struct {
	completion [5][]time.Duration
	urgent     []time.Duration
	lostHours  float64
	preempts   int
	probes     int
	violations int
	refused    int
	unfinished int
	doubleUse  int
	// unusable integrates the share of free accelerators that the largest
	// waiting gang cannot use, over the time observed.
	unusable, observed float64
}

// completed records the completion time of a job.
func (m *metrics) completed(j *simJob, now time.Duration) {
	class := slices.IndexFunc(classLimits, func(limit int) bool { return j.arrival.spec.Accelerators <= limit })
	if class >= 0 {
		m.completion[class] = append(m.completion[class], now-j.arrival.at)
	}
}

// started records the first start of an urgent job.
func (m *metrics) started(j *simJob, now time.Duration) {
	if j.firstWait >= 0 {
		return
	}
	j.firstWait = now - j.arrival.at
	if j.arrival.spec.Priority == structs.PriorityUrgent && !j.overQuota {
		m.urgent = append(m.urgent, j.firstWait)
	}
}

// preempted records the work lost by a preemption.
func (m *metrics) preempted(j *simJob, lost time.Duration) {
	m.preempts++
	m.lostHours += lost.Hours() * float64(j.arrival.spec.Accelerators)
}

// elapse integrates fragmentation over a time in which nothing changed.
func (m *metrics) elapse(s *sim, span time.Duration) {
	if span <= 0 || s.now > s.length {
		return
	}
	largest := 0
	for _, j := range s.jobs {
		if j.running == nil {
			largest = max(largest, j.arrival.spec.Accelerators)
		}
	}
	free, usable := s.usable(largest)
	if largest == 0 || free == 0 {
		return
	}
	m.observed += span.Seconds()
	if usable >= largest {
		return
	}
	m.unusable += span.Seconds() * float64(free-usable) / float64(free)
}

// usable returns the free accelerators, and how many of them a gang that fits
// into a rack could use: the largest free cell of one worker, or the whole
// workers of one rack.
func (s *sim) usable(n int) (free, usable int) {
	rack, inRack := "", 0
	full := guarantee.FullMask(perWorker)
	for _, w := range s.load.workers {
		mask := s.free[w.ID]
		free += bits.OnesCount64(mask)
		if w.Rack != rack {
			rack, inRack = w.Rack, 0
		}
		if mask == full {
			inRack += perWorker
		}
		if n < perWorker && mask != 0 {
			usable = max(usable, 1<<guarantee.LargestCell(mask))
		}
		usable = max(usable, inRack)
	}
	return free, usable
}
