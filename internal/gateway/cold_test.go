package gateway

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/routed"
)

// coldRuns records when requests begin at a backend server from now on, sends 100 requests per second to it for the time
// d, and returns the largest number that began within one second.
func (sim *simulation) coldRuns(name, through string, d time.Duration) int {
	var mu sync.Mutex
	var began []time.Time
	sim.mu.Lock()
	sim.onRun = func(_ context.Context, inst *simulatedInstance, _ routed.Request) {
		mu.Lock()
		defer mu.Unlock()
		if inst.self.Instance == name {
			began = append(began, time.Now())
		}
	}
	sim.mu.Unlock()
	var callers sync.WaitGroup
	for i := range int(d / (10 * time.Millisecond)) {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			sim.sendRequest(through, fmt.Sprintf("cold-%d-%d", time.Now().UnixNano(), i), "/home/", -1, 900*time.Millisecond)
		})
	}
	callers.Wait()
	most := 0
	for i, first := range began {
		count := 0
		for _, other := range began[i:] {
			if other.Sub(first) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// Guards against a cold backend server that gets requests without limit, because a new process of its node knows no
// configuration yet and therefore no rate.
func TestColdServerRateIsLimitedBeforeConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		sim.publishCold(2)
		time.Sleep(time.Second)
		sim.killGateway("f0")
		sim.stopServer("f0")
		sim.store.SetUnreachable("f0", true)
		sim.startServer("f0")
		sim.startGateway("f0")
		if n := sim.coldRuns("f0", "k0", 3*time.Second); n > 5+coldBurst {
			t.Errorf("%d requests began within a second, want at most %d", n, 5+coldBurst)
		}
	})
}

// Guards against a backend server that gets requests without limit after it has started again under its former id, until
// its first heartbeat.
func TestColdServerRateIsLimitedBeforeFirstHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		sim.publishCold(2)
		time.Sleep(6 * time.Second)
		sim.awaitHeartbeat("f0")
		sim.restartServerSilently("f0")
		if n := sim.coldRuns("f0", "k0", 800*time.Millisecond); n > 5+coldBurst {
			t.Errorf("%d requests began within a second, want at most %d", n, 5+coldBurst)
		}
	})
}

// restartServerSilently ends the backend server, lets a request fail, and starts it again under its former id. Its
// next heartbeat comes when it would have come without the restart.
func (sim *simulation) restartServerSilently(name string) {
	sim.mu.Lock()
	inst := sim.instances[name]
	s := inst.server
	inst.server = nil
	sim.mu.Unlock()
	sim.sendRequest("k0", "refused", "/home/", -1, 100*time.Millisecond)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	inst.server = s
}
