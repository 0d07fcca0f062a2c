package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"heatherreel/internal/configcheck"
	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
	"heatherreel/platform/store"
)

// checkStatus is the exit status of config check if it found something. It is no failure of the tool, so that nothing is
// written to standard error.
type checkStatus exitCode

// Exit statuses of config check besides 0. docs/heatherreelctl.md documents them.
const (
	checkFound  checkStatus = 1
	checkFailed checkStatus = 2
)

// Error implements error.
func (s checkStatus) Error() string { return fmt.Sprintf("status %d", int(s)) }

// configCommand returns the command whose subcommands work on the record of the routes of gateways.
func (t *tool) configCommand() *cobra.Command {
	command := &cobra.Command{Use: "config", Short: "Work on the configuration record of gateways", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return usageError("config needs a subcommand") }}
	check := &cobra.Command{
		Use: "check FILE", Short: "Check a configuration record of gateways before it is submitted", Args: cobra.ExactArgs(1),
		Long: "Check a configuration record of gateways before it is submitted.\n\nExit status: 0 if there is nothing to report, 1 for warnings or differences, 2 for errors.",
		RunE: func(_ *cobra.Command, args []string) error { return t.checkConfig(args[0]) },
	}
	check.Flags().StringVar(&t.flags.against, "against", "", "file with the record that is in force, to list the differences")
	command.AddCommand(check)
	return command
}

// checkConfig prints what is wrong with the record in the file, and how it differs from the one in force.
func (t *tool) checkConfig(path string) error {
	result := checkOutput{Findings: []configcheck.Finding{}}
	checked, err := t.readRecord(path, &result)
	if err != nil {
		return err
	}
	if checked.Table != nil {
		result.Findings = append(result.Findings, configcheck.Check(checked.Table, checked.Replaced)...)
	}
	if t.flags.against != "" {
		inForce, err := t.readRecord(t.flags.against, &result)
		if err != nil {
			return err
		}
		if checked.Table != nil && inForce.Table != nil {
			result.Findings = append(result.Findings, configcheck.Compare(checked.Table, inForce.Table)...)
		}
	}
	if err := t.print(result); err != nil {
		return err
	}
	return result.status()
}

// readRecord decodes the record in a file as a node does. A record that a node refuses gives an error among the findings and
// no table.
func (t *tool) readRecord(path string, result *checkOutput) (registry.OperatorRecord, error) {
	document, err := t.readDocument(path)
	if err != nil {
		return registry.OperatorRecord{}, err
	}
	decoded, ok, err := store.DecodeOperatorRecord(registry.Record{Key: store.ConfigKey, Value: document})
	if ok {
		return decoded, nil
	}
	detail := "the file is empty, which nodes ignore"
	if err != nil {
		detail = err.Error()
		var typed *problem.Error
		if errors.As(err, &typed) {
			detail = typed.Detail + "; " + typed.Remedy
		}
	}
	result.Findings = append(result.Findings, configcheck.Finding{Severity: configcheck.Error, Entry: "file " + path, Detail: detail})
	return registry.OperatorRecord{}, nil
}

// checkOutput is the output of the command config check.
type checkOutput struct {
	Findings []configcheck.Finding `json:"findings"`
}

// rows implements tableResult.
func (o checkOutput) rows() [][]string {
	rows := [][]string{{"SEVERITY", "ENTRY", "DETAIL"}}
	for _, f := range o.Findings {
		rows = append(rows, []string{string(f.Severity), f.Entry, f.Detail})
	}
	return rows
}

// status returns the exit status for the findings.
func (o checkOutput) status() error {
	for _, f := range o.Findings {
		if f.Severity == configcheck.Error {
			return checkFailed
		}
	}
	if len(o.Findings) > 0 {
		return checkFound
	}
	return nil
}
