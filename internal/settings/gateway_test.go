package settings

import (
	"errors"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"heatherreel/internal/problem"
)

const gatewaySettings = `
instance: i-1
data_centre: dc-1
region: r-1
service: orders
backend_address: 10.0.0.1:8301
callers_address: 10.0.0.1:8304
nodes_address: 10.0.0.1:7620
heartbeats_address: 10.0.0.1:8306
ready_address: 10.0.0.1:8302
metrics_address: 10.0.0.1:9464
grant_delivery: direct
store_address: 10.0.0.2:8309
memory_mb: 284
cpu_share: 0.32
drain_ms: 2000
shutdown_s: 6
retry_ratio: 0.2
retry_window_s: 10
retry_floor: 62
max_fds: 4100
link_mbps: 10
revocation_ms: 5000
revocation_strict: true
learn_capacity: true
`

// Guards against accepting settings with which a node could not run, and against reporting only the first fault.
func TestGatewaySettingsAreChecked(t *testing.T) {
	if _, err := ParseGateway([]byte(gatewaySettings)); err != nil {
		t.Fatal(err)
	}
	_, err := ParseGateway([]byte(strings.NewReplacer("instance: i-1", "instance: \"\"", "memory_mb: 284", "memory_mb: 0", "grant_delivery: direct", "grant_delivery: post", "10.0.0.2:8309", "store").Replace(gatewaySettings)))
	if !errors.Is(err, problem.Invalid) || !strings.Contains(err.Error(), "instance") || !strings.Contains(err.Error(), "memory_mb") || !strings.Contains(err.Error(), "grant_delivery") || !strings.Contains(err.Error(), "store_address") {
		t.Errorf("got %v", err)
	}
	if _, err := ParseGateway([]byte(gatewaySettings + "unknown: 1\n")); !errors.Is(err, problem.Malformed) {
		t.Errorf("an unknown setting: %v", err)
	}
}

// Guards against a template in deploy that lacks a setting or contains one that does not exist.
func TestTemplateNamesAllSettings(t *testing.T) {
	template, err := os.ReadFile("../../deploy/gateway.yaml.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	name := regexp.MustCompile(`(?m)^(\w+):`)
	want := name.FindAllString(gatewaySettings, -1)
	if got := name.FindAllString(string(template), -1); strings.Join(got, " ") != strings.Join(want, " ") {
		t.Errorf("the template has %v, want %v", got, want)
	}
}

// Guards against settings that are no numbers, wrap around, or stand in a second document, and are accepted: a node would
// run without its limits.
func TestOddGatewaySettingsAreRefused(t *testing.T) {
	for old, odd := range map[string][]string{
		"retry_ratio: 0.2":    {"retry_ratio: .nan", "retry_ratio: .inf", "retry_ratio: -0.1"},
		"retry_floor: 62":     {"retry_floor: .nan", "retry_floor: .inf"},
		"retry_window_s: 10":  {"retry_window_s: .nan", "retry_window_s: .inf", "retry_window_s: 1e300"},
		"cpu_share: 0.32":     {"cpu_share: .nan", "cpu_share: .inf"},
		"shutdown_s: 6":       {"shutdown_s: .inf", "shutdown_s: 1e18"},
		"drain_ms: 2000":      {"drain_ms: 9223372036854775807", "drain_ms: 99999999999999999999"},
		"max_fds: 4100":       {"max_fds: -1", "max_fds: 1e300"},
		"link_mbps: 10":       {"link_mbps: -1", "link_mbps: .nan", "link_mbps: .inf"},
		"revocation_ms: 5000": {"revocation_ms: -1", "revocation_ms: soon"},
		"learn_capacity: true": {"max_connections: -1", "max_connections_per_client: -1", "request_memory_mb: -1",
			"max_header_fields: -1", "min_bytes_per_second: -1", "request_memory_mb: 1e300"},
		"metrics_address: 10.0.0.1:9464": {"metrics_address: 10.0.0.1:70000", "metrics_address: 10.0.0.1:0", "metrics_address: host:9464", "metrics_address: 10.0.0.1:http"},
		"retry_floor: 62\n":              {"retry_floor: 62\n---\ninstance: i-2\n", "retry_floor: 62\n--- [\n"},
		"instance: i-1\n":                {"instance: i-1\ninstance: i-2\n", "instance: " + strings.Repeat("[", 20000) + "\n"},
	} {
		for _, value := range odd {
			if _, err := ParseGateway([]byte(strings.Replace(gatewaySettings, old, value, 1))); !errors.Is(err, problem.Invalid) && !errors.Is(err, problem.Malformed) {
				t.Errorf("%.40s: %v", value, err)
			}
		}
	}
}

// Guards against a time for the revocation of keys that is enforced where it is not asked for, or not where it is: a node
// that does not reach the store would refuse requests for nothing.
func TestRevocationIsEnforcedOnlyIfStrict(t *testing.T) {
	for text, want := range map[string]time.Duration{"revocation_strict: true": 5 * time.Second, "revocation_strict: false": 0, "revocation_strict:": 0} {
		s, err := ParseGateway([]byte(strings.Replace(gatewaySettings, "revocation_strict: true", text, 1)))
		if err != nil || s.Revocation() != want {
			t.Errorf("%s: %v, %v", text, s.Revocation(), err)
		}
	}
}

// Guards against calls that are not recognized unless a setting asks for it, and against a switch without effect. Templates
// render settings that are not given as null.
func TestNestedCallsAreRecognizedUnlessSwitchedOff(t *testing.T) {
	for text, want := range map[string]bool{"": true, "nested_calls:\n": true, "nested_calls: null\n": true, "nested_calls: true\n": true, "nested_calls: false\n": false} {
		if s, err := ParseGateway([]byte(gatewaySettings + text)); err != nil || s.NestedCalls != want {
			t.Errorf("%q: %v, %v", text, s.NestedCalls, err)
		}
	}
}

// Guards against a limit of clients that cannot be switched off, and against one that is off although the settings do not say
// so: templates render settings that are not given as null.
func TestClientLimitsAreSwitchedOffByZeroOnly(t *testing.T) {
	for _, name := range []string{"max_connections_per_client", "max_header_fields", "min_bytes_per_second"} {
		for value, want := range map[string]int{"": 0, "null": 0, "0": -1, "70": 70} {
			s, err := ParseGateway([]byte(gatewaySettings + name + ": " + value + "\n"))
			limits := map[string]OptionalLimit{"max_connections_per_client": s.MaxConnectionsPerClient, "max_header_fields": s.MaxHeaderFields,
				"min_bytes_per_second": s.MinBytesPerSecond}
			if got := limits[name].Replacement(); err != nil || got != want {
				t.Errorf("%s: %q: %d, want %d; %v", name, value, got, want, err)
			}
		}
		for _, odd := range []string{"-1", "0.5", ".nan", "many", "1e300", "99999999999999999999", "[0]", "{}"} {
			if _, err := ParseGateway([]byte(gatewaySettings + name + ": " + odd + "\n")); !errors.Is(err, problem.Invalid) && !errors.Is(err, problem.Malformed) {
				t.Errorf("%s: %s: %v", name, odd, err)
			}
		}
	}
	s, err := ParseGateway([]byte(gatewaySettings))
	if err != nil || s.MaxConnectionsPerClient.Replacement() != 0 || s.MaxHeaderFields.Replacement() != 0 || s.MinBytesPerSecond.Replacement() != 0 {
		t.Errorf("without these settings: %+v, %v", s, err)
	}
}

// Guards against large bodies that are refused because the setting is left out, or streamed although it is 0.
func TestLargeBodiesDefault(t *testing.T) {
	for line, want := range map[string]int{"": 2, "large_bodies: 0\n": 0, "large_bodies: 5\n": 5} {
		if s, err := ParseGateway([]byte(gatewaySettings + line)); err != nil || s.LargeBodies != want {
			t.Errorf("%q: %d, %v", line, s.LargeBodies, err)
		}
	}
	if _, err := ParseGateway([]byte(gatewaySettings + "large_bodies: -1\n")); !errors.Is(err, problem.Invalid) {
		t.Errorf("a negative number: %v", err)
	}
}
