package serving

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// measure computes the results of a completed simulation.
func (s *simulation) measure() Row {
	row := Row{Name: s.variant.name(), Requests: len(s.requestList), Refusals: map[structs.Code]int{}}
	for _, e := range s.executorList {
		row.MaxOpen = max(row.MaxOpen, e.maxOpen)
		row.MaxLive = max(row.MaxLive, e.maxLive)
	}
	s.countViolations(&row)
	s.measureDeadlines(&row)
	s.measureLatency(&row)
	row.Recovery = s.recovery()
	return row
}

// countViolations counts violated invariants, refusals and retries.
func (s *simulation) countViolations(row *Row) {
	first, more := 0, 0
	for _, r := range s.requestList {
		first += min(1, r.sends)
		more += max(0, r.sends-1)
		if r.wrong || r.finalReplies > 1 {
			row.Wrong++
		}
		if r.finalReplies == 0 {
			row.Lost++
		}
		if s.streams[r.streamIndex].nonIdempotent && r.runs > 1 {
			row.Doubled++
		}
		if r.answered || r.finalReplies == 0 {
			continue
		}
		row.Refusals[r.refusal.Code]++
		if r.refusal.Outcome == structs.OutcomeNotRun && r.runs > 0 {
			row.FalseNotRun++
		}
	}
	row.RetryRatio = ratio(more, first)
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func (r *request) answeredInTime() bool { return r.answered && r.ended <= r.deadline }

// lengthOf classifies a request by the mean service time of its stream, because its
// class may be mislabelled.
func (s *simulation) lengthOf(r *request) string {
	switch {
	case s.streams[r.streamIndex].isBulk():
		return lengthLong
	case s.streams[r.streamIndex].isShort():
		return lengthShort
	}
	return lengthMedium
}

const (
	lengthShort  = "short"
	lengthMedium = "medium"
	lengthLong   = "long"
)

// arrivedAtPeak reports whether the request arrived while the load was above
// baseLoad.
func (r *request) arrivedAtPeak() bool { return r.arrived >= rampStart && r.arrived < rampEnd }

func (s *simulation) measureDeadlines(row *Row) {
	total, inTime := map[string]int{}, map[string]int{}
	peak, peakInTime := 0, 0
	useful := 0.0
	for _, r := range s.requestList {
		length := s.lengthOf(r)
		total[length]++
		if r.answeredInTime() {
			inTime[length]++
		}
		if length == lengthShort && r.arrivedAtPeak() {
			peak++
			if r.answeredInTime() {
				peakInTime++
			}
		}
		if r.answeredInTime() && r.ended >= peakStart && r.ended < peakEnd {
			useful += r.work.Seconds()
		}
	}
	row.UrgentInDeadline = ratio(inTime[lengthShort], total[lengthShort])
	row.NormalInDeadline = ratio(inTime[lengthMedium], total[lengthMedium])
	row.BulkInDeadline = ratio(inTime[lengthLong], total[lengthLong])
	row.CrestInDeadline = ratio(peakInTime, peak)
	slots := float64(s.options.Executors * executorSlots)
	row.Goodput = useful / slots / (peakEnd - peakStart).Seconds()
}

func (s *simulation) measureLatency(row *Row) {
	var short, behind, waits, bulk []time.Duration
	for _, r := range s.requestList {
		if !r.answered {
			continue
		}
		latency := r.ended - r.arrived
		switch {
		case r.bulk:
			bulk = append(bulk, latency)
		case s.lengthOf(r) == lengthShort:
			short = append(short, latency)
			if r.behindBulk {
				behind = append(behind, latency)
				waits = append(waits, r.startedAt-r.arrived)
			}
		}
	}
	row.ShortP50 = quantile(short, 0.5)
	row.ShortP99 = quantile(short, 0.99)
	row.BehindP99 = quantile(behind, 0.99)
	row.BehindWaitP99 = quantile(waits, 0.99)
	row.BulkP50 = quantile(bulk, 0.5)
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}

// recovery returns the time from the end of the peak to the end of the last window
// in which more than maxFailureShare of the urgent and normal requests failed.
func (s *simulation) recovery() time.Duration {
	const window = 500 * time.Millisecond
	const maxFailureShare = 0.02
	windows := int(loadEnd / window)
	total, bad := make([]int, windows+1), make([]int, windows+1)
	for _, r := range s.requestList {
		if r.bulk {
			continue
		}
		w := int(r.arrived / window)
		total[w]++
		if !r.answeredInTime() {
			bad[w]++
		}
	}
	for w := windows; w >= int(rampEnd/window); w-- {
		if ratio(bad[w], total[w]) > maxFailureShare {
			return time.Duration(w+1)*window - rampEnd
		}
	}
	return 0
}
