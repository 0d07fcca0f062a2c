package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"heatherreel/internal/fake"
)

// backendEnvPrefix is the prefix of the environment variables that set flags of the backend subcommand:
// HEATHERREEL_STANDIN_BACKEND_SLOTS sets --slots.
const backendEnvPrefix = "HEATHERREEL_STANDIN_BACKEND_"

const (
	// drainQuietPeriod is the time without requests after which a draining stand-in exits. Nodes stop sending requests
	// within a few seconds of a drain announcement, and the next announcement follows within one second.
	drainQuietPeriod = 2 * time.Second
	// drainPollInterval is the time between two checks whether the stand-in is drained.
	drainPollInterval = 100 * time.Millisecond
)

// backendSettings holds the flag values of the backend subcommand.
type backendSettings struct {
	listen, announceTo, service string
	slots, connections, weight  uint32
	checksGrants                bool
	serviceTime, drainTimeout   time.Duration
}

// newBackendCommand returns the subcommand that runs a stand-in for a backend server.
func newBackendCommand() *cobra.Command {
	var s backendSettings
	command := &cobra.Command{
		Use:   "backend",
		Short: "Run a simulated backend server, for demos and manual tests",
		Args:  cobra.NoArgs,
		PreRunE: func(c *cobra.Command, _ []string) error {
			return applyEnvironment(c.Flags(), backendEnvPrefix)
		},
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			return runBackend(ctx, c, s)
		},
		SilenceUsage: true,
	}
	s.addFlags(command.Flags())
	return command
}

// addFlags adds the flags of the backend subcommand to f, with their default values.
func (s *backendSettings) addFlags(f *pflag.FlagSet) {
	f.StringVar(&s.listen, "listen", "127.0.0.1:0", "IP address and port that accepts requests of the node")
	f.StringVar(&s.announceTo, "announce-to", "", "IP address and port at which the node accepts announcements")
	f.StringVar(&s.service, "service", "", "service that the backend server provides")
	f.Uint32Var(&s.slots, "slots", 10, "number of requests that run concurrently")
	f.Uint32Var(&s.connections, "connections", 130, "announced connection limit")
	f.Uint32Var(&s.weight, "weight", 100, "announced weight, which sets its share of slices relative to other servers")
	f.BoolVar(&s.checksGrants, "checks-grants", false, "refuse requests without a grant of the same fence")
	f.DurationVar(&s.serviceTime, "service-time", time.Millisecond, "processing time of a request")
	f.DurationVar(&s.drainTimeout, "drain-timeout", 30*time.Second, "maximum time to drain after SIGTERM")
}

// applyEnvironment sets flags that are missing on the command line from environment variables with the prefix.
func applyEnvironment(flags *pflag.FlagSet, prefix string) error {
	var firstErr error
	flags.VisitAll(func(f *pflag.Flag) {
		name := prefix + strings.ToUpper(strings.ReplaceAll(f.Name, "-", "_"))
		value, found := os.LookupEnv(name)
		if !found || f.Changed || firstErr != nil {
			return
		}
		if err := flags.Set(f.Name, value); err != nil {
			firstErr = fmt.Errorf("environment variable %s: %w", name, err)
		}
	})
	return firstErr
}

// validate returns one error that names all settings that are missing or out of range, or nil.
func (s *backendSettings) validate() error {
	var problems []string
	if s.announceTo == "" {
		problems = append(problems, "--announce-to must be the address of the node")
	}
	if s.service == "" {
		problems = append(problems, "--service is required")
	}
	if s.slots == 0 || s.connections == 0 || s.weight == 0 {
		problems = append(problems, "--slots, --connections and --weight must be greater than zero")
	}
	if len(problems) > 0 {
		return fmt.Errorf("invalid settings: %s", strings.Join(problems, "; "))
	}
	return nil
}

// runBackend serves requests and sends announcements until ctx ends, then announces that it is draining and waits until
// it is drained.
func runBackend(ctx context.Context, c *cobra.Command, s backendSettings) error {
	if err := s.validate(); err != nil {
		return err
	}
	backend := fake.NewBackendServer(fake.BackendOptions{
		Service: s.service, Incarnation: uuid.NewString(), Slots: s.slots, Connections: s.connections,
		Weight: s.weight, ChecksGrants: s.checksGrants, ServiceTime: s.serviceTime,
	})
	if err := backend.Listen(s.listen); err != nil {
		return err
	}
	defer backend.Close()
	fmt.Fprintf(c.OutOrStdout(), "backend server of %s listens on %s\n", s.service, backend.Address())
	announcer := fake.NewAnnouncer(backend, s.announceTo, fake.AnnounceInterval, func(err error) {
		fmt.Fprintln(c.ErrOrStderr(), "announcement failed:", err)
	})
	defer announcer.Stop()
	<-ctx.Done()
	backend.SetDraining(true)
	return waitUntilDrained(backend, s.drainTimeout)
}

// waitUntilDrained waits until the backend server is drained, and returns an error if that takes longer than timeout.
// It waits at least drainQuietPeriod, so that the node can learn of the drain.
func waitUntilDrained(b *fake.BackendServer, timeout time.Duration) error {
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	start := time.Now()
	for {
		select {
		case <-deadline.C:
			return fmt.Errorf("not drained after %v: check that the node accepts announcements", timeout)
		case <-poll.C:
		}
		if time.Since(start) >= drainQuietPeriod && b.Drained(drainQuietPeriod) {
			return nil
		}
	}
}
