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

// Guards against an events page that lacks an event, describes one differently from the code, or lists a removed one.
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

// codeSpan matches Markdown code: a fenced block, or inline code between backquotes.
var codeSpan = regexp.MustCompile("(?s)```.*?```|`[^`\\n]*`")

// threeDigitNumber matches a number of three digits, which may be an event number.
var threeDigitNumber = regexp.MustCompile(`\b[0-9]{3}\b`)

// operatorsPageNumbers returns the event numbers on the operators' page: all numbers of three digits outside of code.
// The page writes other numbers of three digits, for example HTTP status codes, as code.
func operatorsPageNumbers(t *testing.T) []int {
	t.Helper()
	page, err := os.ReadFile("../../docs/operators.md")
	if err != nil {
		t.Fatal(err)
	}
	var numbers []int
	for _, digits := range threeDigitNumber.FindAllString(codeSpan.ReplaceAllString(string(page), ""), -1) {
		n, err := strconv.Atoi(digits)
		if err != nil {
			t.Fatal(err)
		}
		numbers = append(numbers, n)
	}
	return numbers
}

// Guards against an operators' page that refers to an event that does not exist.
func TestOperatorsPageNamesExistingEvents(t *testing.T) {
	for _, n := range operatorsPageNumbers(t) {
		if !slices.ContainsFunc(catalogue, func(e *Event) bool { return e.Number == n }) {
			t.Errorf("docs/operators.md names the event %d, which does not exist", n)
		}
	}
}

// Guards against an event of level warn or error that the operators' page does not mention.
func TestOperatorsPageCoversWarnings(t *testing.T) {
	named := operatorsPageNumbers(t)
	for _, e := range catalogue {
		if e.Level >= zerolog.WarnLevel && !slices.Contains(named, e.Number) {
			t.Errorf("docs/operators.md does not mention the event %d, %s, of level %s", e.Number, e.Name, e.Level)
		}
	}
}
