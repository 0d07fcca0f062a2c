package main

import (
	"context"
	"fmt"
	"os/user"
	"runtime/debug"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"heatherreel/internal/operator"
	"heatherreel/internal/platformlog"
	"heatherreel/internal/problem"
)

// environmentPrefix begins the environment variable of each flag.
const environmentPrefix = "HEATHERREEL_"

// Defaults of flags.
const (
	defaultStream = "heatherreel"
	// defaultTimeout is the time within which a configuration has to be in effect everywhere.
	defaultTimeout = 10 * time.Second
)

// flags are the values of all flags; a command uses those that it declares.
type flags struct {
	node, log, stream, output string
	timeout                   time.Duration

	base, revision  uint64
	note, author    string
	service, tenant string
}

// environmentName returns the environment variable of the flag.
func environmentName(flag string) string {
	return environmentPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// run executes the command line and returns the exit code.
func (t *tool) run(ctx context.Context, args []string) exitCode {
	root := t.root()
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err != nil {
		t.report(err)
	}
	return codeOf(err)
}

// root returns the command tree.
func (t *tool) root() *cobra.Command {
	root := &cobra.Command{
		Use:               "heatherreelctl",
		Short:             "Validate and publish configurations, and see what nodes know",
		Long:              longHelp(),
		SilenceErrors:     true,
		SilenceUsage:      true,
		PersistentPreRunE: t.prepare,
	}
	root.SetOut(t.stdout)
	root.SetErr(t.stderr)
	p := root.PersistentFlags()
	p.StringVar(&t.flags.node, "node", "", "operator address of a node, host:port")
	p.StringVar(&t.flags.log, "log", "", "address of the platform's log, host:port")
	p.StringVar(&t.flags.stream, "stream", defaultStream, "stream of the log")
	p.StringVarP(&t.flags.output, "output", "o", outputTable, "output form, table or json")
	p.DurationVar(&t.flags.timeout, "timeout", defaultTimeout, "time to wait for an answer or for the outcome of publish")
	root.AddCommand(t.validate(), t.publish(), t.show(), t.diff(), t.history(), t.explain(), t.status(), t.gateway(), t.version())
	annotateEnvironment(root)
	return root
}

// longHelp lists the exit codes.
func longHelp() string {
	var b strings.Builder
	b.WriteString("Validate and publish configurations, and see what nodes know.\n\nExit codes:\n")
	for _, e := range exitCodes {
		fmt.Fprintf(&b, "  %d  %s: %s\n", e.code, e.name, e.meaning)
	}
	return b.String()
}

// annotateEnvironment adds to the help of each flag its environment variable.
func annotateEnvironment(c *cobra.Command) {
	add := func(f *pflag.Flag) { f.Usage += " [" + environmentName(f.Name) + "]" }
	c.PersistentFlags().VisitAll(add)
	c.LocalNonPersistentFlags().VisitAll(add)
	for _, child := range c.Commands() {
		annotateEnvironment(child)
	}
}

// prepare takes flags that the command line lacks from the environment and checks those that all commands have.
func (t *tool) prepare(c *cobra.Command, _ []string) error {
	var fault error
	c.Flags().VisitAll(func(f *pflag.Flag) {
		value := t.getenv(environmentName(f.Name))
		if f.Changed || value == "" || fault != nil {
			return
		}
		if err := c.Flags().Set(f.Name, value); err != nil {
			fault = usage("%s is not valid: %w", environmentName(f.Name), err)
		}
	})
	if fault != nil {
		return fault
	}
	if t.flags.output != outputTable && t.flags.output != outputJSON {
		return usage("--output is %q; it must be table or json", t.flags.output)
	}
	if t.flags.timeout <= 0 {
		return usage("--timeout must be positive")
	}
	return nil
}

// require returns a usage error for the first flag without a value.
func require(c *cobra.Command, names ...string) error {
	for _, name := range names {
		if f := c.Flags().Lookup(name); !f.Changed || f.Value.String() == "" {
			return usage("%s needs --%s or %s", c.Name(), name, environmentName(name))
		}
	}
	return nil
}

// client returns a client of the node that the flags name.
func (t *tool) client(c *cobra.Command) (*operator.Client, error) {
	if err := require(c, "node"); err != nil {
		return nil, err
	}
	return operator.NewClient(t.flags.node), nil
}

// logClient returns a client of the stream that the flags name.
func (t *tool) logClient(c *cobra.Command) (platformlog.Log, error) {
	if err := require(c, "log"); err != nil {
		return nil, err
	}
	return t.openLog(t.flags.log, t.flags.stream)
}

// limited returns the context of the command with the timeout of the flags.
func (t *tool) limited(c *cobra.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.Context(), t.flags.timeout)
}

// read returns the content of a file.
func (t *tool) read(path string) ([]byte, error) {
	content, err := t.readFile(path)
	if err != nil {
		return nil, problem.New(errUsage, "name a readable file", "%w", err)
	}
	return content, nil
}

// defaultAuthor returns the name of the person who runs the tool, or nothing.
func defaultAuthor() string {
	current, err := user.Current()
	if err != nil {
		return ""
	}
	return current.Username
}

// version returns the command that writes the version of the build.
func (t *tool) version() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Write the version of this build", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return t.print(buildVersion()) },
	}
}

// versionOutput is the output of version.
type versionOutput struct {
	Version string `json:"version"`
	Commit  string `json:"commit"`
	Go      string `json:"go"`
}

// buildVersion reads what the Go linker recorded.
func buildVersion() versionOutput {
	out := versionOutput{Version: "unknown", Commit: "unknown"}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return out
	}
	out.Version, out.Go = info.Main.Version, info.GoVersion
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			out.Commit = s.Value
		}
	}
	return out
}

// rows implements tabular.
func (v versionOutput) rows() [][]string {
	return [][]string{{"VERSION", "COMMIT", "GO"}, {v.Version, v.Commit, v.Go}}
}
