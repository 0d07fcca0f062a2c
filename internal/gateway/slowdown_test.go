package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/request"
)

// Guards against requests that start on a machine that is temporarily slow while another backend server is free. The
// nodes that send them do not know that it is slow.
func TestSlowMachineDivertsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startOneRegion(t, 3, 8)
		defer sim.close()
		for i := range 3 {
			sim.setWorkFigure(fmt.Sprintf("f%d", i), 1)
			sim.instances[fmt.Sprintf("f%d", i)].gateway.server.observeWorkFigure(1)
		}
		sim.setWorkFigure("f0", 3)
		for i := range 8 {
			sim.instances["f0"].gateway.server.observeWorkFigure(3)
			started := time.Now()
			a := sim.sendRequest(fmt.Sprintf("k%d", i), fmt.Sprintf("slow-%d", i), "/free/", -1, time.Second)
			if a.Outcome != request.Done || time.Since(started) > 150*time.Millisecond {
				t.Errorf("request %d: %v %q by %s after %v", i, a.Outcome, a.Reason, a.Instance, time.Since(started))
			}
		}
		for i := range 3 {
			sim.setWorkFigure(fmt.Sprintf("f%d", i), 3)
			sim.instances[fmt.Sprintf("f%d", i)].gateway.server.observeWorkFigure(3)
		}
		if a := sim.sendRequest("f0", "all-slow", "/free/", -1, time.Second); a.Outcome != request.Done {
			t.Errorf("with all machines slow: %v %q", a.Outcome, a.Reason)
		}
	})
}

// Guards against requests for keys that start on a machine that is temporarily slow, and therefore take three times
// as long.
func TestKeyedRequestsWaitForSlowMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		defer sim.close()
		sim.publish(1, true)
		sim.addInstance("k0", "keyed", "r1")
		time.Sleep(fleetSettleTime)
		sim.setWorkFigure("k0", 1)
		for i := range 5 {
			sim.sendRequest("k0", fmt.Sprintf("usual-%d", i), "/keyed/", 7, time.Second)
		}
		sim.setWorkFigure("k0", 3)
		started := time.Now()
		done := make(chan time.Duration)
		go func() {
			// The first answer after the change reports that the machine is slow.
			sim.sendRequest("k0", "first", "/keyed/", 7, 2*time.Second)
			again := time.Now()
			sim.sendRequest("k0", "second", "/keyed/", 8, 2*time.Second)
			done <- time.Since(again)
		}()
		time.Sleep(350 * time.Millisecond)
		sim.setWorkFigure("k0", 1)
		if took := <-done; took > 250*time.Millisecond {
			t.Errorf("the second request took %v, %v after the slow period began", took, time.Since(started))
		}
	})
}

// Guards against keys that are assigned by slots alone: a machine that takes three times as long must get fewer.
func TestFastMachinesGetMoreKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		defer sim.close()
		sim.publish(1, true)
		for i, figure := range []float64{0.5, 1, 1.5} {
			name := fmt.Sprintf("k%d", i)
			sim.addInstance(name, "keyed", "r1")
			sim.setWorkFigure(name, figure)
		}
		time.Sleep(fleetSettleTime)
		table, _ := sim.instances["k0"].gateway.ranges.get("keyed")
		keys := map[string]int{}
		for _, r := range table.Ranges {
			keys[r.Owner.Instance] += int(r.To) - int(r.From) + 1
		}
		if keys["k0"] < 3*keys["k1"] || keys["k1"] < 2*keys["k2"] || keys["k2"] == 0 {
			t.Errorf("keys by instance: %v", keys)
		}
	})
}

// Guards against endless queries to backend servers that report no work figure.
func TestMissingWorkFigureIsNotQueriedForever(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		time.Sleep(30 * time.Second)
		for i := range 20 {
			sim.sendRequest("f0", fmt.Sprintf("plain-%d", i), "/keyed/", i*3000, time.Second)
		}
		// Four backend servers, six queries each.
		if sim.workFigureQueries > 4*6 {
			t.Errorf("four backend servers without work figures were queried %d times", sim.workFigureQueries)
		}
	})
}
