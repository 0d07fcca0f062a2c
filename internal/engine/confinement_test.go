package engine

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/request"
	"heatherreel/internal/scenario"
)

// confinementDocument confines one tenant to each region.
const confinementDocument = `
regions:
  emea-west: {data_centres: [west-a, west-b]}
  emea-central: {data_centres: [central-a, central-b]}
services: [orders]
tenants: [t, west, central]
defaults: {home_regions: any, slices: 32, checks_grants: true, concurrency_limit: 10, queue_limit: 200}
exceptions:
  - {name: west, reason: contract, match: {tenant: west}, set: {home_regions: [emea-west]}}
  - {name: central, reason: contract, match: {tenant: central}, set: {home_regions: [emea-central]}}
`

// westATakenOut is appended to confinementDocument to take the data centre west-a out.
const westATakenOut = `  - {name: out, reason: works, match: {data_centre: west-a}, set: {taken_out: true}}
`

// confinedTenant sends requests of one tenant, with markers in them, from all data centres and follows redirects.
type confinedTenant struct {
	fleet *fleet
	// marker occurs in most keys and in the bodies of writes, requestIDSuffix in request ids.
	name, marker, requestIDSuffix string
	// plainMarker occurs in the other keys. They have the form of a name, which event fields do not replace.
	plainMarker      string
	done, redirected atomic.Int64
	goroutines       sync.WaitGroup
}

// newConfinedTenant returns a tenant with its own markers.
func newConfinedTenant(f *fleet, name string) *confinedTenant {
	return &confinedTenant{
		fleet: f, name: name, marker: "mk <" + name + "> ü/q", plainMarker: "zqk-" + name,
		requestIDSuffix: ("q~" + name)[:6],
	}
}

// markers returns the markers of the tenant with its home region.
func (c *confinedTenant) markers() []marker {
	homeRegion := "emea-" + c.name
	return []marker{
		newMarker(homeRegion, c.marker), newMarker(homeRegion, c.plainMarker), newMarker(homeRegion, c.requestIDSuffix),
	}
}

// run sends requests until ctx ends.
func (c *confinedTenant) run(ctx context.Context) {
	defer c.goroutines.Done()
	ticker := time.NewTicker(25 * time.Millisecond)
	defer ticker.Stop()
	dataCentres := []string{"west-a", "central-a", "west-b", "central-b"}
	for n := 0; ctx.Err() == nil; n++ {
		c.goroutines.Add(1)
		go c.send(n, dataCentres[n%len(dataCentres)])
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// send sends one request. Half of the requests are writes.
func (c *confinedTenant) send(n int, dataCentre string) {
	defer c.goroutines.Done()
	key := fmt.Sprintf("%s %d", c.marker, n%97)
	if n%3 == 0 {
		key = fmt.Sprintf("%s-%d", c.plainMarker, n%97)
	}
	r := newReadRequest("orders", key, loadDeadline)
	r.Tenant, r.ID = c.name, requestIDWithSuffix(c.requestIDSuffix)
	if n/4%2 == 0 {
		r.Method, r.Idempotent, r.Body = "POST", false, []byte(c.marker+" body")
	}
	ingress := c.fleet.ingressNode(dataCentre, n)
	if ingress == nil {
		return
	}
	answer := c.fleet.send(ingress, r)
	if target, err := c.fleet.node(answer.Location); answer.Location != "" && err == nil {
		c.redirected.Add(1)
		answer = c.fleet.send(target, r)
	}
	if answer.Outcome == request.Done {
		c.done.Add(1)
	}
}

// requestIDWithSuffix returns a request id whose last bytes are the suffix.
func requestIDWithSuffix(suffix string) string {
	id := newRequestID(time.Now())
	return fmt.Sprintf("%s%x", id[:len(id)-2*len(suffix)], suffix)
}

// runFaultSequence applies every kind of change that moves keys, and calls check after each.
func (f *fleet) runFaultSequence(t *testing.T, check func()) {
	t.Helper()
	steps := []struct {
		name  string
		apply func() error
	}{
		{"a node is lost", func() error { return f.Kill("a1") }},
		{"it joins again", func() error { return f.startOrdersNode("a1", "west-a") }},
		{"graceful shutdown", func() error { return f.Stop("b1") }},
		{"it joins again", func() error { return f.startOrdersNode("b1", "west-b") }},
		{"graceful shutdown in the other region", func() error { return f.Stop("d1") }},
		{"it joins again", func() error { return f.startOrdersNode("d1", "central-b") }},
		{"a node is paused", func() error { return f.Pause("c1") }},
		{"it resumes", func() error { return f.Resume("c1") }},
		{"a data centre is taken out", func() error { return f.Publish([]byte(confinementDocument + westATakenOut)) }},
		{"it is no longer taken out", func() error { return f.Publish([]byte(confinementDocument)) }},
		{"the link between regions is cut", func() error { return f.Cut("emea-west", "emea-central") }},
		{"it heals", func() error { return f.Heal("emea-west", "emea-central") }},
		{"half of a data centre is lost", func() error { return f.Kill("d1") }},
		{"the rest of it is lost", func() error { return f.Kill("d2") }},
		{"half of the other data centre of the region is lost", func() error { return f.Kill("c1") }},
	}
	for _, step := range steps {
		if err := step.apply(); err != nil {
			t.Fatalf("%s: %v", step.name, err)
		}
		f.Advance(3 * time.Second)
		check()
	}
}

// startOrdersNode starts a node of the service orders.
func (f *fleet) startOrdersNode(name, dataCentre string) error {
	return f.Start(scenario.Node{Name: name, DataCentre: dataCentre, Service: "orders"})
}

// startConfinementFleet publishes confinementDocument and starts two nodes in each data centre.
func (f *fleet) startConfinementFleet(t *testing.T) {
	t.Helper()
	if err := f.Publish([]byte(confinementDocument)); err != nil {
		t.Fatal(err)
	}
	for _, group := range [][2]string{{"a", "west-a"}, {"b", "west-b"}, {"c", "central-a"}, {"d", "central-b"}} {
		for _, suffix := range []string{"1", "2"} {
			if err := f.startOrdersNode(group[0]+suffix, group[1]); err != nil {
				t.Fatal(err)
			}
		}
	}
	f.Advance(10 * time.Second)
}

// Guards against a key, a body, a request id or a retained outcome that reaches a node or a backend server outside the
// home regions, or appears in the log, events, metrics, spans or the status, while faults and planned changes move the
// keys.
func TestRequestsStayInTheirHomeRegions(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		tenants := []*confinedTenant{newConfinedTenant(f, "west"), newConfinedTenant(f, "central")}
		checker := newConfinementChecker(t, f, append(tenants[0].markers(), tenants[1].markers()...))
		f.startConfinementFleet(t)
		ctx, cancel := context.WithCancel(context.Background())
		for _, tenant := range tenants {
			tenant.goroutines.Add(1)
			go tenant.run(ctx)
		}
		f.runFaultSequence(t, checker.checkNodeState)
		cancel()
		for _, tenant := range tenants {
			tenant.goroutines.Wait()
			t.Logf("tenant %s: %d done, %d redirected", tenant.name, tenant.done.Load(), tenant.redirected.Load())
			if tenant.done.Load() < 500 || tenant.redirected.Load() < 100 {
				t.Errorf("tenant %s: %d done, %d redirected", tenant.name, tenant.done.Load(), tenant.redirected.Load())
			}
		}
		checker.checkResults(t)
		checker.checkTelemetry(t)
	})
}
