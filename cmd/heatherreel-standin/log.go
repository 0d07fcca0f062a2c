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

// logEnvironment starts the names of the environment variables of the flags.
const logEnvironment = "HEATHERREEL_STANDIN_LOG_"

// newLogCommand returns the subcommand that runs a stand-in of the platform's log. It keeps its records in memory.
func newLogCommand() *cobra.Command {
	var listen string
	command := &cobra.Command{
		Use:   "log",
		Short: "Run a small stand-in of the platform's log, which keeps its records in memory",
		Args:  cobra.NoArgs,
		PreRunE: func(c *cobra.Command, _ []string) error {
			return applyEnvironment(c.Flags(), logEnvironment)
		},
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			return runLog(ctx, c, listen)
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:7300", "IP address and port")
	return command
}

// runLog serves until ctx ends.
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
