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

// location is where an instance of the measured fleet runs.
type location struct{ dataCentre, region string }

// locations has one entry for each instance: two in each data centre of two regions.
var locations = []location{
	{"west-a", "emea-west"}, {"west-a", "emea-west"}, {"west-b", "emea-west"}, {"west-b", "emea-west"},
	{"central-a", "emea-central"}, {"central-a", "emea-central"},
	{"central-b", "emea-central"}, {"central-b", "emea-central"},
}

// portsPerInstance is the number of ports that one instance uses.
const portsPerInstance = 6

// instance is one machine of the fleet: a node and its backend server, with the addresses that they listen on.
type instance struct {
	name string
	location
	callersAddress, nodesAddress, leasesAddress, announcementsAddress, operatorsAddress, backendAddress string
	// nodeProcess and backendProcess are nil while the instance is stopped.
	nodeProcess, backendProcess *launch.Process
}

// fleet holds the processes of a measurement: the log and all instances.
type fleet struct {
	options    options
	logAddress string
	logProcess *launch.Process
	instances  []*instance
}

// newFleet assigns addresses from basePort on to all instances, and starts nothing.
func newFleet(o options) *fleet {
	f := &fleet{options: o, logAddress: fmt.Sprintf("127.0.0.1:%d", o.basePort)}
	for i, loc := range locations {
		port := o.basePort + (i+1)*portsPerInstance
		address := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", port+offset) }
		f.instances = append(f.instances, &instance{
			name: fmt.Sprintf("%s-%d", loc.dataCentre, i), location: loc,
			callersAddress: address(0), nodesAddress: address(1), leasesAddress: address(2), announcementsAddress: address(3),
			operatorsAddress: address(4), backendAddress: address(5),
		})
	}
	return f
}

// start starts a program from the bin directory; its output goes to name.log in the logs directory.
func (f *fleet) start(name, program string, arguments ...string) (*launch.Process, error) {
	return launch.Start(filepath.Join(f.options.logs, name+".log"), filepath.Join(f.options.bin, program), arguments...)
}

// startInstance starts the node and the backend server of an instance.
func (f *fleet) startInstance(inst *instance) error {
	var err error
	inst.nodeProcess, err = f.start("node-"+inst.name, "heatherreeld",
		"--instance", inst.name, "--data-centre", inst.dataCentre, "--region", inst.region, "--address", "127.0.0.1",
		"--callers-address", inst.callersAddress, "--nodes-address", inst.nodesAddress, "--leases-address", inst.leasesAddress,
		"--backend-address", inst.announcementsAddress, "--operators-address", inst.operatorsAddress,
		"--log-url", "http://"+f.logAddress)
	if err != nil {
		return err
	}
	inst.backendProcess, err = f.start("backend-"+inst.name, "heatherreel-standin", "backend", "--listen", inst.backendAddress,
		"--announce-to", inst.announcementsAddress, "--service", fleetService, "--checks-grants", "--slots", "64")
	return err
}

// kill kills the node and the backend server, to simulate the loss of the instance.
func (inst *instance) kill() {
	inst.nodeProcess.Kill()
	inst.backendProcess.Kill()
	inst.nodeProcess, inst.backendProcess = nil, nil
}

// startAll starts the log, then the nodes and backend servers of all instances.
func (f *fleet) startAll() error {
	var err error
	if f.logProcess, err = f.start("log", "heatherreel-standin", "log", "--listen", f.logAddress); err != nil {
		return err
	}
	for _, inst := range f.instances {
		if err := f.startInstance(inst); err != nil {
			return err
		}
	}
	return nil
}

// stop kills all running processes.
func (f *fleet) stop() {
	for _, inst := range f.instances {
		inst.kill()
	}
	f.logProcess.Kill()
}

// clockTick is the unit of CPU times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// processCPUTime returns the user and system CPU time of the process from /proc/PID/stat.
func processCPUTime(p *launch.Process) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return 0, err
	}
	// The second field is the program name in parentheses, which may contain spaces. Fields after it start with the
	// third.
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

// residentBytes returns the resident memory of the process, and the part of it that is anonymous (not a mapped file).
func residentBytes(p *launch.Process) (total, anonymous float64, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	for line := range strings.Lines(string(data)) {
		name, value, _ := strings.Cut(line, ":")
		kibibytes, _ := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 64)
		switch name {
		case "VmRSS":
			total = kibibytes * 1024
		case "RssAnon":
			anonymous = kibibytes * 1024
		}
	}
	return total, anonymous, err
}

// cpuTimeDuring runs f and returns the CPU time that each process used in the meantime.
func cpuTimeDuring(ctx context.Context, processes []*launch.Process, f func(context.Context) error) ([]time.Duration, error) {
	used := make([]time.Duration, len(processes))
	for i, p := range processes {
		before, err := processCPUTime(p)
		if err != nil {
			return nil, err
		}
		used[i] = -before
	}
	if err := f(ctx); err != nil {
		return nil, err
	}
	for i, p := range processes {
		after, err := processCPUTime(p)
		if err != nil {
			return nil, err
		}
		used[i] += after
	}
	return used, nil
}
