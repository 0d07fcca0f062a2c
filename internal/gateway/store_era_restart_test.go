package gateway

import (
	"math/rand/v2"
	"testing"
	"time"
)

// rollingBack returns a schedule during which the store is rolled back once, at a random time in its first 4 s.
func rollingBack(schedule func(sim *simulation, random *rand.Rand, name string)) func(sim *simulation, random *rand.Rand, name string) {
	return func(sim *simulation, random *rand.Rand, name string) {
		drill := rand.New(rand.NewPCG(random.Uint64(), 0))
		sim.group.Go(func() {
			time.Sleep(randomTime(drill, 0, 4*time.Second))
			sim.rollBack(drill)
		})
		schedule(sim, random, name)
		time.Sleep(eraSettleTime)
		if got := sim.servedShare("f0"); got != 1 {
			sim.t.Errorf("%.2f of the keys are served after the rollback", got)
		}
	}
}

// Guards against a new process that grants keys which a write of the process before it, begun in an earlier era of the store
// and done late, gives to others.
func TestLateWriteOfEarlierProcessAcrossRollback(t *testing.T) {
	runInBothGrantWays(t, scheduleCount(t), 11, rollingBack((*simulation).writeLateAndRestart))
}

// Guards against a new process that knows neither the grants of the process before it nor the leases of an earlier era.
func TestGrantsOfEarlierProcessOutliveRollback(t *testing.T) {
	runInBothGrantWays(t, scheduleCount(t), 13, rollingBack((*simulation).restartAndEndServer))
}
