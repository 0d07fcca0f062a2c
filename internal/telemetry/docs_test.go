package telemetry

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
)

// Guards against a metrics page that lacks a metric, states other labels, or keeps a removed one.
func TestMetricsPageMatches(t *testing.T) {
	page, err := os.ReadFile("../../docs/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	var rows, want []string
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| `"+namespace+"_") {
			rows = append(rows, strings.TrimSpace(line))
		}
	}
	families, err := newTestMetrics(t).registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		var labels []string
		for _, l := range f.GetMetric()[0].GetLabel() {
			labels = append(labels, l.GetName())
		}
		want = append(want, fmt.Sprintf("| `%s` | %s | %s | %s |", f.GetName(), strings.ToLower(f.GetType().String()),
			strings.Join(labels, ", "), f.GetHelp()))
	}
	if !slices.Equal(rows, want) {
		t.Errorf("docs/metrics.md has these rows:\n%s\nthe code has:\n%s", strings.Join(rows, "\n"), strings.Join(want, "\n"))
	}
}

// Guards against a reason that the metrics page does not explain.
func TestMetricsPageNamesReasons(t *testing.T) {
	page, err := os.ReadFile("../../docs/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range reasons[1:] {
		if !strings.Contains(string(page), "| `"+string(r)+"` |") {
			t.Errorf("docs/metrics.md does not explain the reason %q", r)
		}
	}
}
