package gateway

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"heatherreel/internal/eventlog"
	"heatherreel/internal/request"
	"heatherreel/internal/route"
	"heatherreel/internal/routed"
	"heatherreel/internal/tenantauth"
)

// revocation is the revocation time in these tests.
const revocation = 5 * time.Second

// pathlessServiceTime is the time without a path to the store for which nodes must serve keys.
const pathlessServiceTime = 3 * time.Second

// syncBuffer is a buffer for concurrent writers.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// publishTenants publishes a configuration with the tenants, the route /closed/, which needs a key, and /open/.
func (sim *simulation) publishTenants(revision uint64, tenants ...tenantauth.Entry) {
	sim.t.Helper()
	free := []route.WeightedService{{Service: "free", Weight: 1}}
	table, err := route.Build(revision, []route.Route{
		{Name: "closed", Host: "h", Prefix: "/closed/", Services: free, Idempotent: true, MaxAttempts: 2, Priority: 3},
		{Name: "open", Host: "h", Prefix: "/open/", Services: free, Idempotent: true, MaxAttempts: 2, AllowAnonymous: true},
	}, []route.Service{{Name: "keyed", Keyed: true}, {Name: "free"}}, route.Limits{})
	if err == nil {
		table.Tenants, err = tenantauth.Build(tenantauth.Secret{7}, tenants)
	}
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.mu.Lock()
	sim.tables = append(sim.tables, table)
	n := len(sim.tables) - 1
	sim.mu.Unlock()
	sim.writeOperatorRecord("config", fmt.Sprint(n))
}

// sendWithKey sends a request with an API key through an instance; the key is left out if it is empty.
func (sim *simulation) sendWithKey(through, id, path, key string) routed.Answer {
	r := routed.Request{ID: id, Host: "h", Path: path, Method: "GET", Deadline: time.Now().Add(time.Second),
		Identity: []routed.Field{{Name: "X-Stated-Tenant", Value: "forged"}}}
	if key != "" {
		r.Authorization = []string{"Bearer " + key}
		r.Identity = append(r.Identity, routed.Field{Name: "Authorization", Value: "Bearer " + key})
	}
	sim.mu.Lock()
	g := sim.instances[through].gateway
	sim.mu.Unlock()
	return g.Route(context.Background(), r)
}

// startTenants starts a fleet in which tenants have keys. The events of its nodes go to the buffer.
func startTenants(t *testing.T) (*simulation, *syncBuffer) {
	sim, log := newSimulation(t), &syncBuffer{}
	sim.revocation = revocation
	sim.events = eventlog.New(log, zerolog.DebugLevel, eventlog.Node{})
	// Six nodes in each region: half of them read through others.
	sim.startFleet(10)
	urgent := tenantauth.Entry{Tenant: tenantauth.Tenant{Name: "kept", Priority: 1, HasPriority: true}, Keys: []string{"key-kept"}}
	sim.publishTenants(2, urgent, tenantauth.Entry{Tenant: tenantauth.Tenant{Name: "gone"}, Keys: []string{"key-gone"}})
	time.Sleep(2 * time.Second)
	return sim, log
}

// revoke publishes a configuration without the tenant "gone".
func (sim *simulation) revoke() {
	sim.publishTenants(3, tenantauth.Entry{Tenant: tenantauth.Tenant{Name: "kept"}, Keys: []string{"key-kept"}})
}

// operatorFeed returns the instance through which a node reads the operators' topic; empty if it reads from the store.
func (sim *simulation) operatorFeed(name string) string {
	s := sim.instances[name].gateway.served["operators"]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source
}

// Guards against a revoked key that admits requests at a node that has not read its revocation: because the store is away,
// because only the node or the node that it reads through does not reach the store, or because answers are slow. Guards
// also against a node that refuses keys too early without the store, anonymous routes that depend on the store, and against a node that refuses keys for long afterwards.
func TestRevokedKeyStopsEverywhere(t *testing.T) {
	all := func(sim *simulation, do func(name string)) {
		for name := range sim.instances {
			do(name)
		}
	}
	for name, fault := range map[string]func(sim *simulation, on bool){
		"none":         func(*simulation, bool) {},
		"store away":   func(sim *simulation, on bool) { all(sim, func(n string) { sim.store.SetUnreachable(n, on) }) },
		"store silent": func(sim *simulation, on bool) { all(sim, func(n string) { sim.store.SetSilent(n, on) }) },
		"feeds cut off": func(sim *simulation, on bool) {
			all(sim, func(n string) { cutOffFeed(sim, n, on) })
		},
		"one node alone": func(sim *simulation, on bool) {
			sim.store.SetSilent("f0", on)
			sim.mu.Lock()
			defer sim.mu.Unlock()
			sim.disconnected["f0"] = on
		},
		"feeds silent": func(sim *simulation, on bool) {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			all(sim, func(n string) { sim.silentFeeds[n] = on })
		},
		"slow feeds": func(sim *simulation, on bool) {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			sim.topicDelay = nil
			if on {
				sim.topicDelay = func() time.Duration { return 350 * time.Millisecond }
			}
		},
		// The end of the polls in progress falls into different times after the revocation.
		"late answers 1": func(sim *simulation, on bool) { lateAnswers(sim, on, 2*time.Second) },
		"late answers 2": func(sim *simulation, on bool) { lateAnswers(sim, on, 2250*time.Millisecond) },
		"late answers 3": func(sim *simulation, on bool) { lateAnswers(sim, on, 2500*time.Millisecond) },
	} {
		runSchedule(t, name, func(t *testing.T) {
			sim, _ := startTenants(t)
			defer sim.close()
			followers := 0
			all(sim, func(n string) {
				if sim.operatorFeed(n) != "" {
					followers++
				}
				if a := sim.sendWithKey(n, "before-"+n, "/closed/", "key-gone"); a.Outcome != request.Done {
					t.Errorf("before the revocation at %s: %v %s", n, a.Outcome, a.Reason)
				}
			})
			if followers == 0 {
				t.Error("no node reads through another one")
			}
			fault(sim, true)
			sim.revoke()
			acknowledged := time.Now()
			time.Sleep(pathlessServiceTime)
			var callers sync.WaitGroup
			all(sim, func(n string) {
				callers.Go(func() {
					if a := sim.sendWithKey(n, "pathless-"+n, "/closed/", "key-kept"); a.Reason == request.ConfigurationStale {
						t.Errorf("a kept key at %s, %v after the fault: %v %s", n, time.Since(acknowledged), a.Outcome, a.Reason)
					}
				})
			})
			callers.Wait()
			time.Sleep(time.Until(acknowledged.Add(revocation + time.Millisecond)))
			for i := range 30 {
				for n := range sim.instances {
					id := fmt.Sprintf("after-%s-%d", n, i)
					a := sim.sendWithKey(n, id, "/closed/", "key-gone")
					if a.Outcome != request.NotRun || a.Reason != request.ConfigurationStale && a.Reason != request.Unauthenticated {
						t.Errorf("at %s, %v after the revocation: %v %s", n, time.Since(acknowledged), a.Outcome, a.Reason)
					}
				}
				time.Sleep(97 * time.Millisecond)
			}
			if a := sim.sendWithKey("f1", "open", "/open/", ""); a.Outcome != request.Done {
				t.Errorf("anonymous request: %v %s", a.Outcome, a.Reason)
			}
			fault(sim, false)
			time.Sleep(2500 * time.Millisecond)
			all(sim, func(n string) {
				if a := sim.sendWithKey(n, "kept-"+n, "/closed/", "key-kept"); a.Outcome != request.Done {
					t.Errorf("a kept key at %s: %v %s", n, a.Outcome, a.Reason)
				}
				if a := sim.sendWithKey(n, "gone-"+n, "/closed/", "key-gone"); a.Reason != request.Unauthenticated {
					t.Errorf("a revoked key at %s: %v %s", n, a.Outcome, a.Reason)
				}
			})
		})
	}
}

// lateAnswers waits and then makes the store answer the reads in progress after the revocation, without its record, and no
// later read.
func lateAnswers(sim *simulation, on bool, wait time.Duration) {
	setUnreachable := func() {
		for n := range sim.instances {
			sim.store.SetUnreachable(n, on)
		}
	}
	sim.store.SetMissWakeups(on)
	if !on {
		setUnreachable()
		return
	}
	time.Sleep(wait)
	time.AfterFunc(20*time.Millisecond, setUnreachable)
}

// cutOffFeed makes the store silent for an instance that others read through, and unreachable for those others.
func cutOffFeed(sim *simulation, name string, on bool) {
	isFeed := sim.operatorFeed(name) == ""
	sim.store.SetSilent(name, on && isFeed)
	sim.store.SetUnreachable(name, on && !isFeed)
}

// Guards against a key that admits a request because the machine was suspended: the clock of the proof must count that time.
func TestSuspendedNodeRefusesKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim, log := startTenants(t)
		defer sim.close()
		sim.instances["f0"].suspended.Add(int64(time.Minute))
		if a := sim.sendWithKey("f0", "resumed", "/closed/", "key-gone"); a.Outcome != request.NotRun || a.Reason != request.ConfigurationStale {
			t.Errorf("after the resumption: %v %s", a.Outcome, a.Reason)
		}
		if a := sim.sendWithKey("f0", "open", "/open/", "key-gone"); a.Outcome != request.Done {
			t.Errorf("anonymous route after the resumption: %v %s", a.Outcome, a.Reason)
		}
		// The request that was refused has caused a read, so that the poll of 1.5 s in progress is not awaited.
		time.Sleep(100 * time.Millisecond)
		if a := sim.sendWithKey("f0", "read", "/closed/", "key-gone"); a.Outcome != request.Done {
			t.Errorf("after the next read: %v %s", a.Outcome, a.Reason)
		}
		if text := log.String(); !strings.Contains(text, "configuration_stale") || !strings.Contains(text, "configuration_proved") {
			t.Error("the events of a stale configuration are missing")
		}
	})
}

// Guards against a key that reaches the log, another node or the backend server, and against a tenant or a priority that
// does not reach them.
func TestKeyStaysAtIngress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim, log := startTenants(t)
		defer sim.close()
		sent := map[string]int{}
		sim.mu.Lock()
		check := func(where string, r routed.Request) {
			sent[where]++
			if text := fmt.Sprintf("%+v", r); strings.Contains(text, "key-") || strings.Contains(text, "forged") {
				t.Errorf("%s gets %s", where, text)
			}
			want, priority := map[string]string{"/closed/": "kept", "/open/": ""}[r.Path], map[string]int{"/closed/": 1, "/open/": 0}[r.Path]
			if r.Tenant != want || r.Priority != priority {
				t.Errorf("%s gets tenant %q and priority %d, want %q and %d", where, r.Tenant, r.Priority, want, priority)
			}
		}
		sim.onDispatch = func(_ string, r routed.Request) { check("a node", r) }
		sim.onRun = func(_ context.Context, _ *simulatedInstance, r routed.Request) { check("the backend server", r) }
		sim.mu.Unlock()
		for i, key := range []string{"key-kept", "key-unknown", ""} {
			for _, through := range []string{"k0", "k1", "f0"} {
				sim.sendWithKey(through, fmt.Sprintf("closed-%d-%s", i, through), "/closed/", key)
				if key != "key-kept" {
					sim.sendWithKey(through, fmt.Sprintf("open-%d-%s", i, through), "/open/", key)
				}
			}
		}
		if sent["a node"] == 0 || sent["the backend server"] == 0 {
			t.Errorf("requests seen: %v", sent)
		}
		if strings.Contains(log.String(), "key-") || !strings.Contains(log.String(), "closed-0-k0") {
			t.Error("the log holds a key, or lacks the requests")
		}
	})
}

// Guards against a configuration without tenants that changes the header fields of requests, and against a tenant's
// priority or regions that apply to others.
func TestWithoutTenantsIdentityPassesThrough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		got := ""
		sim.mu.Lock()
		sim.onRun = func(_ context.Context, _ *simulatedInstance, r routed.Request) { got = fmt.Sprintf("%+v", r) }
		sim.mu.Unlock()
		if a := sim.sendWithKey("f0", "plain", "/free/", "key-x"); a.Outcome != request.Done {
			t.Errorf("%v %s", a.Outcome, a.Reason)
		}
		if !strings.Contains(got, "{Name:Authorization Value:Bearer key-x}") || !strings.Contains(got, "forged") {
			t.Errorf("the backend server gets %s", got)
		}
	})
}
