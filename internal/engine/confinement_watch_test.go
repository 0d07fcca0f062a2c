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

// confinementWatch looks for marks in everything that leaves a node's memory.
//
// mu guards the counts and found.
type confinementWatch struct {
	fleet *fleet
	marks []mark
	spans string

	mu sync.Mutex
	// forwards, releases and executions count the places where marks were seen inside their home region, so that a
	// test can tell that it looked at something.
	forwards, releases, executions int
	found                          map[string]int
}

// watchConfinement starts to look at a fleet that has no nodes yet.
func watchConfinement(t *testing.T, f *fleet, marks []mark) *confinementWatch {
	t.Helper()
	w := &confinementWatch{fleet: f, marks: marks, found: map[string]int{}, spans: filepath.Join(t.TempDir(), "spans")}
	tracing, err := telemetry.NewTracing(w.spans, 1, telemetry.Identity{})
	if err != nil {
		t.Fatal(err)
	}
	f.tracing = tracing
	// A second shutdown after checkWritten fails without effect.
	t.Cleanup(func() { _ = tracing.Shutdown(context.Background()) })
	f.network.Observe(w.message)
	f.backendOf = func(n *fleetNode, b Backend) Backend { return watchedBackend{Backend: b, watch: w, node: n} }
	return w
}

// homes returns the home regions of the marks in a value.
func (w *confinementWatch) homes(v any) map[string]bool {
	homes := map[string]bool{}
	leaves(v, func(p []byte) {
		for _, m := range w.marks {
			if !homes[m.home] && m.in(p) {
				homes[m.home] = true
			}
		}
	})
	return homes
}

// report notes that a mark was found where it must not be.
func (w *confinementWatch) report(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.found[fmt.Sprintf(format, args...)]++
}

// message checks a message between nodes or to the log.
func (w *confinementWatch) message(m fake.Message) {
	for home := range w.homes(m.Payload) {
		switch {
		case m.To == nil:
			w.report("%T with home %s went to the log", m.Payload, home)
		case m.From.Region != home || m.To.Region != home:
			w.report("%T with home %s went from %s to %s", m.Payload, home, m.From.Region, m.To.Region)
		default:
			w.count(m.Payload)
		}
	}
}

// count counts a message that stayed inside the home region.
func (w *confinementWatch) count(payload any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch payload.(type) {
	case node.Forwarded:
		w.forwards++
	case node.ReleaseResult:
		w.releases++
	}
}

// watchedBackend checks what a backend server receives and answers.
type watchedBackend struct {
	Backend
	watch *confinementWatch
	node  *fleetNode
}

// Execute implements Backend.
func (b watchedBackend) Execute(
	ctx context.Context, address string, slice keyspace.SliceID, fence ledger.Offset, r request.Request,
) request.Answer {
	b.watch.executed(b.node, r)
	return b.Backend.Execute(ctx, address, slice, fence, r)
}

// executed checks one request to a backend server.
func (w *confinementWatch) executed(n *fleetNode, r request.Request) {
	for home := range w.homes(r) {
		if n.host.Region != home {
			w.report("a backend server in %s received a request with home %s", n.host.Region, home)
			continue
		}
		w.mu.Lock()
		w.executions++
		w.mu.Unlock()
	}
}

// checkMemory checks what the living nodes keep and what they tell operators.
func (w *confinementWatch) checkMemory() {
	for _, n := range w.fleet.living() {
		n.engine.outcomes.mu.Lock()
		kept := w.homes(n.engine.outcomes.table)
		n.engine.outcomes.mu.Unlock()
		for home := range kept {
			if n.host.Region != home {
				w.report("a node in %s keeps an outcome with home %s", n.host.Region, home)
			}
		}
		for home := range w.homes(n.status()) {
			w.report("the status of a node in %s shows home %s", n.host.Region, home)
		}
	}
}

// checkWritten checks events, metrics and spans. No node may write there what a request carries.
func (w *confinementWatch) checkWritten(t *testing.T) {
	t.Helper()
	if err := w.fleet.tracing.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	spans, err := os.ReadFile(w.spans)
	if err != nil {
		t.Fatal(err)
	}
	reply := httptest.NewRecorder()
	w.fleet.metrics.Handler().ServeHTTP(reply, httptest.NewRequest("GET", "/metrics", nil))
	for name, text := range map[string]string{
		"events": w.fleet.events.String(), "metrics": reply.Body.String(), "spans": string(spans),
	} {
		if text == "" {
			t.Errorf("no %s were written", name)
		}
		for home := range w.homes(text) {
			t.Errorf("the %s show a request with home %s", name, home)
		}
	}
}

// verdict fails the test for every mark outside its home region, and if too little was looked at.
func (w *confinementWatch) verdict(t *testing.T) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for place, times := range w.found {
		t.Errorf("%s (%d times)", place, times)
	}
	t.Logf("at home: %d forwarded, %d releases with outcomes, %d executed", w.forwards, w.releases, w.executions)
	if w.forwards == 0 || w.releases == 0 || w.executions == 0 {
		t.Error("the load did not reach forwarding, releases and execution")
	}
}
