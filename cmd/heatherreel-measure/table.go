package main

import (
	"fmt"
	"strings"
	"time"
	"unicode/utf8"
)

// table is printed as a Markdown table, for the pages in docs.
type table struct {
	title  string
	header []string
	rows   [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// print writes the table with aligned columns.
func (t *table) print() {
	widths := make([]int, len(t.header))
	for _, row := range append([][]string{t.header}, t.rows...) {
		for i, cell := range row {
			widths[i] = max(widths[i], utf8.RuneCountInString(cell))
		}
	}
	fmt.Printf("\n%s\n\n", t.title)
	printRow(t.header, widths)
	separator := make([]string, len(widths))
	for i, w := range widths {
		separator[i] = strings.Repeat("-", w)
	}
	printRow(separator, widths)
	for _, row := range t.rows {
		printRow(row, widths)
	}
}

func printRow(cells []string, widths []int) {
	for i, cell := range cells {
		fmt.Printf("| %s%s ", cell, strings.Repeat(" ", widths[i]-utf8.RuneCountInString(cell)))
	}
	fmt.Println("|")
}

// formatDuration formats a duration with three significant digits; below a microsecond it prints whole nanoseconds.
func formatDuration(d time.Duration) string {
	switch {
	case d < time.Microsecond:
		return fmt.Sprintf("%d ns", d.Nanoseconds())
	case d < time.Millisecond:
		return fmt.Sprintf("%.3g µs", float64(d)/float64(time.Microsecond))
	case d < time.Second:
		return fmt.Sprintf("%.3g ms", float64(d)/float64(time.Millisecond))
	}
	return fmt.Sprintf("%.3g s", d.Seconds())
}

// formatPercent formats a share, where 1 is 100%.
func formatPercent(share float64) string { return fmt.Sprintf("%.3g%%", 100*share) }

// formatNumber formats a figure without a unit, with three significant digits below 1000 and as an integer from there.
func formatNumber(x float64) string {
	if x >= 1000 {
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.3g", x)
}
