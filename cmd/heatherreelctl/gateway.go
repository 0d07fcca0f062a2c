package main

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"heatherreel/internal/operator"
)

// gatewayCommand returns the command that prints the state of a gateway.
func (t *tool) gatewayCommand() *cobra.Command {
	return &cobra.Command{
		Use: "gateway", Short: "Show the state of a gateway: configuration, instances and owners of key ranges", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return queryNode(t, c, (*operator.Client).Gateway, func(s operator.GatewayState) any { return gatewayOutput{s} })
		},
	}
}

// gatewayOutput is the output of the gateway command.
type gatewayOutput struct{ operator.GatewayState }

// rows implements tableResult. It lists the gateway itself, then the instances, then the key ranges.
func (s gatewayOutput) rows() [][]string {
	rows := [][]string{
		{"instance", s.Instance}, {"data centre", s.DataCentre + " in " + s.Region}, {"service", s.Service},
		{"ready", strconv.FormatBool(s.Ready)}, {"configuration", fmt.Sprintf("%d, %d routes", s.Revision, s.Routes)},
		{"evacuated", orDash(strings.Join(s.Evacuated, " "))}, {"lease", fmt.Sprintf("%d ms left", s.LeaseLeftMS)},
		{"suspected", orDash(strings.Join(s.Suspected, " "))}, {"lost", orDash(strings.Join(s.Lost, " "))},
		{"grants", grantsCell(s.Grants)},
		nil, {"INSTANCE", "DATA CENTRE", "SERVICE", "BACKEND SERVER", "DRAINING", "RUNNING", "WAITING", "SLOTS", "REPORT AGE", "FAILURES"},
	}
	for _, m := range s.Members {
		age := "-"
		if m.ReportAgeMS >= 0 {
			age = fmt.Sprintf("%d ms", m.ReportAgeMS)
		}
		rows = append(rows, []string{m.Instance, m.DataCentre, m.Service, orDash(m.Server), strconv.FormatBool(m.Draining),
			numberCell(m.Running), numberCell(m.Waiting), numberCell(m.Slots), age, numberCell(m.Failures)})
	}
	rows = append(rows, nil, []string{"TOPIC", "READ THROUGH", "SINCE"})
	for _, source := range s.Sources {
		rows = append(rows, []string{source.Topic, orDash(source.Instance), fmt.Sprintf("%d ms", source.SinceMS)})
	}
	rows = append(rows, nil, []string{"SERVICE", "FROM", "TO", "FENCE", "OWNER", "BACKEND SERVER", "MOVES TO"})
	for _, r := range s.Ranges {
		rows = append(rows, []string{r.Service, numberCell(int(r.From)), numberCell(int(r.To)), numberCell(r.Fence), orDash(r.Instance), orDash(r.Server), orDash(r.Next)})
	}
	return rows
}

// grantsCell describes the grants by calls.
func grantsCell(g *operator.GatewayGrants) string {
	if g == nil {
		return "by heartbeats"
	}
	return fmt.Sprintf("by calls: %d spans held, %d ms left, at least %d ms at renewals; %d granted, %d released, %d refused, %d unanswered, %d not sent",
		g.Spans, g.HoldLeftMS, g.MinHoldLeftMS, g.Granted, g.Released, g.Refused, g.Unanswered, g.NotSent)
}
