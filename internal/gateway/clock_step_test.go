package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/heartbeat"
	"heatherreel/internal/keyrange"
)

// Guards against a departure that lapses because the time of day of the machine jumped back before it was announced: the
// backend server would get requests again.
func TestDepartureSurvivesClockStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newServerTracker()
		at := func(d time.Duration) keyrange.Instant { return keyrange.Instant(time.Hour + d) }
		// The backend server started 2 s ahead of what the clock shows now.
		m := heartbeat.Message{Server: "s", Slots: 9, Sequence: 1, StartedUnixMS: time.Now().Add(2 * time.Second).UnixMilli()}
		tracker.applyHeartbeat(m, at(0), time.Second)
		m.Draining, m.Sequence = true, 2
		tracker.applyHeartbeat(m, at(time.Second), time.Second)
		m.Draining, m.Sequence = false, 3
		tracker.applyHeartbeat(m, at(2*time.Second), time.Second)
		if !tracker.isDraining(at(2 * time.Second)) {
			t.Error("the backend server counts as ready after it has announced that it drains")
		}
		m.StartedUnixMS, m.Sequence = m.StartedUnixMS+5000, 1
		tracker.applyHeartbeat(m, at(7*time.Second), time.Second)
		if tracker.isDraining(at(7 * time.Second)) {
			t.Error("the departure applies to a later incarnation with the same id")
		}
	})
}

// Guards against a backend server that is ignored for ever because the time of day jumped back before it started again, so
// that its start time is below that of the incarnation before; and against late heartbeats of an earlier incarnation.
func TestRestartAfterClockStepIsNoticed(t *testing.T) {
	tracker := newServerTracker()
	at := func(d time.Duration) keyrange.Instant { return keyrange.Instant(time.Hour + d) }
	beat := func(server string, born, sequence int64, d time.Duration) bool {
		_, accepted := tracker.applyHeartbeat(heartbeat.Message{Server: server, Slots: 9, StartedUnixMS: born, Sequence: sequence}, at(d), time.Second)
		return accepted
	}
	if !beat("s-1", 5000, 1, 0) || beat("s-0", 4000, 7, 100*time.Millisecond) || beat("s-0", 4000, 8, time.Second) || !beat("s-1", 5000, 2, 1100*time.Millisecond) {
		t.Error("late heartbeats of an earlier incarnation are taken for the present one")
	}
	var accepted []time.Duration
	for i := range 8 {
		d := 2*time.Second + time.Duration(i)*870*time.Millisecond
		if beat("s-2", 3000, int64(i+1), d) {
			accepted = append(accepted, d)
		}
	}
	if len(accepted) == 0 || accepted[0] < 1100*time.Millisecond+heartbeatTimeout || accepted[0] > 7*time.Second {
		t.Errorf("heartbeats of the new incarnation are accepted at %v", accepted)
	}
	if beat("s-1", 5000, 3, 9*time.Second) {
		t.Error("the former incarnation is accepted again at once")
	}
}

// Guards against a backend server that stops being cold early because the time of day jumps.
func TestColdTimeSurvivesClockStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		defer sim.close()
		sim.publishCold(1)
		sim.addInstance("f0", "free", "r1")
		time.Sleep(time.Second)
		g := sim.instances["f0"].gateway
		time.Sleep(6 * time.Second)
		sim.stopServer("f0")
		time.Sleep(100 * time.Millisecond)
		sim.startServer("f0")
		// Its clock shows an earlier time than that of the node, which has jumped ahead.
		sim.mu.Lock()
		sim.instances["f0"].server.startedUnixMS -= 4000
		sim.mu.Unlock()
		time.Sleep(2 * time.Second)
		if left := g.loadReport().ColdFor; left < 2*time.Second {
			t.Errorf("2 s after its start the backend server is cold for %v, want 3 s", left)
		}
	})
}

// Guards against a process that the others ignore because the time of day jumped back before it started, so that its
// incarnation is below that of the process before.
func TestProcessStartedAfterClockStepIsHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		sim.killGateway("k0")
		sim.mu.Lock()
		sim.instances["k0"].incarnation -= 3
		sim.mu.Unlock()
		time.Sleep(time.Second)
		sim.startGateway("k0")
		time.Sleep(2 * time.Second)
		sim.mu.Lock()
		sim.instances["k0"].server.draining = true
		sim.mu.Unlock()
		time.Sleep(2 * time.Second)
		if m, _ := sim.instances["f0"].gateway.members.get("k0"); !m.Server.Draining {
			t.Errorf("another node has the record %+v", m)
		}
	})
}
