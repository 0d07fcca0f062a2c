package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// Output forms.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// Layout of tables.
const (
	columnWidth   = 0
	columnPadding = 2
)

// tabular is a result that is written as a table. An empty row separates two tables.
type tabular interface {
	rows() [][]string
}

// textual is a result whose text is written as it is in place of a table.
type textual interface {
	text() string
}

// print writes the result, which is tabular or textual, in the form that the flags name.
func (t *tool) print(result any) error {
	if t.flags.output == outputJSON {
		encoder := json.NewEncoder(t.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	if plain, ok := result.(textual); ok {
		_, err := fmt.Fprint(t.stdout, plain.text())
		return err
	}
	w := tabwriter.NewWriter(t.stdout, columnWidth, 0, columnPadding, ' ', 0)
	for _, row := range result.(tabular).rows() {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// orNone returns the text, or a dash for an empty cell.
func orNone(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// number returns a cell for a whole number.
func number[T ~int | ~int64 | ~uint32 | ~uint64](n T) string { return fmt.Sprint(n) }

// homeCell returns a cell for home regions.
func homeCell(home []string) string {
	if len(home) == 0 {
		return "any"
	}
	return strings.Join(home, "+")
}
