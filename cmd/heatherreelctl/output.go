package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// Output formats, the values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// Layout of tables: the minimum width of a column and the spaces between two columns.
const (
	columnWidth   = 0
	columnPadding = 2
)

// tableResult is a command result that is printed as one or more tables. An empty row separates two tables.
type tableResult interface {
	rows() [][]string
}

// textResult is a command result that is printed verbatim instead of as a table.
type textResult interface {
	text() string
}

// print writes the result to stdout in the format given by --output. The result must implement tableResult or
// textResult.
func (t *tool) print(result any) error {
	if t.flags.output == outputJSON {
		encoder := json.NewEncoder(t.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	if textual, ok := result.(textResult); ok {
		_, err := fmt.Fprint(t.stdout, textual.text())
		return err
	}
	w := tabwriter.NewWriter(t.stdout, columnWidth, 0, columnPadding, ' ', 0)
	for _, row := range result.(tableResult).rows() {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// orDash returns the text, or a dash if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// numberCell returns the table cell for an integer.
func numberCell[T ~int | ~int64 | ~uint32 | ~uint64](n T) string { return fmt.Sprint(n) }

// homeRegionsCell returns the table cell for a list of home regions; an empty list means any region.
func homeRegionsCell(home []string) string {
	if len(home) == 0 {
		return "any"
	}
	return strings.Join(home, "+")
}
