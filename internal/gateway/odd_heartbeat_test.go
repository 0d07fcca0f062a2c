package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/problem"
)

// Guards against two backend servers that hold the same keys because a heartbeat of another writer did not say what its
// sender holds (review/1, the third of its heartbeats): the node gave the keys away while they were held. The heartbeat is
// refused also by a process that does not know the configuration yet, once it has had a true one.
func TestHeartbeatWithoutKeysEndsNoGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		inst := sim.instances["k1"]
		send := func() {
			t.Helper()
			sim.mu.Lock()
			odd := heartbeatOf(inst)
			g := inst.gateway
			sim.mu.Unlock()
			odd.Server, odd.StartedUnixMS, odd.Draining, odd.Sequence = "odd", time.Now().UnixMilli(), true, 1
			odd.KeysReported, odd.Holds, odd.Freed = false, nil, nil
			if _, err := g.Heartbeat(odd); problem.HTTPStatus(err) != http.StatusBadRequest {
				t.Errorf("the heartbeat is answered with %v", err)
			}
		}
		before, _ := inst.gateway.ranges.get("keyed")
		send()
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			sim.mu.Lock()
			sim.checkOwners()
			sim.mu.Unlock()
		}
		if after, _ := inst.gateway.ranges.get("keyed"); after.LastFence != before.LastFence {
			t.Errorf("the ownership changed: last fence %d, %d before", after.LastFence, before.LastFence)
		}
		sim.killGateway("k1")
		sim.store.SetDown(true)
		sim.startGateway("k1")
		time.Sleep(2 * heartbeatInterval)
		if inst.gateway.serviceKeyed() {
			t.Fatal("the new process knows the configuration")
		}
		send()
		sim.store.SetDown(false)
		time.Sleep(fleetSettleTime)
		if got := sim.servedShare("f0"); got != 1 {
			t.Errorf("%.2f of the keys are served", got)
		}
	})
}
