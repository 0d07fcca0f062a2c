package main

import (
	"context"
	"errors"
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

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "HEATHERREEL_"

// Defaults of flags.
const (
	defaultStream = "heatherreel"
	// defaultTimeout equals the time within which a published configuration must be in effect on all nodes.
	defaultTimeout = 10 * time.Second
)

// flagValues holds the values of the flags of all commands; each command reads only the flags that it declares.
type flagValues struct {
	node, log, stream, output string
	timeout                   time.Duration

	base, revision  uint64
	note, author    string
	service, tenant string
	against         string
}

// envName returns the name of the environment variable that sets the flag: HEATHERREEL_TIMEOUT for --timeout.
func envName(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// run executes the command line, prints any error to stderr and returns the exit code.
func (t *tool) run(ctx context.Context, args []string) exitCode {
	root := t.rootCommand()
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	var status checkStatus
	if errors.As(err, &status) {
		return exitCode(status)
	}
	if err != nil {
		t.printError(err)
	}
	return exitCodeFor(err)
}

// rootCommand returns the root command with all subcommands and the flags that they share.
func (t *tool) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:               "heatherreelctl",
		Short:             "Validate and publish configurations, and inspect nodes",
		Long:              longHelp(),
		SilenceErrors:     true,
		SilenceUsage:      true,
		PersistentPreRunE: t.resolveFlags,
	}
	root.SetOut(t.stdout)
	root.SetErr(t.stderr)
	p := root.PersistentFlags()
	p.StringVar(&t.flags.node, "node", "", "operator address of a node, host:port")
	p.StringVar(&t.flags.log, "log", "", "address of the platform's log, host:port")
	p.StringVar(&t.flags.stream, "stream", defaultStream, "stream of the log")
	p.StringVarP(&t.flags.output, "output", "o", outputTable, "output format, table or json")
	p.DurationVar(&t.flags.timeout, "timeout", defaultTimeout, "time to wait for an answer or for the outcome of publish")
	root.AddCommand(t.validateCommand(), t.publishCommand(), t.showCommand(), t.diffCommand(), t.historyCommand(),
		t.explainCommand(), t.statusCommand(), t.gatewayCommand(), t.configCommand(), t.versionCommand())
	addEnvNamesToUsage(root)
	return root
}

// longHelp returns the long help text of the root command, which lists the exit codes.
func longHelp() string {
	var b strings.Builder
	b.WriteString("Validate and publish configurations, and inspect nodes.\n\nExit codes:\n")
	for _, e := range exitCodes {
		fmt.Fprintf(&b, "  %d  %s: %s\n", e.code, e.name, e.meaning)
	}
	return b.String()
}

// addEnvNamesToUsage appends to the usage text of each flag the environment variable that sets it, for the command and
// its subcommands.
func addEnvNamesToUsage(c *cobra.Command) {
	add := func(f *pflag.Flag) { f.Usage += " [" + envName(f.Name) + "]" }
	c.PersistentFlags().VisitAll(add)
	c.LocalNonPersistentFlags().VisitAll(add)
	for _, child := range c.Commands() {
		addEnvNamesToUsage(child)
	}
}

// resolveFlags sets the flags that are missing on the command line from environment variables, and validates the flags
// that all commands share.
func (t *tool) resolveFlags(c *cobra.Command, _ []string) error {
	var firstErr error
	c.Flags().VisitAll(func(f *pflag.Flag) {
		value := t.getenv(envName(f.Name))
		if f.Changed || value == "" || firstErr != nil {
			return
		}
		if err := c.Flags().Set(f.Name, value); err != nil {
			firstErr = usageError("%s is not valid: %w", envName(f.Name), err)
		}
	})
	if firstErr != nil {
		return firstErr
	}
	if t.flags.output != outputTable && t.flags.output != outputJSON {
		return usageError("--output is %q; it must be table or json", t.flags.output)
	}
	if t.flags.timeout <= 0 {
		return usageError("--timeout must be positive")
	}
	return nil
}

// requireFlags returns a usage error that names the first of the flags without a value, or nil if all have one.
func requireFlags(c *cobra.Command, names ...string) error {
	for _, name := range names {
		if f := c.Flags().Lookup(name); !f.Changed || f.Value.String() == "" {
			return usageError("%s needs --%s or %s", c.Name(), name, envName(name))
		}
	}
	return nil
}

// nodeClient returns a client for the operator address given by --node.
func (t *tool) nodeClient(c *cobra.Command) (*operator.Client, error) {
	if err := requireFlags(c, "node"); err != nil {
		return nil, err
	}
	return operator.NewClient(t.flags.node), nil
}

// logClient returns a client for the log and stream given by --log and --stream.
func (t *tool) logClient(c *cobra.Command) (platformlog.Log, error) {
	if err := requireFlags(c, "log"); err != nil {
		return nil, err
	}
	return t.openLog(t.flags.log, t.flags.stream)
}

// withTimeout returns the context of the command, limited to the duration given by --timeout.
func (t *tool) withTimeout(c *cobra.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.Context(), t.flags.timeout)
}

// readDocument returns the content of the configuration file at path.
func (t *tool) readDocument(path string) ([]byte, error) {
	content, err := t.readFile(path)
	if err != nil {
		return nil, problem.New(errUsage, "name a readable file", "%w", err)
	}
	return content, nil
}

// defaultAuthor returns the user name of the current user, or an empty string if it cannot be determined.
func defaultAuthor() string {
	current, err := user.Current()
	if err != nil {
		return ""
	}
	return current.Username
}

// versionCommand returns the command that prints the version of the binary.
func (t *tool) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Show the version of this build", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return t.print(readBuildVersion()) },
	}
}

// versionOutput is the output of the version command.
type versionOutput struct {
	Version string `json:"version"`
	Commit  string `json:"commit"`
	Go      string `json:"go"`
}

// readBuildVersion returns the version, commit and Go version from the build information embedded in the binary.
func readBuildVersion() versionOutput {
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

// rows implements tableResult.
func (v versionOutput) rows() [][]string {
	return [][]string{{"VERSION", "COMMIT", "GO"}, {v.Version, v.Commit, v.Go}}
}
