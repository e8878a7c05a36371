package control

import (
	"encoding/csv"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Point is one measured value at one size.
type Point struct{ Size, Value float64 }

// Row is one quantity measured at several sizes.
type Row struct {
	Part     Part
	Quantity string
	Unit     string
	// Against names the size that varies. It is empty for a single value.
	Against string
	Points  []Point
}

// Table holds all measured quantities.
type Table struct {
	Options Options
	Rows    []Row
}

// Line returns the least-squares line through the points. The slope is 0 if all points
// have the same size.
func (r Row) Line() (base, slope float64) {
	n := float64(len(r.Points))
	var sx, sy, sxx, sxy float64
	for _, p := range r.Points {
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
	}
	denominator := n*sxx - sx*sx
	if denominator == 0 {
		return sy / max(n, 1), 0
	}
	slope = (n*sxy - sx*sy) / denominator
	return (sy - slope*sx) / n, slope
}

var header = []string{"part", "quantity", "unit", "against", "measured", "base", "slope"}

func (r Row) cells() []string {
	base, slope := r.Line()
	cells := []string{string(r.Part), r.Quantity, r.Unit, r.Against, r.measured(), number(base), number(slope)}
	if len(r.Points) < 2 {
		cells[len(cells)-1] = ""
	}
	return cells
}

// measured returns a single value, or a list of "size:value".
func (r Row) measured() string {
	if r.Against == "" && len(r.Points) == 1 {
		return number(r.Points[0].Value)
	}
	var parts []string
	for _, p := range r.Points {
		parts = append(parts, number(p.Size)+":"+number(p.Value))
	}
	return strings.Join(parts, " ")
}

const significantDigits = 4

// number formats a value with at most four significant digits, integers in full.
func number(v float64) string {
	if v == float64(int64(v)) {
		return strconv.FormatInt(int64(v), 10)
	}
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(v, 'g', significantDigits, 64), 64)
	if err != nil {
		return strconv.FormatFloat(v, 'g', significantDigits, 64)
	}
	return strconv.FormatFloat(rounded, 'f', -1, 64)
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
	w := csv.NewWriter(&b)
	_ = w.WriteAll(t.lines()) // a strings.Builder accepts every write
	return b.String()
}

func (t Table) lines() [][]string {
	lines := [][]string{header}
	for _, r := range t.Rows {
		lines = append(lines, r.cells())
	}
	return lines
}
