package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"go.yaml.in/yaml/v3"

	"heatherreel/internal/problem"
)

// Gateway are the settings of a node that serves routes. They are read from a YAML file, since the platform writes them
// whole at each start.
type Gateway struct {
	// Instance names the machine; DataCentre and Region say where it is.
	Instance   string `yaml:"instance"`
	DataCentre string `yaml:"data_centre"`
	Region     string `yaml:"region"`
	// Service is the service of the backend server beside the node, at BackendAddress.
	Service        string `yaml:"service"`
	BackendAddress string `yaml:"backend_address"`
	// Listen addresses, each an IP address and port: callers, other nodes, heartbeats, readiness and metrics.
	CallersAddress    string `yaml:"callers_address"`
	NodesAddress      string `yaml:"nodes_address"`
	HeartbeatsAddress string `yaml:"heartbeats_address"`
	ReadyAddress      string `yaml:"ready_address"`
	MetricsAddress    string `yaml:"metrics_address"`
	// StoreAddress is the IP address and port of the platform's store.
	StoreAddress string `yaml:"store_address"`
	// MemoryMB is the memory limit of the process, and CPUShare its share of one core.
	MemoryMB int     `yaml:"memory_mb"`
	CPUShare float64 `yaml:"cpu_share"`
	// DrainMS is how long a backend server serves after its draining was acknowledged, in milliseconds.
	DrainMS int `yaml:"drain_ms"`
	// ShutdownS is the time from the request to stop until the process is killed, in seconds.
	ShutdownS float64 `yaml:"shutdown_s"`
	// RetryRatio, RetryWindowS and RetryFloor bound second sends of the whole fleet to one service in a window: a share of
	// its requests, and a number.
	RetryRatio   float64 `yaml:"retry_ratio"`
	RetryWindowS float64 `yaml:"retry_window_s"`
	RetryFloor   float64 `yaml:"retry_floor"`
	// TraceOutput is where spans go: none, stderr or the path of a file; empty for none. TraceRatio is the share of requests
	// whose spans are written.
	TraceOutput string  `yaml:"trace_output"`
	TraceRatio  float64 `yaml:"trace_ratio"`
}

// fixed returns the settings less those that may change while the process runs.
func (s Gateway) fixed() Gateway {
	s.MemoryMB, s.CPUShare, s.DrainMS, s.ShutdownS, s.RetryRatio, s.RetryWindowS, s.RetryFloor = 0, 0, 0, 0, 0, 0, 0
	return s
}

// NeedsRestart reports whether another version of the settings differs in what a running process cannot change.
func (s Gateway) NeedsRestart(next Gateway) bool { return s.fixed() != next.fixed() }

// LoadGateway reads the settings from the file. All faults are reported together.
func LoadGateway(path string) (Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, problem.New(problem.Invalid, "name a file that the process may read", "settings file: %w", err)
	}
	return ParseGateway(data)
}

// ParseGateway returns the checked settings in data.
func ParseGateway(data []byte) (Gateway, error) {
	var s Gateway
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&s); err != nil {
		return Gateway{}, problem.New(problem.Malformed, "correct the settings file", "settings: %w", err)
	}
	if err := errors.Join(s.faults()...); err != nil {
		return Gateway{}, problem.New(problem.Invalid, "correct the settings file", "settings: %w", err)
	}
	return s, nil
}

// faults returns all that is wrong with the settings.
func (s Gateway) faults() []error {
	var faults []error
	for _, f := range []struct{ name, value string }{
		{"instance", s.Instance}, {"data_centre", s.DataCentre}, {"region", s.Region}, {"service", s.Service},
	} {
		if f.value == "" {
			faults = append(faults, fmt.Errorf("%s is missing", f.name))
		}
	}
	for _, f := range []struct{ name, value string }{
		{"backend_address", s.BackendAddress}, {"callers_address", s.CallersAddress}, {"nodes_address", s.NodesAddress},
		{"heartbeats_address", s.HeartbeatsAddress}, {"ready_address", s.ReadyAddress}, {"metrics_address", s.MetricsAddress},
		{"store_address", s.StoreAddress},
	} {
		if host, _, err := net.SplitHostPort(f.value); err != nil || net.ParseIP(host) == nil {
			faults = append(faults, fmt.Errorf("%s %q is not an IP address and port", f.name, f.value))
		}
	}
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"memory_mb", float64(s.MemoryMB)}, {"cpu_share", s.CPUShare}, {"drain_ms", float64(s.DrainMS)},
		{"shutdown_s", s.ShutdownS}, {"retry_window_s", s.RetryWindowS},
	} {
		if f.value <= 0 {
			faults = append(faults, fmt.Errorf("%s must be positive", f.name))
		}
	}
	if s.TraceRatio < 0 || s.TraceRatio > 1 {
		faults = append(faults, errors.New("trace_ratio must be from 0 to 1"))
	}
	if s.RetryRatio < 0 || s.RetryFloor < 0 {
		faults = append(faults, errors.New("retry_ratio and retry_floor must not be negative"))
	}
	return faults
}

// Shutdown returns the time for a planned stop.
func (s Gateway) Shutdown() time.Duration { return time.Duration(s.ShutdownS * float64(time.Second)) }

// Drain returns how long a backend server serves after its draining was acknowledged.
func (s Gateway) Drain() time.Duration { return time.Duration(s.DrainMS) * time.Millisecond }
