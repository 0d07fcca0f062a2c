package clienttest

import (
	"bytes"
	"cmp"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"heatherreel/internal/registry"
	"heatherreel/platform/store/storetest"
)

// Limits of the process under test, which it must keep to whatever clients do. They and the size of the crowd were fixed
// before the product had any limit for its clients.
const (
	// memoryMB is half of the memory of the smallest machine in use.
	memoryMB = 92
	// maxFDs is an eighth of the descriptors of the smallest machine, and lower than the number of clients.
	maxFDs = 512
)

// maxBody is the limit of a request body in the configuration, in bytes.
const maxBody = 4 << 20

// Hosts and paths of the route in the configuration.
const (
	routeHost  = "h.example"
	largePath  = "/large"
	mediumPath = "/medium"
)

// answerSizes are the sizes of the answers of the backend server by path. Large is the largest answer of the reference
// workload.
var answerSizes = map[string]int{largePath: 540_000, mediumPath: 20_000}

// startLimit is the time within which a gateway must serve its first request.
const startLimit = 20 * time.Second

// programDir is the directory of the built program. TestMain sets and removes it.
var programDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "clienttest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	programDir = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// buildProgram builds heatherreeld without the race detector, which would multiply its memory, and returns its path.
var buildProgram = sync.OnceValues(func() (string, error) {
	path := filepath.Join(programDir, "heatherreeld")
	if out, err := exec.Command(cmp.Or(os.Getenv("GO"), "go"), "build", "-o", path, "heatherreel/cmd/heatherreeld").CombinedOutput(); err != nil {
		return "", fmt.Errorf("go build: %w: %s", err, out)
	}
	return path, nil
})

// addresses are the listen addresses of a gateway.
type addresses struct{ callers, nodes, heartbeats, ready, metrics string }

// writeSettings writes the settings file of a gateway and returns its path. Limits for clients that the program gains are
// added here and nowhere else.
func writeSettings(t *testing.T, a addresses, instance, service, backend, store string) string {
	t.Helper()
	text := fmt.Sprintf(`instance: %s
data_centre: west-a
region: emea-west
service: %s
backend_address: %s
callers_address: %s
nodes_address: %s
heartbeats_address: %s
ready_address: %s
metrics_address: %s
store_address: %s
memory_mb: %d
cpu_share: 1
drain_ms: 2000
shutdown_s: 6
retry_ratio: 0.2
retry_window_s: 10
retry_floor: 62
max_fds: %d
`, instance, service, backend, a.callers, a.nodes, a.heartbeats, a.ready, a.metrics, store, memoryMB, maxFDs)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// configuration returns the record of the operators with a limit for bodies.
func configuration(maxBody int) string {
	return fmt.Sprintf(`{"version":"r1","routes":{"a":{"host":%q,"path_prefix":"/","route_type":"idempotent","timeout_ms":8000,
"service":"orders","max_attempts":1}},"services":{"orders":{},"front":{}},
"limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, routeHost, maxBody)
}

// startStore starts a store that holds the configuration and the records of members, and returns its address.
func startStore(t *testing.T, configuration string, members ...registry.Member) string {
	t.Helper()
	return storetest.Start(t, configuration, members...)
}

// bodySum is the field of an answer of the backend server with the checksum of the body of its request, if that was complete.
const bodySum = "X-Body-Sum"

// startBackend starts a backend server, which sends heartbeats to the address, and returns its own address.
func startBackend(t *testing.T, heartbeatsAddress string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		sum := crc32.NewIEEE()
		if _, err := io.Copy(sum, req.Body); err == nil {
			w.Header().Set(bodySum, strconv.Itoa(int(sum.Sum32())))
		}
		w.Header().Set("Heatherreel-Request-Id", req.Header.Get("Heatherreel-Request-Id"))
		w.Header().Set("Heatherreel-Response-Signature", "s")
		size := answerSizes[req.URL.Path]
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(make([]byte, size))
	}))
	address := server.Listener.Addr().String()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	over, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(870 * time.Millisecond)
		defer ticker.Stop()
		answered := false
		for sequence := 1; ; sequence++ {
			body := fmt.Sprintf(`{"service":"orders","address":%q,"zone":"west-a","version":"v1","slots":64,"state":"ready","cold_remaining_ms":0,
"sequence":%d,"born":1769827204538,"holds":[],"freed":[]}`, address, sequence)
			// The first heartbeats fail, as the gateway does not listen yet; they are repeated soon.
			if resp, err := client.Post("http://"+heartbeatsAddress+"/v1/instances/s-1/heartbeat", "application/json", strings.NewReader(body)); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				answered = true
			}
			wait := ticker.C
			if !answered {
				wait = time.After(50 * time.Millisecond)
			}
			select {
			case <-wait:
			case <-over:
				return
			}
		}
	}()
	t.Cleanup(func() {
		close(over)
		<-ended
		client.CloseIdleConnections()
		server.CloseClientConnections()
		server.Close()
	})
	return address
}

// gatewayProcess is a running heatherreeld.
type gatewayProcess struct {
	addresses
	command *exec.Cmd
	output  *bytes.Buffer
	// exited is closed when the process has ended.
	exited chan struct{}
}

// startGateway starts a gateway with stand-ins and waits until it serves a request.
func startGateway(t *testing.T) *gatewayProcess {
	t.Helper()
	a := freeAddresses(t)
	p := startProcess(t, a, writeSettings(t, a, "i-1", "orders", startBackend(t, a.heartbeats), startStore(t, configuration(maxBody))))
	if err := p.awaitAnswer(startLimit); err != nil {
		t.Fatalf("the gateway does not serve before the clients come: %v", err)
	}
	return p
}

// startProcess starts a gateway with the settings in a file.
func startProcess(t *testing.T, a addresses, settings string) *gatewayProcess {
	t.Helper()
	program, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	p := &gatewayProcess{output: &bytes.Buffer{}, exited: make(chan struct{}), addresses: a}
	p.command = exec.Command(program, "gateway", "--settings", settings)
	p.command.Stdout, p.command.Stderr = p.output, p.output
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.exited
		if t.Failed() {
			t.Logf("end of the output of the process: %s", p.output.Bytes()[max(0, p.output.Len()-2000):])
		}
	})
	return p
}

// gatewayIP is the loopback address of gateways. Stand-ins and clients have others: a port that is free for the gateway could
// otherwise be taken by their sockets before it listens.
const gatewayIP = "127.0.0.3"

// freeAddresses returns addresses that nothing listens on, with different ports.
func freeAddresses(t *testing.T) addresses {
	t.Helper()
	var a addresses
	for _, address := range []*string{&a.callers, &a.nodes, &a.heartbeats, &a.ready, &a.metrics} {
		listener, err := net.Listen("tcp", net.JoinHostPort(gatewayIP, "0"))
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		*address = listener.Addr().String()
	}
	return a
}

// awaitAnswer sends an ordinary request and a question of readiness until both are answered with 200, as callers repeat
// refused requests, and returns the last failure if that takes longer than limit.
func (p *gatewayProcess) awaitAnswer(limit time.Duration) error {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	ask := func(url string) error {
		req, err := http.NewRequest(http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		req.Host = routeHost
		req.Header.Set("Heatherreel-Request-Id", "ordinary")
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("%s: status %d (%s)", url, resp.StatusCode, resp.Header.Get("Heatherreel-Reason"))
		}
		return nil
	}
	var err error
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); <-time.After(50 * time.Millisecond) {
		if err = ask("http://" + p.ready + "/v1/ready"); err == nil {
			err = ask("http://" + p.callers + "/a")
		}
		if err == nil {
			return nil
		}
	}
	return err
}

// isAlive reports whether the process runs.
func (p *gatewayProcess) isAlive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// procFile returns the path of a file of the process in /proc.
func (p *gatewayProcess) procFile(name string) string {
	return fmt.Sprintf("/proc/%d/%s", p.command.Process.Pid, name)
}

// memory returns the values VmRSS and VmHWM, which is the highest VmRSS so far, in bytes.
func (p *gatewayProcess) memory() (rss, peak int64, err error) {
	data, err := os.ReadFile(p.procFile("status"))
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		switch kilobytes, _ := strconv.ParseInt(fields[1], 10, 64); fields[0] {
		case "VmRSS:":
			rss = kilobytes << 10
		case "VmHWM:":
			peak = kilobytes << 10
		}
	}
	if rss == 0 || peak == 0 {
		return 0, 0, fmt.Errorf("no VmRSS and VmHWM in %q", data)
	}
	return rss, peak, nil
}

// descriptors returns the number of open descriptors.
func (p *gatewayProcess) descriptors() (int, error) {
	entries, err := os.ReadDir(p.procFile("fd"))
	return len(entries), err
}
