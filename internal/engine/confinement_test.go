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

// confinedDocument confines one tenant to each region, and the keys of a prefix to the first.
const confinedDocument = `
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

// takenOutWest is added to confinedDocument to take a data centre out.
const takenOutWest = `  - {name: out, reason: works, match: {data_centre: west-a}, set: {taken_out: true}}
`

// confinedTenant sends marked requests of one tenant from all data centres and follows redirects.
type confinedTenant struct {
	fleet             *fleet
	name, mark, idEnd string
	// plain marks keys that look like a name, which event fields let pass.
	plain            string
	done, redirected atomic.Int64
	running          sync.WaitGroup
}

// newConfinedTenant returns a tenant whose keys, bodies and request ids carry texts of their own.
func newConfinedTenant(f *fleet, name string) *confinedTenant {
	return &confinedTenant{
		fleet: f, name: name, mark: "mk <" + name + "> ü/q", plain: "zqk-" + name, idEnd: ("q~" + name)[:6],
	}
}

// marks returns what only requests of the tenant carry.
func (c *confinedTenant) marks() []mark {
	home := "emea-" + c.name
	return []mark{newMark(home, c.mark), newMark(home, c.plain), newMark(home, c.idEnd)}
}

// run sends requests until ctx ends.
func (c *confinedTenant) run(ctx context.Context) {
	defer c.running.Done()
	ticker := time.NewTicker(25 * time.Millisecond)
	defer ticker.Stop()
	dataCentres := []string{"west-a", "central-a", "west-b", "central-b"}
	for n := 0; ctx.Err() == nil; n++ {
		c.running.Add(1)
		go c.send(n, dataCentres[n%len(dataCentres)])
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// send sends one request: every second one is a write.
func (c *confinedTenant) send(n int, dataCentre string) {
	defer c.running.Done()
	key := fmt.Sprintf("%s %d", c.mark, n%97)
	if n%3 == 0 {
		key = fmt.Sprintf("%s-%d", c.plain, n%97)
	}
	r := readOf("orders", key, loadDeadline)
	r.Tenant, r.ID = c.name, markedID(c.idEnd)
	if n/4%2 == 0 {
		r.Method, r.Idempotent, r.Body = "POST", false, []byte(c.mark+" body")
	}
	ingress := c.fleet.ingress(dataCentre, n)
	if ingress == nil {
		return
	}
	answer := c.fleet.send(ingress, r)
	if home, err := c.fleet.node(answer.Location); answer.Location != "" && err == nil {
		c.redirected.Add(1)
		answer = c.fleet.send(home, r)
	}
	if answer.Outcome == request.Done {
		c.done.Add(1)
	}
}

// markedID returns a request id whose last bytes are the text.
func markedID(end string) string {
	id := newRequestID(time.Now())
	return fmt.Sprintf("%s%x", id[:len(id)-2*len(end)], end)
}

// faults takes a fleet through all that moves keys.
func (f *fleet) faults(t *testing.T, check func()) {
	t.Helper()
	steps := []struct {
		name string
		do   func() error
	}{
		{"a node is lost", func() error { return f.Kill("a1") }},
		{"it joins again", func() error { return f.startIn("a1", "west-a") }},
		{"a planned stop", func() error { return f.Stop("b1") }},
		{"it joins again", func() error { return f.startIn("b1", "west-b") }},
		{"a planned stop elsewhere", func() error { return f.Stop("d1") }},
		{"it joins again", func() error { return f.startIn("d1", "central-b") }},
		{"a node is paused", func() error { return f.Pause("c1") }},
		{"it resumes", func() error { return f.Resume("c1") }},
		{"take-out", func() error { return f.Publish([]byte(confinedDocument + takenOutWest)) }},
		{"bring-back", func() error { return f.Publish([]byte(confinedDocument)) }},
		{"the region link is cut", func() error { return f.Cut("emea-west", "emea-central") }},
		{"it heals", func() error { return f.Heal("emea-west", "emea-central") }},
		{"half of a data centre is lost", func() error { return f.Kill("d1") }},
		{"the rest of it is lost", func() error { return f.Kill("d2") }},
		{"half of the other in the region is lost", func() error { return f.Kill("c1") }},
	}
	for _, step := range steps {
		if err := step.do(); err != nil {
			t.Fatalf("%s: %v", step.name, err)
		}
		f.Advance(3 * time.Second)
		check()
	}
}

// startIn starts a node of the service orders.
func (f *fleet) startIn(name, dataCentre string) error {
	return f.Start(scenario.Node{Name: name, DataCentre: dataCentre, Service: "orders"})
}

// startConfined starts two nodes in each data centre.
func (f *fleet) startConfined(t *testing.T) {
	t.Helper()
	if err := f.Publish([]byte(confinedDocument)); err != nil {
		t.Fatal(err)
	}
	for _, place := range [][2]string{{"a", "west-a"}, {"b", "west-b"}, {"c", "central-a"}, {"d", "central-b"}} {
		for _, number := range []string{"1", "2"} {
			if err := f.startIn(place[0]+number, place[1]); err != nil {
				t.Fatal(err)
			}
		}
	}
	f.Advance(10 * time.Second)
}

// Guards against a key, a body, a request id or a retained outcome that reaches a node or a backend server outside the
// home regions, or is written to the log, events, metrics, spans or the status, while faults and plans move the keys.
func TestRequestsStayInTheirHomeRegions(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		tenants := []*confinedTenant{newConfinedTenant(f, "west"), newConfinedTenant(f, "central")}
		w := watchConfinement(t, f, append(tenants[0].marks(), tenants[1].marks()...))
		f.startConfined(t)
		ctx, cancel := context.WithCancel(context.Background())
		for _, c := range tenants {
			c.running.Add(1)
			go c.run(ctx)
		}
		f.faults(t, w.checkMemory)
		cancel()
		for _, c := range tenants {
			c.running.Wait()
			t.Logf("tenant %s: %d done, %d redirected", c.name, c.done.Load(), c.redirected.Load())
			if c.done.Load() < 500 || c.redirected.Load() < 100 {
				t.Errorf("tenant %s: %d done, %d redirected", c.name, c.done.Load(), c.redirected.Load())
			}
		}
		w.verdict(t)
		w.checkWritten(t)
	})
}
