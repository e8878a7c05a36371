package placement

import (
	"slices"
	"strconv"
	"strings"
	"time"

	sched "cranberrydrum.dev/scheduler/placement"
	"cranberrydrum.dev/scheduler/structs"
)

// Policy names a placement policy.
type Policy string

// Policies that are compared.
const (
	PolicyScheduler Policy = "cranberrydrum"
	PolicyFCFS      Policy = "fcfs-first-fit"
	PolicyQuota     Policy = "quota-without-shape"
)

// Options selects the load. Zero values select the defaults.
type Options struct {
	Size   Size
	Length time.Duration
	Seed   uint64
	// ErrorSigma is the sigma of the log-normal error of declared run times.
	ErrorSigma float64
	// Setting replaces the policy setting of the size.
	Setting structs.Policy
	// Policies are all three if empty.
	Policies []Policy
}

// Class holds the completion times of one range of gang sizes.
type Class struct {
	MaxGang   int
	Jobs      int
	Mean, P99 time.Duration
}

// Row is the result of one policy.
type Row struct {
	Policy  Policy
	Classes []Class
	// Fragmentation is the time-averaged share, 0 to 1, of free accelerators
	// that the largest waiting gang cannot use, while one waits.
	Fragmentation float64
	// LostHours are accelerator-hours lost by Preemptions.
	LostHours   float64
	Preemptions int
	// Probes counts jobs inside a free guarantee, and Violations those of them
	// that did not start within the grace.
	Probes, Violations int
	// UrgentP99 and UrgentMax are the times from submission to the decision to
	// start, without jobs that waited for the quota of their customer.
	UrgentP99, UrgentMax time.Duration
	Refused, Unfinished  int
	// DoubleUse counts accelerators given to two jobs and must be 0.
	DoubleUse int
}

// Table holds the results of all policies under the same load.
type Table struct {
	Options Options
	Rows    []Row
}

// Run compares policies under the same load. Equal options give equal tables.
func Run(o Options) Table {
	if o.Size == "" {
		o.Size = SizeKorbfrisch
	}
	if o.Length <= 0 {
		o.Length = day
	}
	if len(o.Policies) == 0 {
		o.Policies = []Policy{PolicyScheduler, PolicyFCFS, PolicyQuota}
	}
	t := Table{Options: o}
	for _, p := range o.Policies {
		s := newSim(generate(o), o.Length, newPolicy(p))
		s.loop()
		t.Rows = append(t.Rows, s.metrics.row(p))
	}
	return t
}

// newPolicy returns a policy without state.
func newPolicy(p Policy) policy {
	switch p {
	case PolicyFCFS:
		return newFirstFit(true)
	case PolicyQuota:
		return newFirstFit(false)
	default:
		return sched.New(sched.Config{})
	}
}

// row summarizes the metrics.
func (m *metrics) row(p Policy) Row {
	r := Row{
		Policy: p, LostHours: m.lostHours, Preemptions: m.preempts, Probes: m.probes,
		Violations: m.violations, Refused: m.refused, Unfinished: m.unfinished, DoubleUse: m.doubleUse,
	}
	if m.observed > 0 {
		r.Fragmentation = m.unusable / m.observed
	}
	for i, times := range m.completion {
		slices.Sort(times)
		r.Classes = append(r.Classes, Class{
			MaxGang: classLimits[i], Jobs: len(times), Mean: mean(times), P99: quantile(times, 0.99),
		})
	}
	slices.Sort(m.urgent)
	r.UrgentP99 = quantile(m.urgent, 0.99)
	r.UrgentMax = quantile(m.urgent, 1)
	return r
}

// mean returns the mean of durations.
func mean(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	var sum float64
	for _, t := range times {
		sum += t.Seconds()
	}
	return seconds(sum / float64(len(times)))
}

// quantile returns a quantile of sorted durations.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	return times[int(q*float64(len(times)-1))]
}

// columns returns the header and the values of the rows.
func (t Table) columns() [][]string {
	header := []string{"policy"}
	for _, limit := range classLimits {
		upTo := "gang<=" + strconv.Itoa(limit)
		header = append(header, upTo+" jobs", upTo+" mean_min", upTo+" p99_min")
	}
	header = append(header, "fragmentation", "lost_acc_h", "preemptions", "probes", "violations",
		"urgent_p99_s", "urgent_max_s", "refused", "unfinished", "double_use")
	lines := [][]string{header}
	for _, r := range t.Rows {
		line := []string{string(r.Policy)}
		for _, c := range r.Classes {
			line = append(line, strconv.Itoa(c.Jobs), number(c.Mean.Minutes(), 1), number(c.P99.Minutes(), 1))
		}
		line = append(line, number(r.Fragmentation, 3), number(r.LostHours, 1), strconv.Itoa(r.Preemptions),
			strconv.Itoa(r.Probes), strconv.Itoa(r.Violations), number(r.UrgentP99.Seconds(), 1),
			number(r.UrgentMax.Seconds(), 1), strconv.Itoa(r.Refused), strconv.Itoa(r.Unfinished), strconv.Itoa(r.DoubleUse))
		lines = append(lines, line)
	}
	return lines
}

// number prints a number with fixed digits.
func number(v float64, digits int) string { return strconv.FormatFloat(v, 'f', digits, 64) }

// CSV returns the table as comma-separated values.
func (t Table) CSV() string {
	var b strings.Builder
	for _, line := range t.columns() {
		b.WriteString(strings.Join(line, ","))
		b.WriteByte('\n')
	}
	return b.String()
}

// String returns the table with one line per measure and a column per policy.
func (t Table) String() string {
	lines := t.columns()
	var b strings.Builder
	for c := range lines[0] {
		b.WriteString(fill(lines[0][c], 20))
		for _, line := range lines[1:] {
			b.WriteString(fill(line[c], 22))
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// fill pads a text on the right.
func fill(text string, width int) string {
	return text + strings.Repeat(" ", max(width-len(text), 1))
}
