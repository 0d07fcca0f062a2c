package gateway

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/feed"
	"heatherreel/internal/heartbeat"
	"heatherreel/internal/keyload"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/registry"
	"heatherreel/internal/request"
	"heatherreel/internal/storeera"
)

// eraSettleTime is the time after a rollback until all keys are served again: the leases of the earlier era have expired,
// and the table of the new one is read and granted.
const eraSettleTime = keyrange.ClaimWait + 5*time.Second

// inRolledBackFleet runs a scenario on a fleet with keys, and checks afterwards that all keys are served, under fences of
// the era of the store.
func inRolledBackFleet(t *testing.T, keyed int, scenario func(t *testing.T, sim *simulation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sim := startFleetOf(t, keyed)
		defer sim.close()
		scenario(t, sim)
		time.Sleep(eraSettleTime)
		if got := sim.servedShare("f0"); got != 1 {
			t.Errorf("%.2f of the keys are served after the rollback", got)
		}
		for name, inst := range sim.instances {
			table, _ := inst.gateway.ranges.get("keyed")
			if floor := storeera.FirstFence(sim.store.Era()); table.LastFence < floor || table.Ranges[0].Fence <= floor {
				t.Errorf("%s has a table with the last fence %d in era %d", name, table.LastFence, sim.store.Era())
			}
		}
	})
}

// setUnreachable sets whether the store answers no node.
func (sim *simulation) setUnreachable(unreachable bool) {
	for name := range sim.instances {
		sim.store.SetUnreachable(name, unreachable)
	}
}

// moveKeys moves some keys away from an instance, which writes the ownership.
func (sim *simulation) moveKeys(from, to string, first uint16) {
	g := sim.instances[from].gateway
	g.plannedMoves.Store(&[]keyMove{{span: keyload.Span{From: first, To: first + 99}, to: to}})
	g.reconcileTrigger.Fire()
}

// Guards against a reader that goes on from an offset of the earlier era: the records there are others, and those before
// are never read.
func TestReadersStartAgainAfterRollback(t *testing.T) {
	inRolledBackFleet(t, 4, func(t *testing.T, sim *simulation) {
		sim.publish(2, true)
		time.Sleep(2 * time.Second)
		// The nodes see the store again when the offsets of the lost records are those of other ones.
		sim.setUnreachable(true)
		sim.store.RollBackRecords(1)
		sim.publish(3, true)
		sim.writeOperatorRecord("evacuate/dc-f1", "{}")
		sim.writeOperatorRecord("evacuate/dc-f1", "")
		sim.setUnreachable(false)
		time.Sleep(2 * time.Second)
		for name, inst := range sim.instances {
			if got := inst.gateway.routes.revision(); got != 3 {
				t.Errorf("%s has revision %d in force", name, got)
			}
		}
	})
}

// Guards against an older configuration in force, which the store shows until the operators write the newer one again.
func TestRollbackBringsNoOlderConfiguration(t *testing.T) {
	inRolledBackFleet(t, 4, func(t *testing.T, sim *simulation) {
		sim.publish(2, true)
		time.Sleep(2 * time.Second)
		sim.store.RollBackRecords(1)
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			if got := sim.instances["k1"].gateway.routes.revision(); got != 2 {
				t.Fatalf("revision %d is in force", got)
			}
		}
		sim.publish(3, true)
	})
}

// Guards against an evacuation that ends because the store has lost it for a moment, one that does not end when operators
// end it after they have written it again, and one that stays for ever.
func TestEvacuationsOutliveRollback(t *testing.T) {
	inRolledBackFleet(t, 4, func(t *testing.T, sim *simulation) {
		sim.writeOperatorRecord("evacuate/dc-f1", "{}")
		sim.writeOperatorRecord("evacuate/dc-x", "{}")
		time.Sleep(2 * time.Second)
		sim.store.RollBackRecords(2)
		g := sim.instances["k0"].gateway
		check := func(after time.Duration, f1, x bool) {
			t.Helper()
			if got := g.routes.isEvacuated("dc-f1"); got != f1 {
				t.Errorf("%v after the rollback dc-f1 is evacuated: %v", after, got)
			}
			if got := g.routes.isEvacuated("dc-x"); got != x {
				t.Errorf("%v after the rollback dc-x is evacuated: %v", after, got)
			}
		}
		time.Sleep(3 * time.Second)
		check(3*time.Second, true, true)
		// An end that was written before the evacuation is shown again does not count.
		sim.writeOperatorRecord("evacuate/dc-f1", "")
		time.Sleep(2 * time.Second)
		check(5*time.Second, true, true)
		sim.writeOperatorRecord("evacuate/dc-f1", "{}")
		time.Sleep(2 * time.Second)
		sim.writeOperatorRecord("evacuate/dc-f1", "")
		time.Sleep(2 * time.Second)
		check(9*time.Second, false, true)
		time.Sleep(4 * time.Second)
		check(13*time.Second, false, false)
	})
}

// Guards against requests for a backend server whose departure was acknowledged: the record of it is lost, and the process
// of the node that remembers it ends a moment later.
func TestDepartureOutlivesRollback(t *testing.T) {
	inRolledBackFleet(t, 4, func(t *testing.T, sim *simulation) {
		inst := sim.instances["f0"]
		if _, err := inst.gateway.Heartbeat(heartbeat.Message{Server: inst.server.id, Ended: true}); err != nil {
			t.Fatal(err)
		}
		sim.store.RollBack(time.Second)
		time.Sleep(time.Second)
		sim.killGateway("f0")
		sim.startGateway("f0")
		time.Sleep(2 * time.Second)
		if a := sim.sendRequest("k0", "late", "/home/", -1, time.Second); a.Outcome != request.NotRun || sim.runs["late"] != 0 {
			t.Errorf("got %v %q, ran %d times", a.Outcome, a.Reason, sim.runs["late"])
		}
	})
}

// Guards against instances that are forgotten because the store has lost their records, and against the writes of all
// nodes at one moment.
func TestMembersOutliveRollback(t *testing.T) {
	inRolledBackFleet(t, 12, func(t *testing.T, sim *simulation) {
		before := len(sim.instances["f0"].gateway.members.ofService("keyed"))
		sim.store.RollBackRecords(1000)
		sim.publish(2, true)
		for range 80 {
			time.Sleep(100 * time.Millisecond)
			if got := len(sim.instances["f0"].gateway.members.ofService("keyed")); got != before {
				t.Fatalf("%d members of %d are known", got, before)
			}
		}
		page, err := sim.store.ClientFor("operator").Newest(t.Context(), registry.MembersTopic)
		if err != nil || len(page.Records) != len(sim.instances) {
			t.Errorf("%d records of %d instances, %v", len(page.Records), len(sim.instances), err)
		}
		first, last := sim.store.WrittenAt(registry.MembersTopic, 0), sim.store.WrittenAt(registry.MembersTopic, len(sim.instances)-1)
		if spread := last.Sub(first); spread < storeera.RewriteSpread/4 || spread > storeera.RewriteSpread+100*time.Millisecond {
			t.Errorf("the records are written within %v", spread)
		}
	})
}

// Guards against an instance that is gone and stays known for ever because the store has lost its record, too.
func TestLostMemberIsForgottenAfterRollback(t *testing.T) {
	inRolledBackFleet(t, 4, func(t *testing.T, sim *simulation) {
		sim.addInstance("f2", "free", "r1")
		time.Sleep(2 * time.Second)
		sim.killGateway("f2")
		sim.stopServer("f2")
		sim.mu.Lock()
		delete(sim.instances, "f2")
		sim.mu.Unlock()
		sim.store.RollBack(4 * time.Second)
		time.Sleep(storeera.MembersKept + 2*time.Second)
		if _, known := sim.instances["k0"].gateway.members.get("f2"); known {
			t.Error("an instance without a record is known")
		}
	})
}

// Guards against two owners of a key, and fences that are given twice, when the store loses changes of the ownership: the
// new owner holds keys that the older table gives to the one before it. Nothing may be granted while leases of the earlier
// era are in force.
func TestOwnershipOutlivesRollback(t *testing.T) {
	for _, lost := range []int{1, 2, 1000} {
		inRolledBackFleet(t, 4, func(t *testing.T, sim *simulation) {
			sim.moveKeys("k0", "k2", 0)
			time.Sleep(3 * time.Second)
			sim.store.RollBackRecords(lost)
			sim.publish(2, true)
			at := time.Now()
			time.Sleep(500 * time.Millisecond)
			// With a record after its first read of the era, a node knows that its process wrote nothing before.
			sim.writeRecord(registry.RangesTopic, registry.SettlingKey, "x")
			for time.Since(at) < keyrange.LeaseDuration {
				time.Sleep(100 * time.Millisecond)
				for name, inst := range sim.instances {
					if g := inst.gateway; inst.self.Service == "keyed" && time.Since(at) > time.Second && g.ranges.holdTime(g.deps.Now()) > 0 {
						t.Fatalf("%s may grant %v after the rollback", name, time.Since(at))
					}
				}
			}
		})
	}
}

// Guards against a write of an earlier era that takes effect by chance, since the topic ends again where it was to be
// written: its table gives keys to others, under fences of the earlier era, and hides the table of the new one.
func TestWriteOfEarlierEraChangesNothing(t *testing.T) {
	for _, lateBy := range []time.Duration{time.Second, 5 * time.Second, keyrange.ClaimWait + 4*time.Second} {
		inRolledBackFleet(t, 4, func(t *testing.T, sim *simulation) {
			for i := range 4 {
				sim.moveKeys("k0", "k2", uint16(i*200))
				time.Sleep(2 * time.Second)
			}
			var late atomic.Bool
			sim.store.SetLateAppend(func(instance, topic string) time.Duration {
				if instance != "k0" || topic != registry.RangesTopic || !late.CompareAndSwap(false, true) {
					return 0
				}
				return lateBy
			})
			end, began := sim.store.End(registry.RangesTopic), time.Now()
			sim.moveKeys("k0", "k1", 5000)
			time.Sleep(50 * time.Millisecond)
			if !late.Load() || sim.store.End(registry.RangesTopic) != end {
				t.Fatal("no write was late")
			}
			sim.store.RollBackRecords(6)
			// Other records bring the end of the topic back to where the write expects it, just before it is done.
			sleep(t.Context(), lateBy-500*time.Millisecond-time.Since(began))
			for sim.store.End(registry.RangesTopic) < end {
				sim.writeRecord(registry.RangesTopic, registry.SettlingKey, "x")
			}
			sleep(t.Context(), lateBy+time.Second-time.Since(began))
			page, err := sim.store.ClientFor("operator").Read(t.Context(), registry.RangesTopic, int64(end), 0)
			if err != nil || len(page.Records) == 0 {
				t.Fatalf("nothing is written at %d: %v", end, err)
			}
			if table, err := registry.DecodeRanges(page.Records[0]); err != nil || table.LastFence >= storeera.FirstFence(1) {
				t.Fatalf("the late write was not done: %v, %v", table, err)
			}
			if page, err = sim.store.ClientFor("operator").Newest(t.Context(), registry.RangesTopic); err != nil {
				t.Fatal(err)
			}
			for _, r := range page.Records {
				if table, err := registry.DecodeRanges(r); lateBy > keyrange.ClaimWait && r.Key == "keyed" && (err != nil || table.LastFence < storeera.FirstFence(1)) {
					t.Errorf("the store shows the table of the earlier era a second later: last fence %d, %v", table.LastFence, err)
				}
			}
		})
	}
}

// Guards against answers of a process of the store that was not restored: they would bring records back that are lost, and
// prolong leases of the earlier era.
func TestAnswersOfEarlierEraAreDiscarded(t *testing.T) {
	inRolledBackFleet(t, 4, func(t *testing.T, sim *simulation) {
		sim.store.RollBackRecords(1)
		time.Sleep(eraSettleTime)
		sim.store.SetStaleEra("k1", 0)
		sim.publish(2, true)
		time.Sleep(3 * time.Second)
		g := sim.instances["k1"].gateway
		if got := g.routes.revision(); got != 2 {
			t.Errorf("revision %d is in force; other nodes reach the store", got)
		}
		if got := g.era.current.Load(); got != 1 || !g.store.Unreachable() {
			t.Errorf("era %d, unreachable %v", got, g.store.Unreachable())
		}
		for name := range sim.instances {
			sim.store.SetStaleEra(name, 0)
		}
		time.Sleep(keyrange.LeaseDuration + time.Second)
		if left := g.ranges.leaseRemaining(g.deps.Now()); left > 0 {
			t.Errorf("the lease lasts %v on answers of era 0", left)
		}
		for name := range sim.instances {
			sim.store.SetStaleEra(name, 1)
		}
	})
}

// Guards against nodes that read through others and miss a rollback, or take records of the earlier era from a feed.
func TestRollbackReachesNodesThroughFeeds(t *testing.T) {
	inRolledBackFleet(t, 10, func(t *testing.T, sim *simulation) {
		sim.store.SetUnreachable("k5", true)
		time.Sleep(time.Second)
		sim.store.RollBackRecords(2)
		time.Sleep(3 * time.Second)
		for name, inst := range sim.instances {
			if got := inst.gateway.era.current.Load(); got != 1 {
				t.Errorf("%s has seen era %d", name, got)
			}
		}
		sim.publish(2, true)
		time.Sleep(2 * time.Second)
		if outdated := sim.outdated(2, []string{"k0", "k1", "k5", "f1"}); len(outdated) > 0 {
			t.Errorf("%v do not have the newest configuration", outdated)
		}
	})
}

// Guards against a new process that grants keys under a table of the earlier era, and against a fleet that does not get over
// two rollbacks in a row.
func TestRestartAfterRollbacks(t *testing.T) {
	inRolledBackFleet(t, 4, func(t *testing.T, sim *simulation) {
		sim.moveKeys("k0", "k2", 0)
		time.Sleep(3 * time.Second)
		sim.store.RollBackRecords(2)
		// A process that starts without a configuration in the store knows none.
		sim.publish(2, true)
		sim.killGateway("k0")
		time.Sleep(time.Second)
		sim.startGateway("k0")
		time.Sleep(4 * time.Second)
		sim.store.RollBack(2 * time.Second)
		sim.publish(2, true)
		sim.killGateway("k1")
		sim.startGateway("k1")
	})
}

// rollBack restores the store from a copy of a random age, and has the operators write their lost configuration again.
func (sim *simulation) rollBack(random *rand.Rand) {
	lost := sim.store.RollBack(randomTime(random, 0, 5*time.Second))["operators"]
	delay := randomTime(random, 100*time.Millisecond, 2*time.Second)
	if lost == 0 {
		return
	}
	sim.group.Go(func() {
		sleep(sim.t.Context(), delay)
		for n := 0; n < 100; n++ {
			record := registry.Record{Key: "config", Value: []byte(fmt.Sprint(len(sim.tables) - 1))}
			if _, err := sim.store.ClientFor("operator").Append(sim.t.Context(), "operators", registry.AnyOffset, record); err == nil {
				return
			}
			sleep(sim.t.Context(), 200*time.Millisecond)
		}
	})
}

// Guards against the same as TestRandomFaults where the store is rolled back beside the other faults.
func TestRandomFaultsWithRollbacks(t *testing.T) {
	for _, c := range []struct {
		name   string
		keyed  int
		direct bool
		seeds  int
	}{{"store", 4, false, scheduleCount(t)}, {"feeds", 14, false, withoutRaceDetector(scheduleCount(t))}, {"calls", 4, true, scheduleCount(t)}} {
		// With seed 71, a node that starts after a rollback knows an older configuration, and would repeat a write.
		seeds := []int{71}
		for seed := range c.seeds {
			if seed != 71 {
				seeds = append(seeds, seed)
			}
		}
		for _, seed := range seeds {
			runSchedule(t, fmt.Sprintf("%s/seed=%d", c.name, seed), func(t *testing.T) {
				random := rand.New(rand.NewPCG(uint64(seed), 5))
				sim := newSimulation(t)
				sim.direct, sim.orderRandom = c.direct, rand.New(rand.NewPCG(uint64(seed), 7))
				sim.orderLoss = 0.3 * float64(seed%2)
				sim.startFleet(c.keyed)
				sim.rollBacks = rand.New(rand.NewPCG(uint64(seed), 6))
				sim.runRandomFaults(random, c.keyed)
			})
		}
	}
}

// Guards against a fleet that takes the era of its store for a rollback when it starts, and serves its keys late.
func TestFleetStartsInLaterEra(t *testing.T) {
	for _, keyed := range []int{4, 14} {
		synctest.Test(t, func(t *testing.T) {
			sim := newSimulation(t)
			defer sim.close()
			sim.store.RollBackRecords(0)
			sim.publish(1, true)
			sim.store.SetSilent("k0", true)
			sim.addInstance("k0", "keyed", "r1")
			time.Sleep(100 * time.Millisecond)
			// A node that has not seen an era either asks this one for its records.
			_, _ = sim.instances["k0"].gateway.ReadTopic(t.Context(), feed.Request{Topic: "operators", From: -1, Wait: time.Millisecond})
			sim.store.SetSilent("k0", false)
			for i := 1; i < keyed; i++ {
				sim.addInstance(fmt.Sprintf("k%d", i), "keyed", fmt.Sprintf("r%d", i%2+1))
			}
			sim.addInstance("f0", "free", "r1")
			time.Sleep(fleetSettleTime)
			if got := sim.servedShare("f0"); got != 1 {
				t.Errorf("%.2f of the keys are served", got)
			}
			for name, inst := range sim.instances {
				if inst.gateway.era.rewriteAt.Load() != 0 || inst.gateway.era.current.Load() != 1 {
					t.Errorf("%s has begun an era at its start", name)
				}
			}
		})
	}
}

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
