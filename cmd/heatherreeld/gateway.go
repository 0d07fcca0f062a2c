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

// newGatewayCommand returns the subcommand that serves routes.
func newGatewayCommand(code *int) *cobra.Command {
	var file, variable string
	command := &cobra.Command{
		Use:   "gateway",
		Short: "Serve routes to services, with or without keys, by the settings in a file",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if variable != "" {
				file = os.Getenv(variable)
			}
			loaded, err := settings.LoadGateway(file)
			if err != nil {
				*code = exitSettings
				return err
			}
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			changed := make(chan os.Signal, 1)
			signal.Notify(changed, syscall.SIGHUP)
			defer signal.Stop(changed)
			source := daemon.GatewaySource{Load: func() (settings.Gateway, error) { return settings.LoadGateway(file) }, Changed: changed}
			return daemon.RunGateway(ctx, loaded, source, os.Stdout)
		},
		PreRunE: func(*cobra.Command, []string) error {
			if (file == "") == (variable == "") {
				*code = exitSettings
				return problem.New(problem.Invalid, "give one of --settings and --settings-variable", "no settings file is named, or two are")
			}
			return nil
		},
	}
	command.Flags().StringVar(&file, "settings", "", "path of the settings file")
	command.Flags().StringVar(&variable, "settings-variable", "", "environment variable that holds the path of the settings file")
	return command
}
