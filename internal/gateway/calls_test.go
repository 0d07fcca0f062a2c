package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/registry"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
)

// Guards against requests that go to an instance whose backend server sheds all, since it seems idle, and against none
// that find out whether it still does.
func TestSheddingInstancesAreAvoided(t *testing.T) {
	now := time.Now()
	members := newMemberTable(Self{Instance: "self"}, RetryLimits{})
	for _, name := range []string{"a", "b"} {
		members.put(registry.Member{Instance: name, Service: "s", Incarnation: 1, Server: registry.Server{ID: name, Ready: true}})
	}
	chosen := func(at time.Time) (names []string) {
		for _, c := range members.candidates(candidateQuery{service: "s"}, at) {
			names = append(names, c.Instance)
		}
		slices.Sort(names)
		return names
	}
	members.recordShedding("a", time.Hour, now)
	if got := chosen(now); !slices.Equal(got, []string{"b"}) {
		t.Errorf("candidates %v while a sheds all", got)
	}
	members.recordShedding("b", time.Hour, now)
	if got := chosen(now); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("candidates %v while all shed", got)
	}
	if got := chosen(now.Add(maxShedAvoidance)); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("candidates %v after a second", got)
	}
}

// Guards against calls of the backend server that are sent to other nodes like new work, against requests of callers
// that are sent as calls, and against parents that are admitted while their calls are refused.
func TestCallsAreRecognizedAndSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		defer sim.close()
		sim.publish(1, true)
		sim.addInstance("f0", "free", "r2")
		sim.addInstance("h0", "free", "r1")
		sim.addInstance("k0", "keyed", "r2")
		time.Sleep(fleetSettleTime)
		var mu sync.Mutex
		calls, callerRequests, marked := 0, 0, 0
		refuse, parentsRefused, parentsSent := false, 0, 0
		sim.onDispatch = func(_ string, r routed.Request) {
			mu.Lock()
			defer mu.Unlock()
			switch r.Route {
			case "keyed":
				if r.Call {
					calls++
				}
			case "home":
				if callerRequests++; r.Call {
					marked++
				}
			}
		}
		// Only h0 may run requests of the route home. Parents run at f0, which is nearer.
		random := rand.New(rand.NewPCG(1, 1))
		var group sync.WaitGroup
		send := func(after time.Duration, path string, ingress string, parent bool) {
			id := fmt.Sprint(path, time.Now().UnixNano(), after)
			group.Add(1)
			go func() {
				defer group.Done()
				time.Sleep(after)
				a := sim.sendRequest(ingress, id, path, 7, time.Second)
				mu.Lock()
				defer mu.Unlock()
				if parent && refuse {
					parentsSent++
					if a.Reason == request.CallsRefused {
						parentsRefused++
					}
				}
			}()
		}
		run := func(steps int) {
			for range steps {
				time.Sleep(10 * time.Millisecond)
				if random.IntN(15) == 0 {
					send(0, "/free/", "f0", true)
					send(40*time.Millisecond, "/keyed/", "f0", false)
				}
				if random.IntN(15) == 0 {
					send(0, "/home/", "f0", false)
				}
			}
		}
		run(1500)
		mu.Lock()
		t.Logf("%d calls sent as calls, %d of %d requests of callers", calls, marked, callerRequests)
		if calls < 40 || marked > 0 || callerRequests < 50 {
			t.Errorf("%d calls sent as calls, %d of %d requests of callers", calls, marked, callerRequests)
		}
		refuse = true
		mu.Unlock()
		sim.mu.Lock()
		sim.refusals = map[string]request.Reason{"k0": request.QueueFull}
		sim.mu.Unlock()
		run(400)
		group.Wait()
		t.Logf("%d of %d parents refused while their calls are", parentsRefused, parentsSent)
		if parentsRefused < parentsSent/3 {
			t.Errorf("%d of %d parents refused while their calls are", parentsRefused, parentsSent)
		}
	})
}
