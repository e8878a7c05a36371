package serving

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// Row is the result of one variant.
type Row struct {
	Name     string
	Requests int
	// UrgentInDeadline is the share of all short requests that were answered
	// within their deadline, and CrestInDeadline the share of those that arrived
	// at the peak. Short requests are the urgent ones, except that the load
	// profile mislabelled also has long urgent requests, which count as bulk.
	UrgentInDeadline, CrestInDeadline float64
	NormalInDeadline, BulkInDeadline  float64
	// Goodput is the slot time at the peak spent on requests that were answered
	// within their deadline, per slot and second.
	Goodput float64
	// ShortP50 and ShortP99 are latencies of answered short requests. BehindP99
	// is the latency of those that arrived while bulk work was waiting.
	ShortP50, ShortP99, BehindP99 time.Duration
	// BehindWaitP99 is the time until an executor started a request counted in
	// BehindP99. It excludes the extra service time of stragglers, which are one
	// short request in fifty.
	BehindWaitP99 time.Duration
	// BulkP50 is the latency of answered bulk requests.
	BulkP50 time.Duration
	// RetryRatio is the number of retries per first attempt.
	RetryRatio float64
	// Recovery is the time from the end of the peak to the end of the last half
	// second in which more than 2 % of the urgent and normal requests failed.
	Recovery time.Duration
	// MaxOpen is the highest number of simultaneous attempts on one executor.
	MaxOpen int
	// MaxLive is MaxOpen without attempts that the hosts have abandoned. It must
	// not exceed the slots of an executor.
	MaxLive int
	// Violated invariants: Wrong counts wrong or repeated responses, Lost requests
	// without a final answer, Doubled non-idempotent requests that ran more than
	// once, and FalseNotRun requests that ran and were refused as not run.
	Wrong, Lost, Doubled, FalseNotRun int
	Refusals                          map[structs.Code]int
}

// Table holds the results of all variants.
type Table struct {
	Options Options
	Rows    []Row
}

// Run simulates each variant with the same seeds. Equal options give equal tables.
func Run(options Options) Table {
	table := Table{Options: options}
	for _, variant := range options.Variants {
		table.Rows = append(table.Rows, runSeeds(options, variant))
	}
	return table
}

// runSeeds averages the results of one variant over options.Repeat seeds.
func runSeeds(options Options, variant Variant) Row {
	count := max(1, options.Repeat)
	rows := make([]Row, 0, count)
	for range count {
		s := newSimulation(options, variant)
		s.run()
		rows = append(rows, s.measure())
		options.Seed++
	}
	return average(rows)
}

// average returns the mean of shares and times, the maximum of MaxOpen and
// MaxLive, and the sum of the other counts.
func average(rows []Row) Row {
	mean := Row{Name: rows[0].Name, Refusals: map[structs.Code]int{}}
	for _, r := range rows {
		mean.Requests += r.Requests
		mean.MaxOpen = max(mean.MaxOpen, r.MaxOpen)
		mean.MaxLive = max(mean.MaxLive, r.MaxLive)
		mean.Wrong += r.Wrong
		mean.Lost += r.Lost
		mean.Doubled += r.Doubled
		mean.FalseNotRun += r.FalseNotRun
		for code, count := range r.Refusals {
			mean.Refusals[code] += count
		}
		for i, value := range r.shares() {
			*mean.shares()[i] += *value / float64(len(rows))
		}
		for i, value := range r.times() {
			*mean.times()[i] += *value / time.Duration(len(rows))
		}
	}
	return mean
}

func (r *Row) shares() []*float64 {
	return []*float64{&r.UrgentInDeadline, &r.CrestInDeadline, &r.NormalInDeadline, &r.BulkInDeadline, &r.Goodput, &r.RetryRatio}
}

func (r *Row) times() []*time.Duration {
	return []*time.Duration{&r.ShortP50, &r.ShortP99, &r.BehindP99, &r.BehindWaitP99, &r.BulkP50, &r.Recovery}
}

func (v Variant) name() string {
	name := v.Shape + "/" + string(v.Dispatching) + "/" + string(v.Sharing) + "/" + string(v.Fault)
	if v.Label != "" {
		name += "/" + v.Label
	}
	return name
}

// cell is one value of a row with the name of its column.
type cell struct{ name, value string }

func (r Row) cells() []cell {
	percent := func(v float64) string { return strconv.FormatFloat(100*v, 'f', 2, 64) }
	ms := func(d time.Duration) string { return strconv.FormatFloat(d.Seconds()*1000, 'f', 1, 64) }
	return []cell{
		{"variant", r.Name},
		{"requests", strconv.Itoa(r.Requests)},
		{"urgent_ok_%", percent(r.UrgentInDeadline)},
		{"urgent_crest_%", percent(r.CrestInDeadline)},
		{"normal_ok_%", percent(r.NormalInDeadline)},
		{"bulk_ok_%", percent(r.BulkInDeadline)},
		{"goodput_%", percent(r.Goodput)},
		{"p50_ms", ms(r.ShortP50)},
		{"p99_ms", ms(r.ShortP99)},
		{"behind_p99_ms", ms(r.BehindP99)},
		{"behind_wait_p99_ms", ms(r.BehindWaitP99)},
		{"bulk_p50_ms", ms(r.BulkP50)},
		{"retries_%", percent(r.RetryRatio)},
		{"recovery_ms", ms(r.Recovery)},
		{"max_open", strconv.Itoa(r.MaxOpen)},
		{"max_live", strconv.Itoa(r.MaxLive)},
		{"wrong", strconv.Itoa(r.Wrong)},
		{"lost", strconv.Itoa(r.Lost)},
		{"doubled", strconv.Itoa(r.Doubled)},
		{"false_not_run", strconv.Itoa(r.FalseNotRun)},
		{"refusals", r.refusals()},
	}
}

func (r Row) refusals() string {
	var parts []string
	for _, code := range slices.Sorted(maps.Keys(r.Refusals)) {
		parts = append(parts, string(code)+"="+strconv.Itoa(r.Refusals[code]))
	}
	return strings.Join(parts, " ")
}

// String returns the table with aligned columns.
func (t Table) String() string {
	if len(t.Rows) == 0 {
		return ""
	}
	widths := make([]int, len(t.Rows[0].cells()))
	for _, row := range t.Rows {
		for i, c := range row.cells() {
			widths[i] = max(widths[i], len(c.name), len(c.value))
		}
	}
	var b strings.Builder
	for i, c := range t.Rows[0].cells() {
		fmt.Fprintf(&b, "%-*s  ", widths[i], c.name)
	}
	b.WriteByte('\n')
	for _, row := range t.Rows {
		for i, c := range row.cells() {
			fmt.Fprintf(&b, "%-*s  ", widths[i], c.value)
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// CSV returns the table as comma-separated values with a header line.
func (t Table) CSV() string {
	if len(t.Rows) == 0 {
		return ""
	}
	var b strings.Builder
	writeLine := func(row Row, text func(cell) string) {
		var fields []string
		for _, c := range row.cells() {
			fields = append(fields, text(c))
		}
		b.WriteString(strings.Join(fields, ",") + "\n")
	}
	writeLine(t.Rows[0], func(c cell) string { return c.name })
	for _, row := range t.Rows {
		writeLine(row, func(c cell) string { return c.value })
	}
	return b.String()
}
