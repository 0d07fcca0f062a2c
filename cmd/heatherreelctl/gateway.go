package main

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"heatherreel/internal/operator"
)

// gateway returns the command that writes what a gateway knows.
func (t *tool) gateway() *cobra.Command {
	return &cobra.Command{
		Use: "gateway", Short: "Write what a gateway knows: configuration, instances and owners of keys", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return ask(t, c, (*operator.Client).Gateway, func(s operator.GatewayState) any { return gatewayOutput{s} })
		},
	}
}

// gatewayOutput is the output of gateway.
type gatewayOutput struct{ operator.GatewayState }

// rows implements tabular.
func (s gatewayOutput) rows() [][]string {
	rows := [][]string{
		{"instance", s.Instance}, {"data centre", s.DataCentre + " in " + s.Region}, {"service", s.Service},
		{"ready", strconv.FormatBool(s.Ready)}, {"configuration", fmt.Sprintf("%d, %d routes", s.Revision, s.Routes)},
		{"evacuated", orNone(strings.Join(s.Evacuated, " "))}, {"lease", fmt.Sprintf("%d ms left", s.LeaseLeftMS)},
		{"suspected", orNone(strings.Join(s.Suspected, " "))}, {"lost", orNone(strings.Join(s.Lost, " "))},
		nil, {"INSTANCE", "DATA CENTRE", "SERVICE", "BACKEND SERVER", "DRAINING", "RUNNING", "WAITING", "SLOTS", "REPORT AGE", "FAILURES"},
	}
	for _, m := range s.Members {
		age := "-"
		if m.ReportAgeMS >= 0 {
			age = fmt.Sprintf("%d ms", m.ReportAgeMS)
		}
		rows = append(rows, []string{m.Instance, m.DataCentre, m.Service, orNone(m.Server), strconv.FormatBool(m.Draining),
			number(m.Running), number(m.Waiting), number(m.Slots), age, number(m.Failures)})
	}
	rows = append(rows, nil, []string{"SERVICE", "FROM", "TO", "FENCE", "OWNER", "BACKEND SERVER", "MOVES TO"})
	for _, r := range s.Ranges {
		rows = append(rows, []string{r.Service, number(int(r.From)), number(int(r.To)), number(r.Fence), orNone(r.Instance), orNone(r.Server), orNone(r.Next)})
	}
	return rows
}
