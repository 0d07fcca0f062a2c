package gateway

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/heartbeat"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/request"
)

// settled is the time after which a new fleet has given out its keys.
const settled = 6 * time.Second

// fleet makes four instances of the keyed service and two of the other, in two regions.
func fleet(t *testing.T) *world {
	w := newWorld(t)
	w.publish(1, true)
	for i := range 4 {
		w.add(fmt.Sprintf("k%d", i), "keyed", fmt.Sprintf("r%d", i%2+1))
	}
	w.add("f0", "free", "r1")
	w.add("f1", "free", "r2")
	time.Sleep(settled)
	return w
}

// inBubble runs a scenario in virtual time.
func inBubble(t *testing.T, scenario func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, scenario)
}

// Guards against requests that are not served on a quiet day, or by a backend server that may not.
func TestQuietDay(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := fleet(t)
		defer w.close()
		if got := w.served("f1"); got != 1 {
			t.Errorf("%.2f of the keys are served", got)
		}
		for i := range 20 {
			if a := w.ask("k1", fmt.Sprintf("home-%d", i), "/home/", -1, time.Second); a.Outcome != request.Done || string(a.Body) != "f0" {
				t.Errorf("a request confined to r1 got %q from %q", a.Reason, a.Body)
			}
		}
		if a := w.ask("k0", "x", "/other/", -1, time.Second); a.Reason != request.NoRoute {
			t.Errorf("a request without route got %q", a.Reason)
		}
	})
}

// Guards against a node that answers 404 for routes that it has not read yet, or calls itself ready.
func TestNodeWithoutConfigurationRefuses(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.close()
		w.log.SetDown(true)
		w.add("k0", "keyed", "r1")
		time.Sleep(2 * time.Second)
		if a := w.ask("k0", "x", "/free/", -1, time.Second); a.Outcome != request.NotRun || a.Reason != request.NotConfigured {
			t.Errorf("got %v %q", a.Outcome, a.Reason)
		}
		if w.hosts["k0"].gateway.Ready() {
			t.Error("a node without configuration is ready")
		}
	})
}

// Guards against an outage of the store that ends the service of keys before the lease, and two owners afterwards.
func TestStoreOutage(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := fleet(t)
		defer w.close()
		w.log.SetDown(true)
		time.Sleep(5 * time.Second)
		if got := w.served("f0"); got != 1 {
			t.Errorf("%.2f of the keys are served 5 s into the outage", got)
		}
		time.Sleep(15 * time.Second)
		w.log.SetDown(false)
		w.publish(2, true)
		time.Sleep(3 * time.Second)
		if got := w.served("f0"); got != 1 {
			t.Errorf("%.2f of the keys are served after the outage", got)
		}
		if got := w.hosts["f0"].gateway.routes.revision(); got != 2 {
			t.Errorf("revision %d is in force", got)
		}
	})
}

// Guards against keys that stay with an instance that never returns, and against two owners while it is only cut off.
func TestLostInstanceLosesKeysAfterItsLease(t *testing.T) {
	for _, gone := range []bool{true, false} {
		t.Run(fmt.Sprintf("gone=%v", gone), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				w := fleet(t)
				defer w.close()
				if gone {
					w.stopServer("k1")
					w.kill("k1")
				} else {
					w.mu.Lock()
					w.cut["k1"] = true
					w.mu.Unlock()
					w.log.SetRefused("k1", true)
				}
				time.Sleep(13 * time.Second)
				if got := w.served("f0"); got != 1 {
					t.Errorf("%.2f of the keys are served 13 s after the loss", got)
				}
			})
		})
	}
}

// Guards against a backend server that ended beside a living node and whose keys wait for a claim.
func TestEndedServerLosesKeysSoon(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := fleet(t)
		defer w.close()
		w.stopServer("k2")
		time.Sleep(6 * time.Second)
		if got := w.served("f0"); got != 1 {
			t.Errorf("%.2f of the keys are served 6 s after the end", got)
		}
		w.startServer("k2")
		time.Sleep(6 * time.Second)
		w.mu.Lock()
		held := len(w.hosts["k2"].server.held)
		w.mu.Unlock()
		if held == 0 {
			t.Error("the backend server that returned holds no keys")
		}
	})
}

// Guards against keys that a node cannot grant again after it started anew, with or without its backend server.
func TestRestartedProcessKeepsKeys(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := fleet(t)
		defer w.close()
		for _, both := range []bool{false, true} {
			w.kill("k0")
			if both {
				w.stopServer("k0")
			}
			time.Sleep(time.Second)
			if both {
				w.startServer("k0")
			}
			w.start("k0")
			time.Sleep(3 * time.Second)
			if got := w.served("f0"); got != 1 {
				t.Errorf("server restarted too %v: %.2f of the keys are served", both, got)
			}
		}
	})
}

// Guards against a fleet that does not serve again by itself after all processes and backend servers ended at once.
func TestTotalLoss(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := fleet(t)
		defer w.close()
		for name := range w.hosts {
			w.kill(name)
			w.stopServer(name)
		}
		time.Sleep(900 * time.Millisecond)
		for name := range w.hosts {
			if name == "k3" {
				continue // never returns
			}
			w.startServer(name)
			w.start(name)
		}
		time.Sleep(4 * time.Second)
		if got := w.served("f0"); got < 0.7 {
			t.Errorf("%.2f of the keys are served 4 s after the loss", got)
		}
		time.Sleep(10 * time.Second)
		if got := w.served("f0"); got != 1 {
			t.Errorf("%.2f of the keys are served 14 s after the loss", got)
		}
	})
}

// Guards against a draining backend server that gets requests after its time, and keys that move without their token.
func TestDrainHandsKeysOver(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := fleet(t)
		defer w.close()
		w.mu.Lock()
		leaver := w.hosts["k1"].server
		for _, h := range w.hosts {
			h.server.work = 300 * time.Millisecond
		}
		leaver.draining = true
		w.mu.Unlock()
		// Requests wait for slots while their keys leave, and for keys on their way.
		var callers sync.WaitGroup
		for i := range 300 {
			callers.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				w.ask("f0", fmt.Sprintf("moving-%d", i), "/keyed/", 16384+i%16384, 3*time.Second)
			})
		}
		callers.Wait()
		time.Sleep(time.Second)
		w.mu.Lock()
		if w.misdirected > 0 {
			t.Errorf("%d requests came to a backend server that did not hold their key", w.misdirected)
		}
		w.mu.Unlock()
		if got := w.served("f0"); got != 1 {
			t.Errorf("%.2f of the keys are served after the drain", got)
		}
		table, _ := w.hosts["k0"].gateway.ranges.get("keyed")
		tokens := 0
		for _, r := range table.Ranges {
			if r.Owner.Instance == "k1" {
				t.Errorf("the leaver owns %+v", r)
			}
			if r.Handover == "from-"+leaver.id {
				tokens++
			}
		}
		if tokens == 0 {
			t.Error("no range moved with a token")
		}
	})
}

// Guards against a backend server that gets requests after its end was acknowledged, when the process that gave the
// acknowledgement, or got the message first, is a new one.
func TestDepartureOutlivesProcess(t *testing.T) {
	for _, restartLater := range []bool{false, true} {
		t.Run(fmt.Sprintf("restartLater=%v", restartLater), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				w := fleet(t)
				defer w.close()
				w.kill("f0")
				w.start("f0")
				h := w.hosts["f0"]
				if _, err := h.gateway.Heartbeat(heartbeat.Message{Server: h.server.id, Ended: true}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(2 * time.Second)
				if restartLater {
					w.kill("f0")
					w.start("f0")
					time.Sleep(2 * time.Second)
				}
				// Its heartbeats still say that it is ready.
				if a := w.ask("k0", "late", "/home/", -1, time.Second); a.Outcome != request.NotRun || w.runs["late"] != 0 {
					t.Errorf("got %v %q, ran %d times", a.Outcome, a.Reason, w.runs["late"])
				}
				w.startServer("f0")
				time.Sleep(2 * time.Second)
				if a := w.ask("k0", "new", "/home/", -1, time.Second); a.Outcome != request.Done {
					t.Errorf("a new life got %v %q", a.Outcome, a.Reason)
				}
			})
		})
	}
}

// Guards against a cold backend server that gets more requests a second than it bears, also of those that waited before it
// was known to be cold.
func TestColdServerIsSpared(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := fleet(t)
		defer w.close()
		w.publishCold(2)
		time.Sleep(time.Second)
		w.stopServer("f0")
		w.startServer("f0")
		time.Sleep(50 * time.Millisecond)
		var callers sync.WaitGroup
		for i := range 100 {
			callers.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				w.ask("k0", fmt.Sprintf("cold-%d", i), "/home/", -1, 900*time.Millisecond)
			})
		}
		callers.Wait()
		w.mu.Lock()
		defer w.mu.Unlock()
		ran := 0
		for id := range w.runs {
			if strings.HasPrefix(id, "cold-") {
				ran++
			}
		}
		// Two seconds of requests, at most 5 a second and the burst.
		if ran == 0 || ran > 2*5+coldBurst {
			t.Errorf("%d requests ran", ran)
		}
	})
}

// Guards against requests that meet the end of a stopping process, and a backend server that gets none although its node
// still serves.
func TestStoppingNodeIsLeftInTime(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := fleet(t)
		defer w.close()
		stopping := w.hosts["f0"].gateway
		var leave sync.WaitGroup
		leave.Go(func() { stopping.Leave(context.Background()) })
		synctest.Wait()
		served := func() (by map[string]int) {
			by = map[string]int{}
			for i := range 20 {
				a := w.ask("k0", fmt.Sprintf("s-%d-%d", time.Now().UnixNano(), i), "/free/", -1, time.Second)
				by[string(a.Body)]++
			}
			return by
		}
		if stopping.Ready() || w.ask("f1", "first", "/home/", -1, time.Second).Outcome != request.Done {
			t.Error("a stopping node is ready, or serves nothing")
		}
		time.Sleep(leaveTime - leaveNotice/2 - 100*time.Millisecond)
		if by := served(); by["f0"] > 0 || by["f1"] != 20 {
			t.Errorf("served by %v", by)
		}
		leave.Wait()
	})
}

// Guards against an evacuation that begins anew whenever the store has forgotten its history.
func TestEvacuationKeepsItsTime(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		routes := newRouteTable()
		routes.evacuate("dc", true)
		time.Sleep(4 * time.Second)
		routes.beginSnapshot()
		routes.evacuate("dc", true)
		if got := routes.evacuatedFor("dc"); got != 4*time.Second {
			t.Errorf("evacuated for %v", got)
		}
		routes.beginSnapshot()
		if routes.isEvacuated("dc") {
			t.Error("an evacuation that has ended stays in force")
		}
	})
}

// Guards against an evacuated data centre whose backend servers get requests, and keys that do not come back.
func TestEvacuation(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := fleet(t)
		defer w.close()
		w.operate("evacuate/dc-f0", "{}")
		w.operate("evacuate/dc-k0", "{}")
		time.Sleep(4 * time.Second)
		if got := w.served("f0"); got != 1 {
			t.Errorf("%.2f of the keys are served", got)
		}
		for i := range 10 {
			if a := w.ask("f0", fmt.Sprintf("e%d", i), "/free/", -1, time.Second); string(a.Body) != "f1" {
				t.Errorf("served by %q, %q", a.Body, a.Reason)
			}
		}
		if table, _ := w.hosts["k1"].gateway.ranges.get("keyed"); table.Owns("k0") {
			t.Error("the evacuated instance owns keys")
		}
		w.operate("evacuate/dc-k0", "")
		time.Sleep(4 * time.Second)
		if table, _ := w.hosts["k1"].gateway.ranges.get("keyed"); !table.Owns("k0") {
			t.Error("no keys came back after the evacuation")
		}
	})
}

// Guards against writes whose answers are lost and that are decided twice, or never.
func TestLostAnswersOfTheStore(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := fleet(t)
		defer w.close()
		w.log.SetLost(true)
		w.mu.Lock()
		w.hosts["k3"].server.draining = true
		w.mu.Unlock()
		time.Sleep(8 * time.Second)
		w.log.SetLost(false)
		time.Sleep(4 * time.Second)
		if got := w.served("f0"); got != 1 {
			t.Errorf("%.2f of the keys are served", got)
		}
	})
}

// Guards against a grant of what a write of unknown outcome takes away.
func TestPendingWriteWithholdsGrants(t *testing.T) {
	own := keyrange.Owner{Instance: "k0", Server: "s", Born: 1}
	table := &keyrange.Table{Service: "keyed", Suspicions: map[string]keyrange.Suspicion{}, Lost: map[string]bool{}}
	table.Found([]keyrange.Candidate{{Owner: own, Weight: 1}})
	ranges := newRangeTable()
	ranges.put(table, 0)
	ranges.confirm(Self{Instance: "k0", Service: "keyed"}, 0, 4)
	next := table.Clone()
	next.Vacate("k0")
	ranges.intend(next, 4)
	if got := ranges.grants(own, "keyed"); len(got) != 0 {
		t.Errorf("granted %v while the write is pending", got)
	}
	// A second write of which nothing was done leaves the first one pending.
	ranges.intend(table.Clone(), 4)
	ranges.abandon(4)
	if got := ranges.grants(own, "keyed"); len(got) != 0 {
		t.Errorf("granted %v after the second write was refused", got)
	}
	ranges.confirm(Self{Instance: "k0", Service: "keyed"}, 0, 5)
	if got := ranges.grants(own, "keyed"); len(got) != 1 {
		t.Errorf("granted %v after another write took the place", got)
	}
}
