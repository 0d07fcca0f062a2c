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

// currentRevision names the configuration in effect in place of a file or a revision.
const currentRevision = "current"

// validate returns the command that checks a document.
func (t *tool) validate() *cobra.Command {
	return &cobra.Command{
		Use: "validate FILE", Short: "Check a configuration without publishing it", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			document, err := t.read(args[0])
			if err != nil {
				return err
			}
			decoded, err := config.Decode(document)
			result := validation{Valid: err == nil}
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

// validation is the output of validate.
type validation struct {
	Valid    bool           `json:"valid"`
	Faults   []config.Fault `json:"faults,omitempty"`
	Warnings []config.Fault `json:"warnings,omitempty"`
}

// rows implements tabular. Faults are in the error.
func (v validation) rows() [][]string {
	if !v.Valid {
		return nil
	}
	rows := [][]string{{"valid"}}
	for _, w := range v.Warnings {
		rows = append(rows, []string{"warning: " + w.String()})
	}
	return rows
}

// show returns the command that writes a revision.
func (t *tool) show() *cobra.Command {
	c := &cobra.Command{
		Use: "show", Short: "Write the configuration in effect, or an earlier revision that the log keeps", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel := t.limited(c)
			defer cancel()
			if t.flags.revision == 0 {
				revision, err := t.current(ctx, c)
				return t.printIf(revisionOutput{revision}, err)
			}
			revision, err := t.revision(ctx, c, ledger.Offset(t.flags.revision))
			return t.printIf(revisionOutput{revision}, err)
		},
	}
	c.Flags().Uint64Var(&t.flags.revision, "revision", 0, "revision to show; 0 for the one in effect")
	return c
}

// printIf prints the result unless there is an error.
func (t *tool) printIf(result any, err error) error {
	if err != nil {
		return err
	}
	return t.print(result)
}

// revisionOutput is the output of show.
type revisionOutput struct{ ledger.Revision }

// text implements textual: the document after a comment, so that the output is a document again.
func (r revisionOutput) text() string {
	return fmt.Sprintf("# revision %d on base %d by %q: %q\n%s", r.Revision.Revision, r.Base, r.Author, r.Note, r.Document)
}

// current returns the revision in effect at the node.
func (t *tool) current(ctx context.Context, c *cobra.Command) (ledger.Revision, error) {
	client, err := t.client(c)
	if err != nil {
		return ledger.Revision{}, err
	}
	configuration, err := client.Configuration(ctx)
	if err != nil {
		return ledger.Revision{}, err
	}
	if configuration.Current == nil {
		return ledger.Revision{}, problem.New(problem.NotFound, "publish one with --base 0", "no configuration is in effect")
	}
	return *configuration.Current, nil
}

// revision returns a revision from the node if it is in effect there, otherwise from the log, which alone keeps the
// documents of earlier ones.
func (t *tool) revision(ctx context.Context, c *cobra.Command, wanted ledger.Offset) (ledger.Revision, error) {
	if t.flags.node != "" {
		revision, err := t.current(ctx, c)
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

// diff returns the command that compares two configurations.
func (t *tool) diff() *cobra.Command {
	return &cobra.Command{
		Use: "diff A B", Short: "Compare two configurations; each is a file, a revision number, or current",
		Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			ctx, cancel := t.limited(c)
			defer cancel()
			before, err := t.load(ctx, c, args[0])
			if err != nil {
				return err
			}
			after, err := t.load(ctx, c, args[1])
			if err != nil {
				return err
			}
			return t.print(diffOutput{config.Diff(before, after)})
		},
	}
}

// load decodes the configuration that the argument names.
func (t *tool) load(ctx context.Context, c *cobra.Command, name string) (*config.Configuration, error) {
	var document []byte
	number, notNumber := strconv.ParseUint(name, 10, 64)
	switch {
	case name == currentRevision:
		revision, err := t.current(ctx, c)
		if err != nil {
			return nil, err
		}
		document = []byte(revision.Document)
	case notNumber == nil:
		revision, err := t.revision(ctx, c, ledger.Offset(number))
		if err != nil {
			return nil, err
		}
		document = []byte(revision.Document)
	default:
		content, err := t.read(name)
		if err != nil {
			return nil, err
		}
		document = content
	}
	return config.Decode(document)
}

// diffOutput is the output of diff.
type diffOutput struct {
	Changes []config.Change `json:"changes"`
}

// rows implements tabular.
func (d diffOutput) rows() [][]string {
	if len(d.Changes) == 0 {
		return [][]string{{"no differences"}}
	}
	rows := [][]string{{"PATH", "BEFORE", "AFTER"}}
	for _, c := range d.Changes {
		rows = append(rows, []string{c.Path, orNone(c.Before), orNone(c.After)})
	}
	return rows
}

// history returns the command that lists revisions.
func (t *tool) history() *cobra.Command {
	return &cobra.Command{
		Use: "history", Short: "List the revisions, the one in effect first", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := t.client(c)
			if err != nil {
				return err
			}
			ctx, cancel := t.limited(c)
			defer cancel()
			configuration, err := client.Configuration(ctx)
			return t.printIf(newHistory(configuration), err)
		},
	}
}

// historyOutput is the output of history, newest first.
type historyOutput struct {
	Revisions []ledger.Revision `json:"revisions"`
}

// newHistory lists the current revision and those before it.
func newHistory(c operator.Configuration) historyOutput {
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

// rows implements tabular.
func (h historyOutput) rows() [][]string {
	rows := [][]string{{"REVISION", "BASE", "AUTHOR", "NOTE"}}
	for _, r := range h.Revisions {
		rows = append(rows, []string{number(r.Revision), number(r.Base), r.Author, r.Note})
	}
	return rows
}

// explain returns the command that explains a key.
func (t *tool) explain() *cobra.Command {
	c := &cobra.Command{
		Use: "explain KEY", Short: "Say who owns a key, where it may be served, and what decided its settings",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			client, err := t.client(c)
			if err != nil {
				return err
			}
			if err := require(c, "service"); err != nil {
				return err
			}
			ctx, cancel := t.limited(c)
			defer cancel()
			e, err := client.Explain(ctx, operator.Subject{Service: t.flags.service, Tenant: t.flags.tenant, Key: args[0]})
			return t.printIf(explanationOutput{e}, err)
		},
	}
	c.Flags().StringVar(&t.flags.service, "service", "", "service of the key")
	c.Flags().StringVar(&t.flags.tenant, "tenant", "", "tenant of the request")
	return c
}

// explanationOutput is the output of explain.
type explanationOutput struct{ operator.Explanation }

// rows implements tabular.
func (e explanationOutput) rows() [][]string {
	owner := "none"
	if e.Owner != nil {
		owner = fmt.Sprintf("%d (instance %s, %s in %s, callers at %s)", e.Owner.Incarnation, e.Owner.Instance,
			e.Owner.DataCentre, e.Owner.Region, e.Owner.Addresses.Callers)
	}
	rows := [][]string{
		{"service", e.Service}, {"tenant", orNone(e.Tenant)}, {"home regions", homeCell(e.Home)},
		{"slice", fmt.Sprintf("%d of %d", e.Slice, e.Slices)}, {"owner", owner}, {"fence", number(e.Fence)},
		{"configuration", number(e.Revision)}, {"ledger", positionCell(e.Ledger)},
	}
	if len(e.Sources) > 0 {
		rows = append(rows, []string{"waits for release by", fmt.Sprint(e.Sources)})
	}
	rows = append(rows, nil, []string{"SETTING", "VALUE", "DECIDED BY", "REASON"})
	for _, s := range e.Settings {
		rows = append(rows, []string{s.Setting, s.Value, decidedBy(s), orNone(s.Reason)})
	}
	return rows
}

// decidedBy names the default or the exception that decided.
func decidedBy(s config.Explanation) string {
	if s.Origin != config.FromException {
		return string(s.Origin)
	}
	return fmt.Sprintf("exception %s (line %d, %s)", s.Exception, s.Line, s.Match)
}

// positionCell describes how far a node has replayed the log.
func positionCell(p operator.Position) string {
	switch p.Currency {
	case operator.Current:
		return fmt.Sprintf("%d, current", p.Offset)
	case operator.Behind:
		return fmt.Sprintf("%d, behind %d", p.Offset, p.Known)
	default:
		return fmt.Sprintf("%d, the node cannot tell whether it is current", p.Offset)
	}
}

// status returns the command that writes what a node knows.
func (t *tool) status() *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Write what a node knows: itself, nodes and ownership", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return ask(t, c, (*operator.Client).Status, func(s operator.Status) any { return statusOutput{s} })
		},
	}
}

// ask puts one question to the node and prints its answer in the form that output gives it.
func ask[T any](t *tool, c *cobra.Command, question func(*operator.Client, context.Context) (T, error), output func(T) any) error {
	client, err := t.client(c)
	if err != nil {
		return err
	}
	ctx, cancel := t.limited(c)
	defer cancel()
	answer, err := question(client, ctx)
	return t.printIf(output(answer), err)
}

// statusOutput is the output of status.
type statusOutput struct{ operator.Status }

// rows implements tabular.
func (s statusOutput) rows() [][]string {
	rows := [][]string{
		{"incarnation", number(s.Incarnation)}, {"instance", s.Instance},
		{"data centre", s.DataCentre + " in " + s.Region}, {"service", orNone(s.Service)},
		{"draining", strconv.FormatBool(s.Draining)}, {"ledger", positionCell(s.Ledger)},
		{"configuration", number(s.Revision)},
		{"lease", fmt.Sprintf("%s, %d ms left, %d witnesses", s.Lease.State, s.Lease.RemainingMS, len(s.Lease.Witnesses))},
		nil, {"NODE", "INSTANCE", "DATA CENTRE", "REGION", "SERVICE", "SLICES", "WEIGHT", "TAKEN OUT", "CALLERS"},
	}
	for _, m := range s.Members {
		rows = append(rows, []string{number(m.Incarnation), m.Instance, m.DataCentre, m.Region, orNone(m.Service),
			number(m.Slices), number(m.Weight), strconv.FormatBool(m.TakenOut), m.Addresses.Callers})
	}
	rows = append(rows, nil, []string{"GROUP", "HOME", "VERSION", "SLICES", "UNOWNED", "UNSETTLED", "OWNER", "OWNED"})
	for _, g := range s.Groups {
		rows = append(rows, groupRows(g)...)
	}
	return rows
}

// groupRows returns one row for each owner of the group, or one without an owner.
func groupRows(g operator.Group) [][]string {
	head := []string{g.Service, homeCell(g.Home), number(g.Version), number(g.Slices), number(g.Unowned), number(g.Unsettled)}
	if len(g.Owners) == 0 {
		return [][]string{append(head, "-", "0")}
	}
	var rows [][]string
	for _, o := range g.Owners {
		row := append(head[:len(head):len(head)], fmt.Sprintf("%d (%s)", o.Owner, o.Instance), number(o.Slices))
		rows = append(rows, row)
	}
	return rows
}
