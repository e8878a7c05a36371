package serving

import (
	"slices"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// measure computes the results of a finished run.
func (s *simulation) measure() Row {
	row := Row{Name: s.variant.name(), Requests: len(s.list), Refusals: map[structs.Code]int{}}
	for _, e := range s.order {
		row.MaxOpen = max(row.MaxOpen, e.maxOpen)
		row.MaxLive = max(row.MaxLive, e.maxLive)
	}
	s.countBreaches(&row)
	s.measureDeadlines(&row)
	s.measureLatency(&row)
	row.Recovery = s.recovery()
	return row
}

// countBreaches counts broken promises, refusals and retries.
func (s *simulation) countBreaches(row *Row) {
	first, more := 0, 0
	for _, r := range s.list {
		first += min(1, r.sends)
		more += max(0, r.sends-1)
		if r.wrong || r.finals > 1 {
			row.Wrong++
		}
		if r.finals == 0 {
			row.Lost++
		}
		if s.streams[r.stream].nonIdempotent && r.runs > 1 {
			row.Doubled++
		}
		if r.answered || r.finals == 0 {
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

func (r *request) good() bool { return r.answered && r.ended <= r.deadline }

// kind names the length of a request; the class may be a wrong label.
func (s *simulation) kind(r *request) string {
	switch {
	case s.streams[r.stream].bulk():
		return kindLong
	case s.streams[r.stream].short():
		return kindShort
	}
	return kindMiddle
}

const (
	kindShort  = "short"
	kindMiddle = "middle"
	kindLong   = "long"
)

// atCrest reports whether the load was above the base when the request arrived.
func (r *request) atCrest() bool { return r.arrived >= rampStart && r.arrived < rampEnd }

func (s *simulation) measureDeadlines(row *Row) {
	total, good := map[string]int{}, map[string]int{}
	crest, crestGood := 0, 0
	useful := 0.0
	for _, r := range s.list {
		kind := s.kind(r)
		total[kind]++
		if r.good() {
			good[kind]++
		}
		if kind == kindShort && r.atCrest() {
			crest++
			if r.good() {
				crestGood++
			}
		}
		if r.good() && r.ended >= crestStart && r.ended < crestEnd {
			useful += r.work.Seconds()
		}
	}
	row.UrgentInDeadline = ratio(good[kindShort], total[kindShort])
	row.NormalInDeadline = ratio(good[kindMiddle], total[kindMiddle])
	row.BulkInDeadline = ratio(good[kindLong], total[kindLong])
	row.CrestInDeadline = ratio(crestGood, crest)
	slots := float64(s.options.Executors * executorSlots)
	row.Goodput = useful / slots / (crestEnd - crestStart).Seconds()
}

func (s *simulation) measureLatency(row *Row) {
	var short, behind, waits, bulk []time.Duration
	for _, r := range s.list {
		if !r.answered {
			continue
		}
		latency := r.ended - r.arrived
		switch {
		case r.bulk:
			bulk = append(bulk, latency)
		case s.kind(r) == kindShort:
			short = append(short, latency)
			if r.behindLong {
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

// recovery returns how long after the crest requests still failed.
func (s *simulation) recovery() time.Duration {
	const window = 500 * time.Millisecond
	const tolerated = 0.02
	windows := int(loadEnd / window)
	total, bad := make([]int, windows+1), make([]int, windows+1)
	for _, r := range s.list {
		if r.bulk {
			continue
		}
		w := int(r.arrived / window)
		total[w]++
		if !r.good() {
			bad[w]++
		}
	}
	for w := windows; w >= int(rampEnd/window); w-- {
		if ratio(bad[w], total[w]) > tolerated {
			return time.Duration(w+1)*window - rampEnd
		}
	}
	return 0
}
