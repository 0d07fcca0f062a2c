package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"heatherreel/internal/launch"
)

// service is the service of all backend servers of the demo.
const service = "orders"

// location is where an instance of the demo runs.
type location struct{ dataCentre, region string }

// locations has one entry for each instance of the demo: two in each data centre.
var locations = []location{
	{"west-a", "emea-west"}, {"west-a", "emea-west"}, {"west-b", "emea-west"}, {"west-b", "emea-west"},
	{"central-a", "emea-central"}, {"central-a", "emea-central"},
	{"central-b", "emea-central"}, {"central-b", "emea-central"},
}

// portsPerInstance is the number of ports that one instance uses.
const portsPerInstance = 6

// instance is one machine of the demo: a node and its backend server, with the addresses that they listen on.
type instance struct {
	name string
	location
	callersAddress, nodesAddress, leasesAddress, announcementsAddress, operatorsAddress, backendAddress string
	// nodeProcess and backendProcess are nil while the instance is stopped.
	nodeProcess, backendProcess *launch.Process
}

// fleet holds the processes of the demo: the log and all instances.
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

func (f *fleet) startNode(inst *instance) error {
	var err error
	inst.nodeProcess, err = f.start("node-"+inst.name, "heatherreeld",
		"--instance", inst.name, "--data-centre", inst.dataCentre, "--region", inst.region, "--address", "127.0.0.1",
		"--callers-address", inst.callersAddress, "--nodes-address", inst.nodesAddress,
		"--leases-address", inst.leasesAddress,
		"--backend-address", inst.announcementsAddress, "--operators-address", inst.operatorsAddress,
		"--log-url", "http://"+f.logAddress, "--shutdown-timeout", "20s")
	return err
}

func (f *fleet) startBackendServer(inst *instance) error {
	var err error
	inst.backendProcess, err = f.start("backend-"+inst.name, "heatherreel-standin", "backend",
		"--listen", inst.backendAddress, "--announce-to", inst.announcementsAddress, "--service", service, "--checks-grants")
	return err
}

// startAll starts the log, then the nodes and backend servers of all instances.
func (f *fleet) startAll() error {
	var err error
	if f.logProcess, err = f.start("log", "heatherreel-standin", "log", "--listen", f.logAddress); err != nil {
		return err
	}
	for _, inst := range f.instances {
		if err := errors.Join(f.startNode(inst), f.startBackendServer(inst)); err != nil {
			return err
		}
	}
	return nil
}

// stop kills all running processes.
func (f *fleet) stop() {
	for _, inst := range f.instances {
		inst.nodeProcess.Kill()
		inst.backendProcess.Kill()
	}
	f.logProcess.Kill()
}

// runCtl runs heatherreelctl against the log and the first node, and returns its standard output.
func (f *fleet) runCtl(ctx context.Context, arguments ...string) ([]byte, error) {
	const controlTimeout = 15 * time.Second
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, filepath.Join(f.options.bin, "heatherreelctl"), arguments...)
	command.Env = append(os.Environ(), "HEATHERREEL_LOG="+f.logAddress, "HEATHERREEL_NODE="+f.instances[0].operatorsAddress)
	out, err := command.Output()
	var exitErr *exec.ExitError
	if errors.As(err, &exitErr) {
		err = fmt.Errorf("heatherreelctl %s: exit code %d: %s%s", arguments[0], exitErr.ExitCode(), exitErr.Stderr, out)
	}
	return out, err
}
