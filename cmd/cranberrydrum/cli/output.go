package cli

import (
	"encoding/json"
	"io"
	"strings"
	"text/tabwriter"
)

// Table is the human-readable output of a command.
type Table struct {
	Header []string
	Rows   [][]string
}

const (
	columnGap   = 2 // spaces between two columns
	emptyColumn = "-"
)

// NonNil returns the elements, or an empty slice instead of nil, so that JSON
// output has [] and not null.
func NonNil[T any](elements []T) []T {
	if elements == nil {
		return []T{}
	}
	return elements
}

// Print writes the value if the output format is JSON, and the table otherwise.
func (e *Env) Print(value any, table Table) error {
	if e.JSON() {
		return e.printJSON(value)
	}
	return e.printTable(table)
}

// PrintText writes the value if the output format is JSON, and the text otherwise.
func (e *Env) PrintText(value any, text string) error {
	if e.JSON() {
		return e.printJSON(value)
	}
	_, err := io.WriteString(e.Stdout, text)
	return outputError(err)
}

func (e *Env) printJSON(value any) error {
	encoder := json.NewEncoder(e.Stdout)
	encoder.SetIndent("", "  ")
	return outputError(encoder.Encode(value))
}

func (e *Env) printTable(t Table) error {
	w := tabwriter.NewWriter(e.Stdout, 0, 0, columnGap, ' ', 0)
	lines := append([][]string{t.Header}, t.Rows...)
	for _, cells := range lines {
		if _, err := io.WriteString(w, strings.Join(sanitizeCells(cells), "\t")+"\n"); err != nil {
			return outputError(err)
		}
	}
	return outputError(w.Flush())
}

// sanitizeCells replaces empty cells by a placeholder, so that every column has
// content, and tabs and line breaks by spaces, because they would break the table.
func sanitizeCells(cells []string) []string {
	sanitized := make([]string, len(cells))
	for i, c := range cells {
		sanitized[i] = strings.NewReplacer("\t", " ", "\n", " ", "\r", " ").Replace(c)
		if c == "" {
			sanitized[i] = emptyColumn
		}
	}
	return sanitized
}

func outputError(err error) error {
	if err == nil {
		return nil
	}
	return &OutputError{Cause: err}
}
