// Command heatherreel-demo demonstrates the router with processes on loopback: a stand-in for the platform's log, and
// nodes with stand-ins for backend servers in two regions. It publishes configurations, sends requests, stops and kills
// nodes, and takes a data centre out. It prints the result of each step and exits with 1 if a step fails.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

// demoTimeout is the deadline of the whole demo; it ends a step that hangs.
const demoTimeout = 3 * time.Minute

func main() {
	var o options
	root := &cobra.Command{
		Use:          "heatherreel-demo",
		Short:        "Run the router with processes on loopback and check each step",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			ctx, cancel := context.WithTimeout(ctx, demoTimeout)
			defer cancel()
			return run(ctx, o)
		},
	}
	root.Flags().StringVar(&o.bin, "bin", "bin", "directory of the programs")
	root.Flags().IntVar(&o.basePort, "base-port", 17300, "first of about 100 TCP and UDP ports on 127.0.0.1")
	root.Flags().StringVar(&o.logs, "logs", "", "directory for the output of the processes; a temporary one if empty")
	if root.Execute() != nil {
		os.Exit(1)
	}
}

// options are the flags of the demo.
type options struct {
	bin      string
	basePort int
	logs     string
}

// run runs the steps in order up to the first that fails, and kills all processes at the end.
func run(ctx context.Context, o options) error {
	if o.logs == "" {
		directory, err := os.MkdirTemp("", "heatherreel-demo-")
		if err != nil {
			return err
		}
		o.logs = directory
	}
	f := newFleet(o)
	defer f.stop()
	d := &demo{fleet: f}
	for i, step := range d.steps() {
		began := time.Now()
		note, err := step.run(ctx)
		took := time.Since(began).Round(time.Millisecond)
		if err != nil {
			fmt.Printf("%2d. FAILED  %s (%v): %v\n    output of the processes: %s\n", i+1, step.name, took, err, o.logs)
			return fmt.Errorf("step %d failed", i+1)
		}
		fmt.Printf("%2d. ok      %s (%v)%s\n", i+1, step.name, took, note)
	}
	return nil
}
