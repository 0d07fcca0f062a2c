package settings

import (
	"errors"
	"os"
	"regexp"
	"strings"
	"testing"

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
