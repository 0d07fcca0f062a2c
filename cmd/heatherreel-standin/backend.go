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

// backendEnvironment starts the names of the environment variables of the flags: --slots is
// HEATHERREEL_STANDIN_BACKEND_SLOTS.
const backendEnvironment = "HEATHERREEL_STANDIN_BACKEND_"

const (
	// drainQuiet is how long no request may have arrived before the stand-in exits. Nodes stop sending within a few
	// seconds of a drain announcement; the next announcement is at most one second away.
	drainQuiet = 2 * time.Second
	// drainPoll is the time between two checks whether the stand-in is drained.
	drainPoll = 100 * time.Millisecond
)

// backendSettings are the flags of the subcommand.
type backendSettings struct {
	listen, announceTo, service string
	slots, connections, weight  uint32
	checksGrants                bool
	serviceTime, drainTimeout   time.Duration
}

// newBackendCommand returns the subcommand that runs a stand-in of a backend server.
func newBackendCommand() *cobra.Command {
	var s backendSettings
	command := &cobra.Command{
		Use:   "backend",
		Short: "Run a small stand-in of a backend server",
		Args:  cobra.NoArgs,
		PreRunE: func(c *cobra.Command, _ []string) error {
			return applyEnvironment(c.Flags(), backendEnvironment)
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

// addFlags declares the flags.
func (s *backendSettings) addFlags(f *pflag.FlagSet) {
	f.StringVar(&s.listen, "listen", "127.0.0.1:0", "IP address and port for requests of the node")
	f.StringVar(&s.announceTo, "announce-to", "", "IP address and port at which the node takes announcements")
	f.StringVar(&s.service, "service", "", "service that the backend server offers")
	f.Uint32Var(&s.slots, "slots", 10, "requests that run at once")
	f.Uint32Var(&s.connections, "connections", 130, "connections that it states to accept")
	f.Uint32Var(&s.weight, "weight", 100, "relative share of slices")
	f.BoolVar(&s.checksGrants, "checks-grants", false, "refuse requests without a grant of the same fence")
	f.DurationVar(&s.serviceTime, "service-time", time.Millisecond, "time of one request in a slot")
	f.DurationVar(&s.drainTimeout, "drain-timeout", 30*time.Second, "longest wait for the drain after SIGTERM")
}

// applyEnvironment sets the flags that the command line leaves out from environment variables.
func applyEnvironment(flags *pflag.FlagSet, prefix string) error {
	var failed error
	flags.VisitAll(func(f *pflag.Flag) {
		name := prefix + strings.ToUpper(strings.ReplaceAll(f.Name, "-", "_"))
		value, found := os.LookupEnv(name)
		if !found || f.Changed || failed != nil {
			return
		}
		if err := flags.Set(f.Name, value); err != nil {
			failed = fmt.Errorf("environment variable %s: %w", name, err)
		}
	})
	return failed
}

// validate reports all settings that are missing or out of range.
func (s *backendSettings) validate() error {
	var faults []string
	if s.announceTo == "" {
		faults = append(faults, "set --announce-to to the address of the node")
	}
	if s.service == "" {
		faults = append(faults, "set --service")
	}
	if s.slots == 0 || s.connections == 0 || s.weight == 0 {
		faults = append(faults, "set --slots, --connections and --weight above zero")
	}
	if len(faults) > 0 {
		return fmt.Errorf("invalid settings: %s", strings.Join(faults, "; "))
	}
	return nil
}

// runBackend serves and announces until ctx ends, then announces draining and waits for the drain.
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
	return waitDrained(backend, s.drainTimeout)
}

// waitDrained waits until the backend server is drained. It returns an error if that takes longer than timeout.
func waitDrained(b *fake.BackendServer, timeout time.Duration) error {
	expired := time.NewTimer(timeout)
	defer expired.Stop()
	poll := time.NewTicker(drainPoll)
	defer poll.Stop()
	began := time.Now()
	for {
		select {
		case <-expired.C:
			return fmt.Errorf("not drained after %v: check that the node takes announcements", timeout)
		case <-poll.C:
		}
		if time.Since(began) >= drainQuiet && b.Drained(drainQuiet) {
			return nil
		}
	}
}
