package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"heatherreel/internal/fake"
)

// logEnvPrefix is the prefix of the environment variables that set flags of the log subcommand.
const logEnvPrefix = "HEATHERREEL_STANDIN_LOG_"

// newLogCommand returns the subcommand that runs a stand-in for the platform's log, which keeps its records in memory.
func newLogCommand() *cobra.Command {
	var listen string
	command := &cobra.Command{
		Use:   "log",
		Short: "Run an in-memory implementation of the platform's log, for demos and manual tests",
		Args:  cobra.NoArgs,
		PreRunE: func(c *cobra.Command, _ []string) error {
			return applyEnvironment(c.Flags(), logEnvPrefix)
		},
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			return runLog(ctx, c, listen)
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:7300", "IP address and port to listen on")
	return command
}

// runLog serves the log over HTTP at the listen address until ctx ends.
func runLog(ctx context.Context, c *cobra.Command, listen string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.OutOrStdout(), "log listens on %s\n", listener.Addr())
	server := &http.Server{Handler: fake.NewLogHandler(fake.NewLog()), ReadHeaderTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
