package cli

import (
	"encoding/json"
	"io"
	"strings"
	"text/tabwriter"
)

// Table is the output of a query for people.
type Table struct {
	Header []string
	Rows   [][]string
}

const (
	columnGap   = 2
	emptyColumn = "-"
)

// List returns the elements so that an empty list is written as [] in JSON.
func List[T any](elements []T) []T {
	if elements == nil {
		return []T{}
	}
	return elements
}

// Print writes the value as JSON, or the table.
func (e *Env) Print(value any, table Table) error {
	if e.JSON() {
		return e.printJSON(value)
	}
	return e.printTable(table)
}

// PrintText writes the value as JSON, or the text.
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
		if _, err := io.WriteString(w, strings.Join(visible(cells), "\t")+"\n"); err != nil {
			return outputError(err)
		}
	}
	return outputError(w.Flush())
}

// visible replaces empty cells, so that columns can be told apart, and
// characters that would break the table.
func visible(cells []string) []string {
	shown := make([]string, len(cells))
	for i, c := range cells {
		shown[i] = strings.NewReplacer("\t", " ", "\n", " ", "\r", " ").Replace(c)
		if c == "" {
			shown[i] = emptyColumn
		}
	}
	return shown
}

func outputError(err error) error {
	if err == nil {
		return nil
	}
	return &OutputError{Cause: err}
}
