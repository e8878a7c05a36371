package returns

import (
	"fmt"
	"strings"
)

// Row is the result of one stream of a pattern.
type Row struct {
	Pattern  string
	Customer string
	Tally
}

// Table is the result of several patterns.
type Table struct{ Rows []Row }

// Run plays patterns and returns the sums over consecutive seeds, from the first seed on.
// Peak is the highest of any seed.
func Run(patterns []Pattern, first uint64, seeds int) Table {
	var t Table
	for _, p := range patterns {
		t.Rows = append(t.Rows, rowsOf(p, first, seeds)...)
	}
	return t
}

func rowsOf(p Pattern, first uint64, seeds int) []Row {
	rows := make([]Row, len(p.Streams))
	for i := range rows {
		rows[i] = Row{Pattern: p.Name, Customer: p.Streams[i].Request.Customer}
	}
	for seed := range seeds {
		for i, tally := range Play(p, first+uint64(seed)) {
			rows[i].add(tally)
		}
	}
	return rows
}

// String returns the table with aligned columns.
func (t Table) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-75s %-8s %8s %8s %8s %8s %8s %8s %8s %6s\n", "pattern", "customer", "callers", "in_time", "late", "refused", "wasted", "kept", "returns", "peak")
	for _, r := range t.Rows {
		fmt.Fprintf(&b, "%-75s %-8s %8d %8d %8d %8d %8d %8d %8d %6d\n", r.Pattern, r.Customer, r.Callers, r.InTime, r.Late, r.Refused, r.Wasted, r.Kept, r.Returns, r.Peak)
	}
	return b.String()
}

// CSV returns the table as comma-separated values with a header line.
func (t Table) CSV() string {
	var b strings.Builder
	b.WriteString("pattern,customer,callers,in_time,late,refused,wasted,kept,returns,peak\n")
	for _, r := range t.Rows {
		fmt.Fprintf(&b, "%q,%s,%d,%d,%d,%d,%d,%d,%d,%d\n", r.Pattern, r.Customer, r.Callers, r.InTime, r.Late, r.Refused, r.Wasted, r.Kept, r.Returns, r.Peak)
	}
	return b.String()
}
