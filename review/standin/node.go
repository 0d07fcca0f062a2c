package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is one sidecar machine: a process of the project and a target.
type machine struct {
	index                      int
	name, ip, zone, region     string
	target                     *target
	fleet                      *fleet
	storeAddress, settingsPath string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// fleet is one deployment.
type fleet struct {
	rec      *recorder
	check    *checker
	store    *store
	machines []*machine
	dir      string
	template string
	run      []string
	network  string
}

// Ports, the same on all machines.
const (
	appPort, outboundPort, readyPort, controlPort, nodesPort = 8301, 8304, 8302, 8306, 7620
)

// newFleet reads the deploy file of the project in the current folder.
func newFleet(rec *recorder, check *checker, dir string) (*fleet, error) {
	f := &fleet{rec: rec, check: check, store: newStore(rec), dir: dir}
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	setting := func(name string) string {
		m := regexp.MustCompile(`(?m)^` + name + ` = "(.*)"$`).FindSubmatch(deploy)
		if m == nil {
			return ""
		}
		return string(m[1])
	}
	f.run = strings.Fields(setting("run"))
	template, err := os.ReadFile(setting("template"))
	if err != nil {
		return nil, err
	}
	f.template = string(template)
	// A network of loopback addresses that no other run uses.
	f.network = fmt.Sprintf("127.%d.%d", 16+os.Getpid()%200, 1+os.Getpid()/200%250)
	return f, nil
}

// addMachine adds a machine with a target of a service.
func (f *fleet) addMachine(zone, region, service string, sharded bool, slots int, work func() time.Duration) *machine {
	i := len(f.machines)
	ip := fmt.Sprintf("%s.%d", f.network, 10+i)
	m := &machine{index: i, name: fmt.Sprintf("sidecar-%s-%d", zone, i), ip: ip, zone: zone, region: region, fleet: f,
		storeAddress: fmt.Sprintf("%s.5:%d", f.network, 8400+i), settingsPath: filepath.Join(f.dir, fmt.Sprintf("boot-%d", i))}
	m.target = newTarget(&target{id: fmt.Sprintf("i-%08x", 0x7f3a0000+i), service: service, address: fmt.Sprintf("%s:%d", ip, appPort),
		zone: zone, control: fmt.Sprintf("%s:%d", ip, controlPort), sharded: sharded, slots: slots, work: work, rec: f.rec, check: f.check})
	f.machines = append(f.machines, m)
	return m
}

// settings are the fields of the platform's settings file, as DEPLOY.md shows them for a small deployment.
func (m *machine) settings() map[string]any {
	return map[string]any{"node_id": m.name, "zone": m.zone, "region": m.region, "service": m.target.service, "app_addr": m.target.address,
		"listen": map[string]any{"outbound": fmt.Sprintf("%s:%d", m.ip, outboundPort), "control": fmt.Sprintf("%s:%d", m.ip, controlPort),
			"ready_addr": fmt.Sprintf("%s:%d", m.ip, readyPort)},
		"ip": m.ip, "internal_ports": map[string]any{"0": nodesPort}, "grants": "heartbeat",
		"platform": map[string]any{"address": m.storeAddress}, "limits": map[string]any{"memory_mb": 284, "cpu_share": 0.32},
		"bounds": map[string]any{"drain_ms": 2000, "grace_s": 6, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_min_retries": 62}}
}

// render fills in the template.
func render(template string, fields map[string]any) string {
	return regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`).ReplaceAllStringFunc(template, func(match string) string {
		text := strings.Trim(match, "{}")
		path, asJSON := strings.CutSuffix(text, "|json")
		var value any = fields
		for _, name := range strings.Split(path, ".") {
			table, _ := value.(map[string]any)
			value = table[name]
		}
		if asJSON {
			data, _ := json.Marshal(value)
			return string(data)
		}
		return fmt.Sprint(value)
	})
}

// startNode starts the process of the project.
func (m *machine) startNode() error {
	if err := os.WriteFile(m.settingsPath, []byte(render(m.fleet.template, m.settings())), 0o644); err != nil {
		return err
	}
	run := m.fleet.run
	c := exec.Command(run[0], run[1:]...)
	c.Env = append(os.Environ(), "HEATHERREEL_BOOT="+m.settingsPath)
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, fmt.Sprintf("node-%d.log", m.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() { _ = c.Wait(); close(exited) }()
	m.mu.Lock()
	m.process, m.exited = c, exited
	m.mu.Unlock()
	m.fleet.rec.log("machine %d (%s): process %d started", m.index, m.name, c.Process.Pid)
	return nil
}

// signal sends a signal to the process of the project.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleet.rec.log("machine %d: signal %v", m.index, s)
	_ = m.process.Process.Signal(s)
}

// awaitExit waits until the process has ended.
func (m *machine) awaitExit(limit time.Duration) bool {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// start starts the store, the targets and the processes.
func (f *fleet) start() error {
	for _, m := range f.machines {
		if err := f.store.listen(m.storeAddress, m.index); err != nil {
			return err
		}
		if err := m.target.start(); err != nil {
			return err
		}
		if err := m.startNode(); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, m := range f.machines {
		m.mu.Lock()
		if m.process != nil {
			_ = m.process.Process.Signal(syscall.SIGCONT)
			_ = m.process.Process.Kill()
		}
		m.mu.Unlock()
		m.awaitExit(5 * time.Second)
	}
}

func (m *machine) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/v1/ready", m.ip, readyPort))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

// awaitReady waits until all nodes are ready and all keys of the sharded services are held.
func (f *fleet) awaitReady(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		ok := true
		held := map[string]int{}
		for _, m := range f.machines {
			ok = ok && m.ready()
			if m.target.sharded {
				held[m.target.service] += 0
				for _, r := range m.target.liveRows(time.Now()) {
					held[m.target.service] += r.to - r.from + 1
				}
			}
		}
		for _, n := range held {
			ok = ok && n == 65536
		}
		if ok {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
