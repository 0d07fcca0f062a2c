package settings

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
)

// Guards against a settings page that lacks a setting, lists a removed one, or differs from the code in a default or
// text.
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
		defaultText := "required"
		if d.defaultText != "" {
			defaultText = "`" + d.defaultText + "`"
		}
		want = append(want, fmt.Sprintf("| `--%s` | `%s` | %s | %s | %s |", d.flag, d.environmentVariable(), d.typeName, defaultText, d.usage))
	}
	if !slices.Equal(rows, want) {
		t.Errorf("docs/settings.md has these rows:\n%s\nthe code has:\n%s", strings.Join(rows, "\n"), strings.Join(want, "\n"))
	}
}
