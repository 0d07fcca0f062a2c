package engine

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"heatherreel/internal/fake"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/node"
	"heatherreel/internal/request"
	"heatherreel/internal/telemetry"
)

// confinementChecker searches everything that leaves a node, and what a node retains, for markers outside of their home
// region.
//
// mu guards the counts and violations.
type confinementChecker struct {
	fleet    *fleet
	markers  []marker
	spanFile string

	mu sync.Mutex
	// forwards, releases and executions count the occurrences of markers inside their home region. If they are zero,
	// the test checked nothing.
	forwards, releases, executions int
	// violations counts the markers that were found outside of their home region, by description.
	violations map[string]int
}

// newConfinementChecker returns a checker that observes a fleet. It must be called before the first node is started.
func newConfinementChecker(t *testing.T, f *fleet, markers []marker) *confinementChecker {
	t.Helper()
	c := &confinementChecker{
		fleet: f, markers: markers, violations: map[string]int{}, spanFile: filepath.Join(t.TempDir(), "spans"),
	}
	tracing, err := telemetry.NewTracing(c.spanFile, 1, telemetry.Identity{})
	if err != nil {
		t.Fatal(err)
	}
	f.tracing = tracing
	// After checkTelemetry this is a second shutdown, which fails without effect.
	t.Cleanup(func() { _ = tracing.Shutdown(context.Background()) })
	f.network.Observe(c.checkMessage)
	f.wrapBackend = func(n *fleetNode, b Backend) Backend { return checkedBackend{Backend: b, checker: c, node: n} }
	return c
}

// markerHomeRegions returns the home regions of the markers that a value contains.
func (c *confinementChecker) markerHomeRegions(v any) map[string]bool {
	homeRegions := map[string]bool{}
	visitBytes(v, func(p []byte) {
		for _, m := range c.markers {
			if !homeRegions[m.homeRegion] && m.occursIn(p) {
				homeRegions[m.homeRegion] = true
			}
		}
	})
	return homeRegions
}

// addViolation records that a marker was found outside of its home region.
func (c *confinementChecker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations[fmt.Sprintf(format, args...)]++
}

// checkMessage checks a message between nodes or to the log.
func (c *confinementChecker) checkMessage(m fake.Message) {
	for home := range c.markerHomeRegions(m.Payload) {
		switch {
		case m.To == nil:
			c.addViolation("%T with home region %s went to the log", m.Payload, home)
		case m.From.Region != home || m.To.Region != home:
			c.addViolation("%T with home region %s went from %s to %s", m.Payload, home, m.From.Region, m.To.Region)
		default:
			c.countMessage(m.Payload)
		}
	}
}

// countMessage counts a message that stayed inside the home region.
func (c *confinementChecker) countMessage(payload any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch payload.(type) {
	case node.ForwardedRequest:
		c.forwards++
	case node.ReleaseResult:
		c.releases++
	}
}

// checkedBackend checks the requests that a backend server receives.
type checkedBackend struct {
	Backend
	checker *confinementChecker
	node    *fleetNode
}

// Execute implements Backend.
func (b checkedBackend) Execute(
	ctx context.Context, address string, slice keyspace.SliceID, fence ledger.Offset, r request.Request,
) request.Answer {
	b.checker.checkExecution(b.node, r)
	return b.Backend.Execute(ctx, address, slice, fence, r)
}

// checkExecution checks one request to a backend server.
func (c *confinementChecker) checkExecution(n *fleetNode, r request.Request) {
	for home := range c.markerHomeRegions(r) {
		if n.host.Region != home {
			c.addViolation("a backend server in %s received a request with home region %s", n.host.Region, home)
			continue
		}
		c.mu.Lock()
		c.executions++
		c.mu.Unlock()
	}
}

// checkNodeState checks the retained outcomes of the live nodes and the status that they report to operators.
func (c *confinementChecker) checkNodeState() {
	for _, n := range c.fleet.liveNodes() {
		n.engine.outcomes.mu.Lock()
		retained := c.markerHomeRegions(n.engine.outcomes.table)
		n.engine.outcomes.mu.Unlock()
		for home := range retained {
			if n.host.Region != home {
				c.addViolation("a node in %s retains an outcome with home region %s", n.host.Region, home)
			}
		}
		for home := range c.markerHomeRegions(n.status()) {
			c.addViolation("the status of a node in %s contains a marker of home region %s", n.host.Region, home)
		}
	}
}

// checkTelemetry checks events, metrics and spans. They must contain no marker at all.
func (c *confinementChecker) checkTelemetry(t *testing.T) {
	t.Helper()
	if err := c.fleet.tracing.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	spans, err := os.ReadFile(c.spanFile)
	if err != nil {
		t.Fatal(err)
	}
	response := httptest.NewRecorder()
	c.fleet.metrics.Handler().ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	for name, text := range map[string]string{
		"events": c.fleet.events.String(), "metrics": response.Body.String(), "spans": string(spans),
	} {
		if text == "" {
			t.Errorf("no %s were written", name)
		}
		for home := range c.markerHomeRegions(text) {
			t.Errorf("the %s contain a marker of home region %s", name, home)
		}
	}
}

// checkResults fails the test for each violation, and if no marker was seen in a forward, a release or an execution.
func (c *confinementChecker) checkResults(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for violation, count := range c.violations {
		t.Errorf("%s (%d times)", violation, count)
	}
	t.Logf("inside the home region: %d forwards, %d releases with outcomes, %d executions", c.forwards, c.releases,
		c.executions)
	if c.forwards == 0 || c.releases == 0 || c.executions == 0 {
		t.Error("the load caused no forwards, no releases with outcomes or no executions")
	}
}
