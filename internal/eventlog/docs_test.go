package eventlog

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
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
