package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/heartbeat"
	"heatherreel/internal/registry"
)

// holdHeartbeats sets whether the heartbeats of the backend server of an instance do not arrive.
func (sim *simulation) holdHeartbeats(name string, held bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.heldHeartbeats[name] = held
}

// randomTime returns a time between from and to.
func randomTime(random *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(random.Int64N(int64(to-from)))
}

// Guards against a new process that grants keys which a write of the process before it, done late, gives to others.
func TestLateWriteOfEarlierProcessTakesNoGrantedKeys(t *testing.T) {
	runInBothGrantWays(t, 2*scheduleCount(t), 5, (*simulation).writeLateAndRestart)
}

// runInBothGrantWays runs a schedule for one keyed instance of four with the number of seeds, with grants in replies and by
// calls. stream tells the random numbers of different tests apart.
func runInBothGrantWays(t *testing.T, seeds int, stream uint64, schedule func(sim *simulation, random *rand.Rand, name string)) {
	for _, direct := range []bool{false, true} {
		for seed := range seeds {
			t.Run(fmt.Sprintf("direct=%v/seed=%d", direct, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					random := rand.New(rand.NewPCG(uint64(seed), stream))
					sim := newSimulation(t)
					defer sim.close()
					sim.direct, sim.orderRandom = direct, rand.New(rand.NewPCG(uint64(seed), stream+1))
					sim.startFleet(4)
					schedule(sim, random, fmt.Sprintf("k%d", random.IntN(4)))
				})
			})
		}
	}
}

// writeLateAndRestart holds back the heartbeats of a backend server until its node gives its keys away by a write that
// gets no answer and is done late, and restarts the process of the node in between.
func (sim *simulation) writeLateAndRestart(random *rand.Rand, name string) {
	lateBy := randomTime(random, 500*time.Millisecond, 6*time.Second)
	written := make(chan struct{})
	lost := false
	sim.store.SetLateAppend(func(instance, topic string) time.Duration {
		if lost || instance != name || topic != registry.RangesTopic {
			return 0
		}
		lost = true
		close(written)
		return lateBy
	})
	sim.holdHeartbeats(name, true)
	<-written
	time.Sleep(randomTime(random, 0, 500*time.Millisecond))
	sim.killGateway(name)
	time.Sleep(randomTime(random, 100*time.Millisecond, time.Second))
	if random.IntN(2) == 0 {
		sim.holdHeartbeats(name, false)
	}
	sim.startGateway(name)
	time.Sleep(randomTime(random, 0, 500*time.Millisecond))
	sim.holdHeartbeats(name, false)
	time.Sleep(lateBy + 12*time.Second)
	if got := sim.servedShare("f0"); got != 1 {
		sim.t.Errorf("%.2f of the keys are served after the write, which was %v late", got, lateBy)
	}
}

// Guards against a new process that gives away the keys of a backend server which has announced its end, while the grants
// of the process before it are in force.
func TestGrantsOfEarlierProcessOutliveIt(t *testing.T) {
	runInBothGrantWays(t, scheduleCount(t), 7, (*simulation).restartAndEndServer)
}

// restartAndEndServer restarts the process of an instance during a short outage of the store. Its backend server sends a
// heartbeat to the new process, announces its end and still serves.
func (sim *simulation) restartAndEndServer(random *rand.Rand, name string) {
	time.Sleep(randomTime(random, 0, heartbeatInterval))
	sim.killGateway(name)
	sim.store.SetDown(true)
	time.Sleep(randomTime(random, 100*time.Millisecond, 400*time.Millisecond))
	sim.startGateway(name)
	sim.mu.Lock()
	inst := sim.instances[name]
	g, alive := inst.gateway, heartbeatOf(inst)
	sim.mu.Unlock()
	_, _ = g.Heartbeat(alive)
	sim.holdHeartbeats(name, true)
	_, _ = g.Heartbeat(heartbeat.Message{Server: alive.Server, Ended: true})
	sim.store.SetDown(false)
	for range 50 {
		time.Sleep(100 * time.Millisecond)
		sim.mu.Lock()
		sim.checkOwners()
		sim.mu.Unlock()
	}
}
