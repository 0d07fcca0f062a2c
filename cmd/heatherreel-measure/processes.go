package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"heatherreel/internal/launch"
)

// fleetService is the service of all backend servers of the measured fleet.
const fleetService = "orders"

// site is where a node of the measured fleet runs.
type site struct{ dataCentre, region string }

// sites lists the nodes: two in each data centre of two regions.
var sites = []site{
	{"west-a", "emea-west"}, {"west-a", "emea-west"}, {"west-b", "emea-west"}, {"west-b", "emea-west"},
	{"central-a", "emea-central"}, {"central-a", "emea-central"},
	{"central-b", "emea-central"}, {"central-b", "emea-central"},
}

// portsPerInstance is the number of ports that one instance uses.
const portsPerInstance = 6

// instance is a node with the backend server beside it.
type instance struct {
	name string
	site
	callers, nodes, leases, announcements, operators, backend string
	node, server                                              *launch.Process
}

// fleet is all processes of a measurement.
type fleet struct {
	o         options
	logAddr   string
	log       *launch.Process
	instances []*instance
}

func newFleet(o options) *fleet {
	f := &fleet{o: o, logAddr: fmt.Sprintf("127.0.0.1:%d", o.basePort)}
	for i, s := range sites {
		port := o.basePort + (i+1)*portsPerInstance
		address := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", port+offset) }
		f.instances = append(f.instances, &instance{
			name: fmt.Sprintf("%s-%d", s.dataCentre, i), site: s,
			callers: address(0), nodes: address(1), leases: address(2), announcements: address(3),
			operators: address(4), backend: address(5),
		})
	}
	return f
}

// start starts a program with its output in a file.
func (f *fleet) start(name, program string, arguments ...string) (*launch.Process, error) {
	return launch.Start(filepath.Join(f.o.logs, name+".log"), filepath.Join(f.o.bin, program), arguments...)
}

// startInstance starts a node and its backend server.
func (f *fleet) startInstance(i *instance) error {
	var err error
	i.node, err = f.start("node-"+i.name, "heatherreeld",
		"--instance", i.name, "--data-centre", i.dataCentre, "--region", i.region, "--address", "127.0.0.1",
		"--callers-address", i.callers, "--nodes-address", i.nodes, "--leases-address", i.leases,
		"--backend-address", i.announcements, "--operators-address", i.operators, "--log-url", "http://"+f.logAddr)
	if err != nil {
		return err
	}
	i.server, err = f.start("backend-"+i.name, "heatherreel-standin", "backend", "--listen", i.backend,
		"--announce-to", i.announcements, "--service", fleetService, "--checks-grants", "--slots", "64")
	return err
}

// killInstance ends a node and its backend server, as the loss of the instance would.
func (i *instance) killInstance() {
	i.node.Kill()
	i.server.Kill()
	i.node, i.server = nil, nil
}

// startAll starts the log, then all instances.
func (f *fleet) startAll() error {
	var err error
	if f.log, err = f.start("log", "heatherreel-standin", "log", "--listen", f.logAddr); err != nil {
		return err
	}
	for _, i := range f.instances {
		if err := f.startInstance(i); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes that still run.
func (f *fleet) stop() {
	for _, i := range f.instances {
		i.killInstance()
	}
	f.log.Kill()
}

// clockTick is the unit of the times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// processorTime returns the user and system time of the process.
func processorTime(p *launch.Process) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return 0, err
	}
	// The fields after the program's name, which may hold spaces, begin with the third.
	text := string(data)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	const user, system = 14 - 3, 15 - 3
	var ticks int
	for _, field := range []int{user, system} {
		n, err := strconv.Atoi(fields[field])
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

// residentBytes returns the memory of the process: all of it, and the part that is not a mapped file.
func residentBytes(p *launch.Process) (all, anonymous float64, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	for line := range strings.Lines(string(data)) {
		name, value, _ := strings.Cut(line, ":")
		kilobytes, _ := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 64)
		switch name {
		case "VmRSS":
			all = kilobytes * 1024
		case "RssAnon":
			anonymous = kilobytes * 1024
		}
	}
	return all, anonymous, err
}

// within runs f and returns the processor time of each process meanwhile.
func within(ctx context.Context, processes []*launch.Process, f func(context.Context) error) ([]time.Duration, error) {
	used := make([]time.Duration, len(processes))
	for i, p := range processes {
		before, err := processorTime(p)
		if err != nil {
			return nil, err
		}
		used[i] = -before
	}
	if err := f(ctx); err != nil {
		return nil, err
	}
	for i, p := range processes {
		after, err := processorTime(p)
		if err != nil {
			return nil, err
		}
		used[i] += after
	}
	return used, nil
}
