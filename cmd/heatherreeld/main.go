// Command heatherreeld is the sidecar of a backend server: it routes the requests of callers to the instances that own
// their keys, and passes those for keys of its own instance to the backend server beside it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"heatherreel/internal/daemon"
	"heatherreel/internal/settings"
)

// version is set by the build with -ldflags "-X main.version=…".
var version = "development"

// Exit codes. docs/settings.md documents them.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	code := exitFailed
	root := &cobra.Command{
		Use:           "heatherreeld",
		Short:         "Route requests to servers that own their keys exclusively",
		Version:       version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			loaded, err := settings.Load(c.Flags(), os.LookupEnv)
			if err != nil {
				code = exitSettings
				return err
			}
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			return daemon.Run(ctx, loaded, os.Stderr)
		},
	}
	settings.Register(root.Flags())
	root.AddCommand(newGatewayCommand(&code))
	root.AddCommand(&cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), version) },
	})
	if err := root.ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(code)
	}
}
