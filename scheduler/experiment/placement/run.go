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

// Placement policies that are compared: the scheduler, first come first served,
// and first fit with quotas but without guaranteed shapes.
const (
	PolicyScheduler Policy = "cranberrydrum"
	PolicyFCFS      Policy = "fcfs-first-fit"
	PolicyQuota     Policy = "quota-without-shape"
)

// Options selects the workload and the policies. Zero values select the defaults.
type Options struct {
	Size   Size
	Length time.Duration
	Seed   uint64
	// ErrorSigma is the standard deviation of the logarithm of the error of
	// declared run times.
	ErrorSigma float64
	// Setting replaces the policy setting of the deployment size.
	Setting structs.Policy
	// Policies are the policies to compare; empty means all three.
	Policies []Policy
}

// Class holds the completion times of the jobs in one range of gang sizes, of
// which MaxGang is the largest.
type Class struct {
	MaxGang   int
	Jobs      int
	Mean, P99 time.Duration
}

// Row is the result of one policy.
type Row struct {
	Policy  Policy
	Classes []Class
	// Fragmentation is the share, 0 to 1, of free accelerators that the largest
	// waiting gang cannot use, averaged over the time in which a gang waits.
	Fragmentation float64
	// LostHours are accelerator-hours lost by Preemptions.
	LostHours   float64
	Preemptions int
	// Probes counts jobs submitted into a free guarantee. Violations counts
	// those that did not start within the grace period.
	Probes, Violations int
	// UrgentP99 and UrgentMax are the waits of urgent jobs from submission to
	// the start decision, without jobs that waited for the quota of their
	// customer.
	UrgentP99, UrgentMax time.Duration
	Refused, Unfinished  int
	// DoubleUse counts job members that were placed on accelerators in use. It
	// must be 0.
	DoubleUse int
}

// Table holds the results of all policies under the same workload.
type Table struct {
	Options Options
	Rows    []Row
}

// Run compares policies under the same workload. Equal options give equal tables.
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
		s := newSim(generateWorkload(o), o.Length, newPlacer(p))
		s.loop()
		t.Rows = append(t.Rows, s.metrics.row(p))
	}
	return t
}

// newPlacer returns the implementation of a policy without workers and jobs.
func newPlacer(p Policy) placer {
	switch p {
	case PolicyFCFS:
		return newFirstFit(true)
	case PolicyQuota:
		return newFirstFit(false)
	default:
		return sched.New(sched.Config{})
	}
}

// row summarizes the metrics as a row of the table.
func (m *metrics) row(p Policy) Row {
	r := Row{
		Policy: p, LostHours: m.lostHours, Preemptions: m.preemptions, Probes: m.probes,
		Violations: m.violations, Refused: m.refused, Unfinished: m.unfinished, DoubleUse: m.doubleUse,
	}
	if m.observedSeconds > 0 {
		r.Fragmentation = m.unusableSeconds / m.observedSeconds
	}
	for i, times := range m.completionTimes {
		slices.Sort(times)
		r.Classes = append(r.Classes, Class{
			MaxGang: classLimits[i], Jobs: len(times), Mean: mean(times), P99: quantile(times, 0.99),
		})
	}
	slices.Sort(m.urgentWaits)
	r.UrgentP99 = quantile(m.urgentWaits, 0.99)
	r.UrgentMax = quantile(m.urgentWaits, 1)
	return r
}

// mean returns the arithmetic mean, or 0 for an empty list.
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

// quantile returns the q-quantile of sorted durations, or 0 for an empty list.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	return times[int(q*float64(len(times)-1))]
}

// columns returns the header line followed by one line per row.
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
			line = append(line, strconv.Itoa(c.Jobs), formatFloat(c.Mean.Minutes(), 1), formatFloat(c.P99.Minutes(), 1))
		}
		line = append(line, formatFloat(r.Fragmentation, 3), formatFloat(r.LostHours, 1), strconv.Itoa(r.Preemptions),
			strconv.Itoa(r.Probes), strconv.Itoa(r.Violations), formatFloat(r.UrgentP99.Seconds(), 1),
			formatFloat(r.UrgentMax.Seconds(), 1), strconv.Itoa(r.Refused), strconv.Itoa(r.Unfinished), strconv.Itoa(r.DoubleUse))
		lines = append(lines, line)
	}
	return lines
}

// formatFloat formats a number with a fixed number of decimal places.
func formatFloat(v float64, digits int) string { return strconv.FormatFloat(v, 'f', digits, 64) }

// CSV returns the table as comma-separated values.
func (t Table) CSV() string {
	var b strings.Builder
	for _, line := range t.columns() {
		b.WriteString(strings.Join(line, ","))
		b.WriteByte('\n')
	}
	return b.String()
}

// String returns the table with one line per metric and one column per policy.
func (t Table) String() string {
	lines := t.columns()
	var b strings.Builder
	for c := range lines[0] {
		b.WriteString(padRight(lines[0][c], 20))
		for _, line := range lines[1:] {
			b.WriteString(padRight(line[c], 22))
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// padRight pads a text with spaces to the width, with at least one space.
func padRight(text string, width int) string {
	return text + strings.Repeat(" ", max(width-len(text), 1))
}
