//go:build review

package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bounds are figures of the site file that the settings of the nodes name.
type bounds struct {
	memoryMB, drainMS, graceS, retryFloor, maxFDs int
	cpuShare, linkMbps                            float64
}

// crewmark are the figures of crewmark-mesh.toml.
var crewmark = bounds{memoryMB: 284, drainMS: 2000, graceS: 6, retryFloor: 58, maxFDs: 4100, cpuShare: 0.32, linkMbps: 1000}

// node is a machine: a process of the project and the target beside it.
type node struct {
	name, zone, region, service, ip                  string
	outbound, nodes, control, ready, metrics, appear string
	settings                                         string
	target                                           *target

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	output  *os.File
}

// fleet is a deployment on loopback addresses.
type fleet struct {
	dir, program string
	bounds       bounds
	store        *store
	nodes        []*node
	record       *record
	started      time.Time
}

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// newFleet prepares a deployment. network is the third byte of its addresses 127.0.network.x.
func newFleet(dir, program string, network int, b bounds, recordPath string) (*fleet, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, program: program, bounds: b, record: &record{file: file, began: time.Now()}, started: time.Now()}
	f.store, err = startStore(fmt.Sprintf("127.0.%d.250", network))
	return f, err
}

// addNode adds a machine whose target has the options of t, and starts the target.
func (f *fleet) addNode(network, number int, zone, region string, t *target) (*node, error) {
	n := &node{name: fmt.Sprintf("sidecar-%s-%d", zone, number), zone: zone, region: region, service: t.service, ip: fmt.Sprintf("127.0.%d.%d", network, number), target: t}
	var listeners []net.Listener
	listen := func() (string, net.Listener, error) {
		l, err := net.Listen("tcp", net.JoinHostPort(n.ip, "0"))
		if err != nil {
			return "", nil, err
		}
		listeners = append(listeners, l)
		return l.Addr().String(), l, nil
	}
	for _, address := range []*string{&n.outbound, &n.nodes, &n.control, &n.ready, &n.metrics} {
		var err error
		if *address, _, err = listen(); err != nil {
			return nil, err
		}
	}
	_, app, err := listen()
	if err != nil {
		return nil, err
	}
	for _, l := range listeners[:len(listeners)-1] {
		l.Close()
	}
	t.zone, t.control = zone, n.control
	if t.id == "" {
		t.id = fmt.Sprintf("i-%d-%d", number, time.Now().UnixNano()%100000)
	}
	n.appear = app.Addr().String()
	n.settings = filepath.Join(f.dir, n.name+".yaml")
	if err := f.writeSettings(n); err != nil {
		return nil, err
	}
	startTarget(t, app)
	f.nodes = append(f.nodes, n)
	return n, nil
}

// writeSettings renders the settings of deploy/gateway.yaml.tmpl.
func (f *fleet) writeSettings(n *node) error {
	b := f.bounds
	text := fmt.Sprintf(`instance: %q
data_centre: %q
region: %q
service: %q
backend_address: %q
callers_address: %q
nodes_address: %q
heartbeats_address: %q
ready_address: %q
metrics_address: %q
grant_delivery: "heartbeat"
store_address: %q
memory_mb: %d
cpu_share: %v
drain_ms: %d
shutdown_s: %d
retry_ratio: 0.2
retry_window_s: 10
retry_floor: %d
max_fds: %d
link_mbps: %v
revocation_ms: null
revocation_strict: null
learn_capacity: false
`, n.name, n.zone, n.region, n.service, n.appear, n.outbound, n.nodes, n.control, n.ready, n.metrics, f.store.address,
		b.memoryMB, b.cpuShare, b.drainMS, b.graceS, b.retryFloor, b.maxFDs, b.linkMbps)
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// start starts the process of a node with the command of the deploy file.
func (f *fleet) start(n *node) error {
	out, err := os.Create(filepath.Join(f.dir, fmt.Sprintf("%s.%d.log", n.name, time.Now().UnixNano())))
	if err != nil {
		return err
	}
	c := exec.Command(f.program, "gateway", "--settings-variable", "HEATHERREEL_BOOT")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HEATHERREEL_BOOT=" + n.settings}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return err
	}
	started.mu.Lock()
	started.processes = append(started.processes, c.Process)
	started.mu.Unlock()
	exited := make(chan struct{})
	n.mu.Lock()
	n.command, n.exited, n.output = c, exited, out
	n.mu.Unlock()
	go func() {
		_ = c.Wait()
		out.Close()
		close(exited)
	}()
	return nil
}

// started are all processes that were started.
var started struct {
	mu        sync.Mutex
	processes []*os.Process
}

// killStarted kills all processes that were started.
func killStarted() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, p := range started.processes {
		_ = p.Kill()
	}
}

// startAll starts all nodes and waits until they are ready.
func (f *fleet) startAll(limit time.Duration) error {
	for _, n := range f.nodes {
		if err := f.start(n); err != nil {
			return err
		}
	}
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range f.nodes {
			if resp, err := client.Get("http://" + n.ready + "/v1/ready"); err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(f.nodes) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d nodes are ready", ready, len(f.nodes))
		}
	}
}

// stopAll kills all processes.
func (f *fleet) stopAll() {
	for _, n := range f.nodes {
		n.signal(syscall.SIGKILL)
		if n.exited != nil {
			<-n.exited
		}
		close(n.target.stop)
	}
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil {
		_ = n.command.Process.Signal(s)
	}
}

// memory returns VmRSS and VmHWM of the process in KB.
func (n *node) memory() (rss, peak int64) {
	n.mu.Lock()
	pid := n.command.Process.Pid
	n.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for _, line := range bytes.Split(data, []byte("\n")) {
		fields := strings.Fields(string(line))
		if len(fields) < 2 {
			continue
		}
		switch v, _ := strconv.ParseInt(fields[1], 10, 64); fields[0] {
		case "VmRSS:":
			rss = v
		case "VmHWM:":
			peak = v
		}
	}
	return rss, peak
}
