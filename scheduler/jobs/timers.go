package jobs

import (
	"container/heap"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// timer is a deadline of a run on the domain clock. Whether it still matters
// is checked when it fires.
type timer struct {
	at  time.Duration
	job string
	run uint64
}

// timerHeap is a heap of timers; it implements heap.Interface.
type timerHeap []timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(a, b int) bool {
	if h[a].at != h[b].at {
		return h[a].at < h[b].at
	}
	return h[a].job < h[b].job
}

// Swap implements heap.Interface.
func (h timerHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// runDeadline returns when an active run must have left its present phase.
func (c *Controller) runDeadline(j *job) (time.Duration, bool) {
	switch {
	case j.Status == structs.JobReserved:
		return j.started + c.cfg.PrepareTimeout, true
	case j.Status == structs.JobStopping && !j.halt:
		return j.deadline, true
	}
	return 0, false
}

// arm sets the timer of a run that has a deadline.
func (c *Controller) arm(j *job) {
	if at, ok := c.runDeadline(j); ok {
		heap.Push(&c.timers, timer{at: at, job: j.ID, run: j.Run})
	}
}

// fireTimers stops the gangs whose deadline is over.
func (c *Controller) fireTimers(now time.Duration, out []Command) []Command {
	clock := c.Clock(now)
	for len(c.timers) > 0 && c.timers[0].at <= clock {
		t := heap.Pop(&c.timers).(timer)
		j := c.state.jobs[t.job]
		if j == nil || j.Run != t.run {
			continue
		}
		at, ok := c.runDeadline(j)
		if !ok || at > clock {
			continue
		}
		out = append(out, c.command(now, &StopGang{Job: j.ID, Run: j.Run, Unprepared: c.unprepared(j)}))
		t.at = clock + c.cfg.Retry
		heap.Push(&c.timers, t)
	}
	return out
}

// unprepared lists the workers of a reserved gang that have not prepared.
func (c *Controller) unprepared(j *job) []string {
	if j.Status != structs.JobReserved {
		return nil
	}
	var list []string
	g := c.gangs[j.ID]
	for i, m := range j.Members {
		if g == nil || g.run != j.Run || !g.prepared[i] {
			list = append(list, m.Worker)
		}
	}
	return list
}
