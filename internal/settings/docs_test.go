package settings

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
)

// Guards against a settings page that lacks a setting, states another default, or keeps a removed one.
func TestSettingsPageMatches(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	var rows, want []string
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| `--") {
			rows = append(rows, strings.TrimSpace(line))
		}
	}
	for _, d := range definitions {
		fallback := "required"
		if d.fallback != "" {
			fallback = "`" + d.fallback + "`"
		}
		want = append(want, fmt.Sprintf("| `--%s` | `%s` | %s | %s | %s |", d.flag, d.environment(), d.kind, fallback, d.usage))
	}
	if !slices.Equal(rows, want) {
		t.Errorf("docs/settings.md has these rows:\n%s\nthe code has:\n%s", strings.Join(rows, "\n"), strings.Join(want, "\n"))
	}
}
