// Command heatherreel-measure measures the resource use of the router and prints the figures as tables, each with a
// baseline from the same run: control decisions and the memory of data structures at several fleet sizes, the size of
// messages, one engine in a large fleet, and a fleet of processes on loopback. docs/CAPACITY.md derives the capacity at
// the target size from these figures.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/pprof"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

// measureTimeout is the deadline of a whole run; it ends a section that hangs.
const measureTimeout = 6 * time.Minute

// options are the flags of the program.
type options struct {
	bin      string
	basePort int
	logs     string
	profile  string
	seed     uint64
	sections []string
}

// section is a group of tables that can be selected with --sections.
type section struct {
	name string
	run  func(context.Context, options) error
}

// sections lists all sections in the order in which they run.
var sections = []section{
	{"memory", measureMemory},
	{"decisions", measureDecisions},
	{"routing", measureRouting},
	{"wire", measureWire},
	{"events", measureEvents},
	{"node", measureNode},
	{"allocations", measureAllocations},
	{"fleet", measureFleet},
}

func main() {
	var o options
	root := &cobra.Command{
		Use:          "heatherreel-measure",
		Short:        "Measure the processor time, memory, traffic and latency of the router",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			ctx, cancel := context.WithTimeout(ctx, measureTimeout)
			defer cancel()
			return run(ctx, o)
		},
	}
	f := root.Flags()
	f.StringVar(&o.bin, "bin", "bin", "directory of the programs")
	f.IntVar(&o.basePort, "base-port", 21000, "first of about 100 TCP and UDP ports on 127.0.0.1")
	f.StringVar(&o.logs, "logs", "", "directory for the output of the processes; a temporary one if empty")
	f.StringVar(&o.profile, "cpuprofile", "", "file for a processor profile of this process; none if empty")
	f.Uint64Var(&o.seed, "seed", 20261204, "seed of record ids, keys and the choice of members")
	f.StringSliceVar(&o.sections, "sections", nil, "sections to run, of: "+sectionNames()+"; all if empty")
	if root.Execute() != nil {
		os.Exit(1)
	}
}

// sectionNames returns the names of all sections, for the help text.
func sectionNames() string {
	var names []string
	for _, s := range sections {
		names = append(names, s.name)
	}
	return strings.Join(names, ", ")
}

// run prints the machine, then runs the selected sections in the order of the list.
func run(ctx context.Context, o options) error {
	began := time.Now()
	printMachine()
	stop, err := startCPUProfile(o.profile)
	if err != nil {
		return err
	}
	defer stop()
	for _, s := range sections {
		if len(o.sections) > 0 && !slices.Contains(o.sections, s.name) {
			continue
		}
		if err := s.run(ctx, o); err != nil {
			return fmt.Errorf("section %s: %w", s.name, err)
		}
	}
	fmt.Printf("\nload at the end %s; the run took %v\n", loadAverage(), time.Since(began).Round(time.Second))
	return nil
}

// startCPUProfile writes a CPU profile to the file until stop is called. With an empty name it does nothing.
func startCPUProfile(name string) (stop func(), err error) {
	if name == "" {
		return func() {}, nil
	}
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}, nil
}

// printMachine prints the properties of the machine that the figures depend on.
func printMachine() {
	fmt.Printf("%s, %d CPUs (%s), load at the start %s\n", runtime.Version(), runtime.NumCPU(), cpuModel(),
		loadAverage())
}

// cpuModel returns the model name from /proc/cpuinfo, the architecture if the file has no model name, or "unknown
// processor" if it cannot be read.
func cpuModel() string {
	data, err := os.ReadFile("/proc/cpuinfo")
	if err != nil {
		return "unknown processor"
	}
	for line := range strings.Lines(string(data)) {
		if name, value, ok := strings.Cut(line, ":"); ok && strings.TrimSpace(name) == "model name" {
			return strings.TrimSpace(value)
		}
	}
	return runtime.GOARCH
}

// loadAverage returns the load average of the last minute. Figures from a busy machine are upper bounds.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(data), " ")
	return first
}
