package main

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"heatherreel/internal/config"
	"heatherreel/internal/ledger"
	"heatherreel/internal/operator"
	"heatherreel/internal/problem"
)

// currentArgument is the argument of diff that stands for the configuration in effect.
const currentArgument = "current"

// validateCommand returns the command that checks a configuration without publishing it.
func (t *tool) validateCommand() *cobra.Command {
	return &cobra.Command{
		Use: "validate FILE", Short: "Check a configuration without publishing it", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			document, err := t.readDocument(args[0])
			if err != nil {
				return err
			}
			decoded, err := config.Decode(document)
			result := validateOutput{Valid: err == nil}
			if err == nil {
				result.Warnings = decoded.Warnings()
			}
			var faults config.Faults
			if errors.As(err, &faults) {
				result.Faults = faults
			}
			return errors.Join(err, t.print(result))
		},
	}
}

// validateOutput is the output of the validate command.
type validateOutput struct {
	Valid    bool           `json:"valid"`
	Faults   []config.Fault `json:"faults,omitempty"`
	Warnings []config.Fault `json:"warnings,omitempty"`
}

// rows implements tableResult. It leaves out the faults, because the error message lists them.
func (v validateOutput) rows() [][]string {
	if !v.Valid {
		return nil
	}
	rows := [][]string{{"valid"}}
	for _, w := range v.Warnings {
		rows = append(rows, []string{"warning: " + w.String()})
	}
	return rows
}

// showCommand returns the command that prints a revision of the configuration.
func (t *tool) showCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "show", Short: "Show the configuration in effect, or an earlier revision that the log still holds", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel := t.withTimeout(c)
			defer cancel()
			if t.flags.revision == 0 {
				revision, err := t.currentRevision(ctx, c)
				return t.printUnlessError(revisionOutput{revision}, err)
			}
			revision, err := t.findRevision(ctx, c, ledger.Offset(t.flags.revision))
			return t.printUnlessError(revisionOutput{revision}, err)
		},
	}
	c.Flags().Uint64Var(&t.flags.revision, "revision", 0, "revision to show; 0 for the one in effect")
	return c
}

// printUnlessError prints the result if err is nil, and returns err otherwise.
func (t *tool) printUnlessError(result any, err error) error {
	if err != nil {
		return err
	}
	return t.print(result)
}

// revisionOutput is the output of the show command.
type revisionOutput struct{ ledger.Revision }

// text implements textResult. It puts the metadata of the revision into a YAML comment, so that the output is a valid
// configuration document.
func (r revisionOutput) text() string {
	return fmt.Sprintf("# revision %d on base %d by %q: %q\n%s", r.Revision.Revision, r.Base, r.Author, r.Note, r.Document)
}

// currentRevision returns the revision that is in effect at the node.
func (t *tool) currentRevision(ctx context.Context, c *cobra.Command) (ledger.Revision, error) {
	client, err := t.nodeClient(c)
	if err != nil {
		return ledger.Revision{}, err
	}
	configuration, err := client.Configuration(ctx)
	if err != nil {
		return ledger.Revision{}, err
	}
	if configuration.Current == nil {
		return ledger.Revision{}, problem.New(problem.NotFound, "publish the first configuration with --base 0", "no configuration is in effect")
	}
	return *configuration.Current, nil
}

// findRevision returns the wanted revision. It asks the node first, if one is given, and reads the log if the revision
// is not in effect there: only the log holds the documents of earlier revisions.
func (t *tool) findRevision(ctx context.Context, c *cobra.Command, wanted ledger.Offset) (ledger.Revision, error) {
	if t.flags.node != "" {
		revision, err := t.currentRevision(ctx, c)
		if err == nil && revision.Revision == wanted {
			return revision, nil
		}
	}
	log, err := t.logClient(c)
	if err != nil {
		return ledger.Revision{}, err
	}
	page, err := log.Read(ctx, wanted, 1, 0)
	if err != nil {
		return ledger.Revision{}, err
	}
	if len(page.Entries) == 1 && page.Entries[0].Offset == wanted {
		if r := page.Entries[0].Record; r != nil && r.Configuration != nil {
			return ledger.Revision{Revision: wanted, ID: r.ID, Base: r.Configuration.Base, Author: r.Configuration.Author,
				Note: r.Configuration.Note, Document: r.Configuration.Document}, nil
		}
	}
	return ledger.Revision{}, problem.New(problem.NotFound, "choose a revision from `heatherreelctl history`",
		"the log has no configuration at offset %d", wanted)
}

// diffCommand returns the command that compares two configurations.
func (t *tool) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use: "diff A B", Short: "Compare two configurations; each is a file, a revision number, or current",
		Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			ctx, cancel := t.withTimeout(c)
			defer cancel()
			before, err := t.loadConfiguration(ctx, c, args[0])
			if err != nil {
				return err
			}
			after, err := t.loadConfiguration(ctx, c, args[1])
			if err != nil {
				return err
			}
			return t.print(diffOutput{config.Diff(before, after)})
		},
	}
}

// loadConfiguration returns the decoded configuration for an argument of diff: "current", a revision number or a path.
func (t *tool) loadConfiguration(ctx context.Context, c *cobra.Command, argument string) (*config.Configuration, error) {
	var document []byte
	offset, parseErr := strconv.ParseUint(argument, 10, 64)
	switch {
	case argument == currentArgument:
		revision, err := t.currentRevision(ctx, c)
		if err != nil {
			return nil, err
		}
		document = []byte(revision.Document)
	case parseErr == nil:
		revision, err := t.findRevision(ctx, c, ledger.Offset(offset))
		if err != nil {
			return nil, err
		}
		document = []byte(revision.Document)
	default:
		content, err := t.readDocument(argument)
		if err != nil {
			return nil, err
		}
		document = content
	}
	return config.Decode(document)
}

// diffOutput is the output of the diff command.
type diffOutput struct {
	Changes []config.Change `json:"changes"`
}

// rows implements tableResult.
func (d diffOutput) rows() [][]string {
	if len(d.Changes) == 0 {
		return [][]string{{"no differences"}}
	}
	rows := [][]string{{"PATH", "BEFORE", "AFTER"}}
	for _, c := range d.Changes {
		rows = append(rows, []string{c.Path, orDash(c.Before), orDash(c.After)})
	}
	return rows
}

// historyCommand returns the command that lists the revisions of the configuration.
func (t *tool) historyCommand() *cobra.Command {
	return &cobra.Command{
		Use: "history", Short: "List the revisions, the one in effect first", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := t.nodeClient(c)
			if err != nil {
				return err
			}
			ctx, cancel := t.withTimeout(c)
			defer cancel()
			configuration, err := client.Configuration(ctx)
			return t.printUnlessError(newHistoryOutput(configuration), err)
		},
	}
}

// historyOutput is the output of the history command, newest revision first.
type historyOutput struct {
	Revisions []ledger.Revision `json:"revisions"`
}

// newHistoryOutput lists the current revision, without its document, and those before it.
func newHistoryOutput(c operator.Configuration) historyOutput {
	var out historyOutput
	if c.Current != nil {
		newest := *c.Current
		newest.Document = ""
		out.Revisions = append(out.Revisions, newest)
	}
	for i := len(c.History) - 1; i >= 0; i-- {
		out.Revisions = append(out.Revisions, c.History[i])
	}
	return out
}

// rows implements tableResult.
func (h historyOutput) rows() [][]string {
	rows := [][]string{{"REVISION", "BASE", "AUTHOR", "NOTE"}}
	for _, r := range h.Revisions {
		rows = append(rows, []string{numberCell(r.Revision), numberCell(r.Base), r.Author, r.Note})
	}
	return rows
}

// explainCommand returns the command that shows the owner of a key and the settings that apply to it.
func (t *tool) explainCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "explain KEY", Short: "Show who owns a key, where it may be served, and what decided its settings",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			client, err := t.nodeClient(c)
			if err != nil {
				return err
			}
			if err := requireFlags(c, "service"); err != nil {
				return err
			}
			ctx, cancel := t.withTimeout(c)
			defer cancel()
			e, err := client.Explain(ctx, operator.ExplainQuery{Service: t.flags.service, Tenant: t.flags.tenant, Key: args[0]})
			return t.printUnlessError(explanationOutput{e}, err)
		},
	}
	c.Flags().StringVar(&t.flags.service, "service", "", "service of the key")
	c.Flags().StringVar(&t.flags.tenant, "tenant", "", "tenant of the request")
	return c
}

// explanationOutput is the output of the explain command.
type explanationOutput struct{ operator.Explanation }

// rows implements tableResult.
func (e explanationOutput) rows() [][]string {
	owner := "none"
	if e.Owner != nil {
		owner = fmt.Sprintf("%d (instance %s, %s in %s, callers at %s)", e.Owner.Incarnation, e.Owner.Instance,
			e.Owner.DataCentre, e.Owner.Region, e.Owner.Addresses.Callers)
	}
	rows := [][]string{
		{"service", e.Service}, {"tenant", orDash(e.Tenant)}, {"home regions", homeRegionsCell(e.Home)},
		{"slice", fmt.Sprintf("%d of %d", e.Slice, e.Slices)}, {"owner", owner}, {"fence", numberCell(e.Fence)},
		{"configuration", numberCell(e.Revision)}, {"ledger", positionCell(e.Ledger)},
	}
	if len(e.Sources) > 0 {
		rows = append(rows, []string{"waits for release by", fmt.Sprint(e.Sources)})
	}
	rows = append(rows, nil, []string{"SETTING", "VALUE", "DECIDED BY", "REASON"})
	for _, s := range e.Settings {
		rows = append(rows, []string{s.Setting, s.Value, originCell(s), orDash(s.Reason)})
	}
	return rows
}

// originCell returns the table cell that names the default or the exception from which a setting has its value.
func originCell(s config.Explanation) string {
	if s.Origin != config.FromException {
		return string(s.Origin)
	}
	return fmt.Sprintf("exception %s (line %d, %s)", s.Exception, s.Line, s.Match)
}

// positionCell returns the table cell for the offset up to which a node has replayed the log, and whether that offset
// is the newest one.
func positionCell(p operator.Position) string {
	switch p.Freshness {
	case operator.FreshnessCurrent:
		return fmt.Sprintf("%d, current", p.Offset)
	case operator.FreshnessBehind:
		return fmt.Sprintf("%d, behind %d", p.Offset, p.HighestKnown)
	default:
		return fmt.Sprintf("%d, the node cannot tell whether it is current", p.Offset)
	}
}

// statusCommand returns the command that prints the state of a node.
func (t *tool) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show the state of a node: its lease, all nodes and the owners of slices", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return queryNode(t, c, (*operator.Client).Status, func(s operator.Status) any { return statusOutput{s} })
		},
	}
}

// queryNode calls query with a client of the node given by --node, and prints the result after converting it with
// toOutput.
func queryNode[T any](t *tool, c *cobra.Command, query func(*operator.Client, context.Context) (T, error), toOutput func(T) any) error {
	client, err := t.nodeClient(c)
	if err != nil {
		return err
	}
	ctx, cancel := t.withTimeout(c)
	defer cancel()
	result, err := query(client, ctx)
	return t.printUnlessError(toOutput(result), err)
}

// statusOutput is the output of the status command.
type statusOutput struct{ operator.Status }

// rows implements tableResult.
func (s statusOutput) rows() [][]string {
	rows := [][]string{
		{"incarnation", numberCell(s.Incarnation)}, {"instance", s.Instance},
		{"data centre", s.DataCentre + " in " + s.Region}, {"service", orDash(s.Service)},
		{"draining", strconv.FormatBool(s.Draining)}, {"ledger", positionCell(s.Ledger)},
		{"configuration", numberCell(s.Revision)},
		{"lease", fmt.Sprintf("%s, %d ms left, %d witnesses", s.Lease.State, s.Lease.RemainingMS, len(s.Lease.Witnesses))},
		nil, {"NODE", "INSTANCE", "DATA CENTRE", "REGION", "SERVICE", "SLICES", "WEIGHT", "TAKEN OUT", "CALLERS"},
	}
	for _, m := range s.Members {
		rows = append(rows, []string{numberCell(m.Incarnation), m.Instance, m.DataCentre, m.Region, orDash(m.Service),
			numberCell(m.Slices), numberCell(m.Weight), strconv.FormatBool(m.TakenOut), m.Addresses.Callers})
	}
	rows = append(rows, nil, []string{"GROUP", "HOME", "VERSION", "SLICES", "UNOWNED", "UNSETTLED", "OWNER", "OWNED"})
	for _, g := range s.Groups {
		rows = append(rows, groupRows(g)...)
	}
	return rows
}

// groupRows returns one row for each owner of slices in the group, or a single row if no slice has an owner.
func groupRows(g operator.Group) [][]string {
	groupCells := []string{g.Service, homeRegionsCell(g.Home), numberCell(g.Version), numberCell(g.Slices), numberCell(g.Unowned), numberCell(g.Unsettled)}
	if len(g.Owners) == 0 {
		return [][]string{append(groupCells, "-", "0")}
	}
	var rows [][]string
	for _, o := range g.Owners {
		row := append(groupCells[:len(groupCells):len(groupCells)], fmt.Sprintf("%d (%s)", o.Owner, o.Instance), numberCell(o.Slices))
		rows = append(rows, row)
	}
	return rows
}
