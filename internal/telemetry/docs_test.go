package telemetry

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// Guards against a metrics page that lacks a metric, states a wrong type, label or description, or lists a removed
// metric.
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

// Guards against an operators' page that refers to a metric that does not exist.
func TestOperatorsPageNamesExistingMetrics(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators.md")
	if err != nil {
		t.Fatal(err)
	}
	families, err := newTestMetrics(t).registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	var existing []string
	for _, f := range families {
		existing = append(existing, f.GetName())
	}
	named := regexp.MustCompile(namespace+"_[a-z][a-z_]*").FindAllString(string(page), -1)
	if len(named) == 0 {
		t.Error("docs/operators.md names no metric")
	}
	for _, name := range named {
		if !slices.Contains(existing, name) {
			t.Errorf("docs/operators.md names the metric %s, which does not exist", name)
		}
	}
}
