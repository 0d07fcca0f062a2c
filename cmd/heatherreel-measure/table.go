package main

import (
	"fmt"
	"strings"
	"time"
	"unicode/utf8"
)

// table is printed in the form that the pages under docs use.
type table struct {
	title  string
	header []string
	rows   [][]string
}

// add adds a row.
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
	rule := make([]string, len(widths))
	for i, w := range widths {
		rule[i] = strings.Repeat("-", w)
	}
	printRow(rule, widths)
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

// short formats a duration with three significant digits.
func short(d time.Duration) string {
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

// percent formats a share.
func percent(share float64) string { return fmt.Sprintf("%.3g%%", 100*share) }

// number formats a figure without a unit.
func number(x float64) string {
	if x >= 1000 {
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.3g", x)
}
