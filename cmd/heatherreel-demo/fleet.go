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

// place is where a node of the demo runs.
type place struct{ dataCentre, region string }

// places lists the nodes of the demo: two in each data centre.
var places = []place{
	{"west-a", "emea-west"}, {"west-a", "emea-west"}, {"west-b", "emea-west"}, {"west-b", "emea-west"},
	{"central-a", "emea-central"}, {"central-a", "emea-central"},
	{"central-b", "emea-central"}, {"central-b", "emea-central"},
}

// portsPerInstance is the number of ports that one instance uses.
const portsPerInstance = 6

// instance is a node with the backend server beside it.
type instance struct {
	name string
	place
	callers, nodes, leases, announcements, operators, backend string
	node, server                                              *launch.Process
}

// fleet is all processes of the demo.
type fleet struct {
	o         options
	logAddr   string
	log       *launch.Process
	instances []*instance
}

func newFleet(o options) *fleet {
	f := &fleet{o: o, logAddr: fmt.Sprintf("127.0.0.1:%d", o.basePort)}
	for i, p := range places {
		port := o.basePort + (i+1)*portsPerInstance
		address := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", port+offset) }
		f.instances = append(f.instances, &instance{
			name: fmt.Sprintf("%s-%d", p.dataCentre, i), place: p,
			callers: address(0), nodes: address(1), leases: address(2), announcements: address(3),
			operators: address(4), backend: address(5),
		})
	}
	return f
}

// start starts a program of the demo with its output in a file.
func (f *fleet) start(name, program string, arguments ...string) (*launch.Process, error) {
	return launch.Start(filepath.Join(f.o.logs, name+".log"), filepath.Join(f.o.bin, program), arguments...)
}

// startNode starts the node of an instance.
func (f *fleet) startNode(i *instance) error {
	var err error
	i.node, err = f.start("node-"+i.name, "heatherreeld",
		"--instance", i.name, "--data-centre", i.dataCentre, "--region", i.region, "--address", "127.0.0.1",
		"--callers-address", i.callers, "--nodes-address", i.nodes, "--leases-address", i.leases,
		"--backend-address", i.announcements, "--operators-address", i.operators,
		"--log-url", "http://"+f.logAddr, "--shutdown-timeout", "20s")
	return err
}

// startServer starts the backend server of an instance.
func (f *fleet) startServer(i *instance) error {
	var err error
	i.server, err = f.start("backend-"+i.name, "heatherreel-standin", "backend",
		"--listen", i.backend, "--announce-to", i.announcements, "--service", service, "--checks-grants")
	return err
}

// startAll starts the log, then all instances.
func (f *fleet) startAll() error {
	var err error
	if f.log, err = f.start("log", "heatherreel-standin", "log", "--listen", f.logAddr); err != nil {
		return err
	}
	for _, i := range f.instances {
		if err := errors.Join(f.startNode(i), f.startServer(i)); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes that still run.
func (f *fleet) stop() {
	for _, i := range f.instances {
		i.node.Kill()
		i.server.Kill()
	}
	f.log.Kill()
}

// control runs heatherreelctl and returns its standard output.
func (f *fleet) control(ctx context.Context, arguments ...string) ([]byte, error) {
	const controlTimeout = 15 * time.Second
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, filepath.Join(f.o.bin, "heatherreelctl"), arguments...)
	command.Env = append(os.Environ(), "HEATHERREEL_LOG="+f.logAddr, "HEATHERREEL_NODE="+f.instances[0].operators)
	out, err := command.Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		err = fmt.Errorf("heatherreelctl %s: exit code %d: %s%s", arguments[0], exit.ExitCode(), exit.Stderr, out)
	}
	return out, err
}
