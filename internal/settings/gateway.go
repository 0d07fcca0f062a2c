package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net/netip"
	"os"
	"time"

	"go.yaml.in/yaml/v3"

	"heatherreel/internal/problem"
	"heatherreel/internal/stream"
)

// Gateway holds the settings of a node that serves routes. They are read from a YAML file, because the platform writes
// all of them at each start of the node.
type Gateway struct {
	// Instance names the machine; DataCentre and Region say where it is.
	Instance   string `yaml:"instance"`
	DataCentre string `yaml:"data_centre"`
	Region     string `yaml:"region"`
	// Service is the service of the backend server on the same instance, which listens on BackendAddress.
	Service        string `yaml:"service"`
	BackendAddress string `yaml:"backend_address"`
	// Listen addresses, each an IP address and port, for callers, other nodes, heartbeats, readiness checks and
	// metrics.
	CallersAddress    string `yaml:"callers_address"`
	NodesAddress      string `yaml:"nodes_address"`
	HeartbeatsAddress string `yaml:"heartbeats_address"`
	ReadyAddress      string `yaml:"ready_address"`
	MetricsAddress    string `yaml:"metrics_address"`
	// GrantDelivery is how the node grants keys to the backend server: GrantsByHeartbeat or GrantsDirect; empty means the
	// first.
	GrantDelivery string `yaml:"grant_delivery"`
	// StoreAddress is the IP address and port of the platform's store.
	StoreAddress string `yaml:"store_address"`
	// MemoryMB is the memory limit of the process in MB, and CPUShare its share of one core; 1 is a whole core.
	MemoryMB int     `yaml:"memory_mb"`
	CPUShare float64 `yaml:"cpu_share"`
	// DrainMS is how long a backend server continues to serve after the acknowledgement that it is draining, in
	// milliseconds.
	DrainMS int `yaml:"drain_ms"`
	// ShutdownS is the time between the stop signal and the forced kill of the process, in seconds.
	ShutdownS float64 `yaml:"shutdown_s"`
	// RetryRatio, RetryWindowS and RetryFloor limit the retries of the whole fleet to one service in a window of
	// RetryWindowS seconds: RetryRatio as a fraction of the requests to the service, RetryFloor as a number of retries
	// that are allowed in any case.
	RetryRatio   float64 `yaml:"retry_ratio"`
	RetryWindowS float64 `yaml:"retry_window_s"`
	RetryFloor   float64 `yaml:"retry_floor"`
	// MaxFDs is the limit of open file descriptors of the process; 0 if it is not known.
	MaxFDs int `yaml:"max_fds"`
	// LinkMbps is the bandwidth of the instance's network link in Mbit/s; 0 if large answers are not paced.
	LinkMbps float64 `yaml:"link_mbps"`
	// RevocationMS is the time after the acknowledgement of a configuration, in milliseconds, from which a key that it
	// removed admits no request at any node. It is guaranteed only if RevocationStrict is set.
	RevocationMS     int  `yaml:"revocation_ms"`
	RevocationStrict bool `yaml:"revocation_strict"`
	// PipelineDepth is the number of requests on one connection that are in progress at the same time; 0 means the
	// default, DefaultPipelineDepth.
	PipelineDepth int `yaml:"pipeline_depth"`
	// MaxConnections is the limit of connections of callers, and RequestMemoryMB the memory for the heads, bodies and answers
	// of requests in MB. 0 means the defaults of package intake, which follow from MemoryMB and MaxFDs: both protect the
	// memory of the process, so that they cannot be switched off.
	MaxConnections  int `yaml:"max_connections"`
	RequestMemoryMB int `yaml:"request_memory_mb"`
	// MaxConnectionsPerClient is the limit of connections of callers from one address, MaxHeaderFields that of fields in the
	// head of a request, and MinBytesPerSecond the rate at which a caller must send bodies and read answers.
	MaxConnectionsPerClient OptionalLimit `yaml:"max_connections_per_client"`
	MaxHeaderFields         OptionalLimit `yaml:"max_header_fields"`
	MinBytesPerSecond       OptionalLimit `yaml:"min_bytes_per_second"`
	// NestedCalls makes the node recognize the requests that the backend server sends while it executes others. ParseGateway
	// sets it if it is left out.
	NestedCalls bool `yaml:"nested_calls"`
	// LargeBodies is the number of request bodies over 8 MiB that are streamed at once, for callers and for the backend server
	// each; 0 means that they are refused. ParseGateway sets the default, stream.DefaultLimit.
	LargeBodies int `yaml:"large_bodies"`
	// LearnCapacity makes the node measure the concurrency up to which the backend server keeps its speed.
	LearnCapacity bool `yaml:"learn_capacity"`
	// TraceOutput is where spans are written: none, stderr or the path of a file; empty means none. TraceRatio is the
	// fraction of requests whose spans are written.
	TraceOutput string  `yaml:"trace_output"`
	TraceRatio  float64 `yaml:"trace_ratio"`
}

// OptionalLimit is a limit of clients that can be switched off. Its zero value is one that is left out.
type OptionalLimit struct {
	// Given is set if the settings have the limit. Number is the limit then; 0 switches it off.
	Given  bool
	Number int
}

// UnmarshalYAML implements yaml.Unmarshaler. It is not called for null.
func (l *OptionalLimit) UnmarshalYAML(value *yaml.Node) error {
	var number float64
	if err := value.Decode(&number); err != nil {
		return err
	}
	// Decoding to an int would cut 0.5 off to 0, which switches the limit off.
	if number != math.Trunc(number) {
		return fmt.Errorf("line %d: %s is not a whole number", value.Line, value.Value)
	}
	l.Given = true
	return value.Decode(&l.Number)
}

// Replacement returns the number that replaces a default limit: 0 if the default applies, and a negative number if the limit
// is switched off.
func (l OptionalLimit) Replacement() int {
	if l.Given && l.Number == 0 {
		return -1
	}
	return l.Number
}

// DefaultPipelineDepth is the default of Gateway.PipelineDepth.
const DefaultPipelineDepth = 16

// Values of Gateway.GrantDelivery.
const (
	// GrantsByHeartbeat grants keys in the replies to heartbeats.
	GrantsByHeartbeat = "heartbeat"
	// GrantsDirect grants keys by calls to the backend server.
	GrantsDirect = "direct"
)

// withoutReloadable returns the settings with zero values for those that can change while the process runs.
func (s Gateway) withoutReloadable() Gateway {
	s.MemoryMB, s.CPUShare, s.DrainMS, s.ShutdownS, s.RetryRatio, s.RetryWindowS, s.RetryFloor = 0, 0, 0, 0, 0, 0, 0
	return s
}

// NeedsRestart reports whether next differs in a setting that cannot change while the process runs.
func (s Gateway) NeedsRestart(next Gateway) bool {
	return s.withoutReloadable() != next.withoutReloadable()
}

// LoadGateway reads and validates the settings in the file. The error reports all faults together.
func LoadGateway(path string) (Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, problem.New(problem.Invalid, "name a readable file", "settings file: %w", err)
	}
	return ParseGateway(data)
}

// ParseGateway decodes and validates the settings in data.
func ParseGateway(data []byte) (Gateway, error) {
	s := Gateway{NestedCalls: true, LargeBodies: stream.DefaultLimit}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&s); err != nil {
		return Gateway{}, problem.New(problem.Malformed, "correct the settings file", "settings: %w", err)
	}
	if err := decoder.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		return Gateway{}, problem.New(problem.Malformed, "put all settings into one YAML document", "settings: the file has a second document")
	}
	if err := errors.Join(s.faults()...); err != nil {
		return Gateway{}, problem.New(problem.Invalid, "correct the settings file", "settings: %w", err)
	}
	return s, nil
}

// maxSetting bounds each number, so that times do not wrap around. It is above the milliseconds of a week.
const maxSetting = 1e9

// faults returns one error for each invalid or missing setting.
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
		if address, err := netip.ParseAddrPort(f.value); err != nil || address.Port() == 0 {
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
		if !(f.value > 0 && f.value <= maxSetting) {
			faults = append(faults, fmt.Errorf("%s must be positive and at most %d", f.name, int(maxSetting)))
		}
	}
	for _, f := range []struct {
		name  string
		value int
	}{
		{"max_fds", s.MaxFDs}, {"revocation_ms", s.RevocationMS}, {"pipeline_depth", s.PipelineDepth},
		{"max_connections", s.MaxConnections}, {"max_connections_per_client", s.MaxConnectionsPerClient.Number},
		{"request_memory_mb", s.RequestMemoryMB}, {"max_header_fields", s.MaxHeaderFields.Number},
		{"min_bytes_per_second", s.MinBytesPerSecond.Number}, {"large_bodies", s.LargeBodies},
	} {
		if f.value < 0 || f.value > maxSetting {
			faults = append(faults, fmt.Errorf("%s must be from 0 to %d", f.name, int(maxSetting)))
		}
	}
	if s.GrantDelivery != "" && s.GrantDelivery != GrantsByHeartbeat && s.GrantDelivery != GrantsDirect {
		faults = append(faults, fmt.Errorf("grant_delivery %q is neither %s nor %s", s.GrantDelivery, GrantsByHeartbeat, GrantsDirect))
	}
	if !(s.LinkMbps >= 0 && s.LinkMbps <= maxSetting) {
		faults = append(faults, fmt.Errorf("link_mbps must be from 0 to %d", int(maxSetting)))
	}
	if !(s.TraceRatio >= 0 && s.TraceRatio <= 1) {
		faults = append(faults, errors.New("trace_ratio must be from 0 to 1"))
	}
	if !(s.RetryRatio >= 0 && s.RetryRatio <= maxSetting) || !(s.RetryFloor >= 0 && s.RetryFloor <= maxSetting) {
		faults = append(faults, fmt.Errorf("retry_ratio and retry_floor must be from 0 to %d", int(maxSetting)))
	}
	return faults
}

// ShutdownTimeout returns the time between the stop signal and the forced kill of the process.
func (s Gateway) ShutdownTimeout() time.Duration {
	return time.Duration(s.ShutdownS * float64(time.Second))
}

// Revocation returns the time after which a key that a configuration removed admits no request at any node; zero if no
// such time is guaranteed.
func (s Gateway) Revocation() time.Duration {
	if !s.RevocationStrict {
		return 0
	}
	return time.Duration(s.RevocationMS) * time.Millisecond
}

// DrainTime returns how long a backend server continues to serve after the acknowledgement that it is draining.
func (s Gateway) DrainTime() time.Duration { return time.Duration(s.DrainMS) * time.Millisecond }
