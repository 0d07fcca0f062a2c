package eventlog

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// Guards against an events page that lacks an event, describes another one, or keeps a removed one.
func TestEventsPageMatches(t *testing.T) {
	page, err := os.ReadFile("../../docs/events.md")
	if err != nil {
		t.Fatal(err)
	}
	var rows, want []string
	for line := range strings.Lines(string(page)) {
		if len(line) > 3 && strings.HasPrefix(line, "| ") && line[2] >= '1' && line[2] <= '9' {
			rows = append(rows, strings.TrimSpace(line))
		}
	}
	for _, e := range catalogue {
		limit, remedy := "", "nothing"
		if e.PerSecond > 0 {
			limit = fmt.Sprintf("%d/s", e.PerSecond)
		}
		if e.Remedy != "" {
			remedy = e.Remedy
		}
		want = append(want, fmt.Sprintf("| %d | %s | %s | %s | %s | %s |", e.Number, e.Name, e.Level, limit, e.Text, remedy))
	}
	if !slices.Equal(rows, want) {
		t.Errorf("docs/events.md has these rows:\n%s\nthe code has:\n%s", strings.Join(rows, "\n"), strings.Join(want, "\n"))
	}
}

// code is text between backquotes, with its fences for a block.
var code = regexp.MustCompile("(?s)```.*?```|`[^`\\n]*`")

// threeDigits is a number that reads like one of an event.
var threeDigits = regexp.MustCompile(`\b[0-9]{3}\b`)

// operatorsPageNumbers returns the numbers of three digits on the operators' page outside of code. The page writes
// other such numbers, for example HTTP status codes, as code.
func operatorsPageNumbers(t *testing.T) []int {
	t.Helper()
	page, err := os.ReadFile("../../docs/operators.md")
	if err != nil {
		t.Fatal(err)
	}
	var numbers []int
	for _, digits := range threeDigits.FindAllString(code.ReplaceAllString(string(page), ""), -1) {
		n, err := strconv.Atoi(digits)
		if err != nil {
			t.Fatal(err)
		}
		numbers = append(numbers, n)
	}
	return numbers
}

// Guards against an operators' page that sends its reader to an event that does not exist.
func TestOperatorsPageNamesExistingEvents(t *testing.T) {
	for _, n := range operatorsPageNumbers(t) {
		if !slices.ContainsFunc(catalogue, func(e *Event) bool { return e.Number == n }) {
			t.Errorf("docs/operators.md names the event %d, which does not exist", n)
		}
	}
}

// Guards against a warning or an error for which the operators' page has no advice.
func TestOperatorsPageCoversWarnings(t *testing.T) {
	named := operatorsPageNumbers(t)
	for _, e := range catalogue {
		if e.Level >= zerolog.WarnLevel && !slices.Contains(named, e.Number) {
			t.Errorf("docs/operators.md does not mention the event %d, %s, of level %s", e.Number, e.Name, e.Level)
		}
	}
}
