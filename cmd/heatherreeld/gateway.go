package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"heatherreel/internal/daemon"
	"heatherreel/internal/problem"
	"heatherreel/internal/settings"
)

// newGatewayCommand returns the subcommand that runs a gateway. It sets *exitCode to exitSettings before it returns an
// error about the settings.
func newGatewayCommand(exitCode *int) *cobra.Command {
	var path, pathVariable string
	command := &cobra.Command{
		Use:   "gateway",
		Short: "Run a gateway for keyed and unkeyed routes to services, with the settings from a file",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if pathVariable != "" {
				path = os.Getenv(pathVariable)
			}
			initial, err := settings.LoadGateway(path)
			if err != nil {
				*exitCode = exitSettings
				return err
			}
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			reload := make(chan os.Signal, 1)
			signal.Notify(reload, syscall.SIGHUP)
			defer signal.Stop(reload)
			source := daemon.SettingsSource{Load: func() (settings.Gateway, error) { return settings.LoadGateway(path) }, Changed: reload}
			return daemon.RunGateway(ctx, initial, source, os.Stdout)
		},
		PreRunE: func(*cobra.Command, []string) error {
			if (path == "") == (pathVariable == "") {
				*exitCode = exitSettings
				return problem.New(problem.Invalid, "set either --settings or --settings-variable", "neither or both of --settings and --settings-variable are set")
			}
			return nil
		},
	}
	command.Flags().StringVar(&path, "settings", "", "path of the settings file")
	command.Flags().StringVar(&pathVariable, "settings-variable", "", "environment variable that holds the path of the settings file")
	return command
}
