package target

import (
	"encoding/csv"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// Row is one measured figure and its bound.
type Row struct {
	Quantity string
	Unit     string
	// Bound is the largest allowed figure. It is nil for a figure without a bound.
	Bound  *float64
	Figure float64
	// Note gives the number of samples or the conditions of the measurement.
	Note string
}

// WithinBound reports whether the figure is within its bound.
func (r Row) WithinBound() bool { return r.Bound == nil || r.Figure <= *r.Bound }

// Table holds all figures of a run.
type Table struct {
	Rows []Row
}

// WithinBounds reports whether all figures are within their bounds.
func (t Table) WithinBounds() bool {
	return !slices.ContainsFunc(t.Rows, func(r Row) bool { return !r.WithinBound() })
}

// bounded returns a row with a bound.
func bounded(quantity, unit string, bound, figure float64, note string) Row {
	return Row{Quantity: quantity, Unit: unit, Bound: &bound, Figure: figure, Note: note}
}

// unbounded returns a row without a bound.
func unbounded(quantity, unit string, figure float64, note string) Row {
	return Row{Quantity: quantity, Unit: unit, Figure: figure, Note: note}
}

// addPercentiles adds the median, the 99th percentile and the maximum of a list of
// durations.
func (r *run) addPercentiles(name string, elapsed []time.Duration, bound time.Duration) {
	if len(elapsed) == 0 {
		return
	}
	slices.Sort(elapsed)
	note := strconv.Itoa(len(elapsed)) + " samples"
	last := len(elapsed) - 1
	r.add(bounded(name+", p50", "s", bound.Seconds(), elapsed[last/2].Seconds(), note),
		bounded(name+", p99", "s", bound.Seconds(), elapsed[(len(elapsed)*99+99)/100-1].Seconds(), note),
		bounded(name+", max", "s", bound.Seconds(), elapsed[last].Seconds(), note))
}

func (r *run) add(rows ...Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Rows = append(r.table.Rows, rows...)
}

var header = []string{"quantity", "unit", "bound", "figure", "result", "note"}

func (r Row) cells() []string {
	bound, result := "", ""
	if r.Bound != nil {
		bound, result = number(*r.Bound), "ok"
	}
	if !r.WithinBound() {
		result = "not ok"
	}
	return []string{r.Quantity, r.Unit, bound, number(r.Figure), result, r.Note}
}

const significantDigits = 4

// number formats a figure with at most four significant digits, integers in full.
func number(v float64) string {
	if v == float64(int64(v)) {
		return strconv.FormatInt(int64(v), 10)
	}
	rounded, _ := strconv.ParseFloat(strconv.FormatFloat(v, 'g', significantDigits, 64), 64)
	return strconv.FormatFloat(rounded, 'f', -1, 64)
}

func (t Table) lines() [][]string {
	lines := [][]string{header}
	for _, r := range t.Rows {
		lines = append(lines, r.cells())
	}
	return lines
}

// String returns the table aligned for reading.
func (t Table) String() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for _, cells := range t.lines() {
		_, _ = w.Write([]byte(strings.Join(cells, "\t") + "\n"))
	}
	_ = w.Flush()
	return b.String()
}

// CSV returns the table as comma-separated values with a header line.
func (t Table) CSV() string {
	var b strings.Builder
	_ = csv.NewWriter(&b).WriteAll(t.lines()) // a strings.Builder accepts every write
	return b.String()
}
