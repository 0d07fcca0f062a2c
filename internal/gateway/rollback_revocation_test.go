package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/request"
	"heatherreel/internal/storeera"
)

// Guards against a revoked key that is admitted after a rollback of the store by a node that had missed the revocation, or
// that has started since: the store shows the older configuration, until operators write the newer one again.
func TestMissedRevocationOutlivesRollback(t *testing.T) {
	for _, restart := range []bool{false, true} {
		t.Run(fmt.Sprintf("restart=%v", restart), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim, _ := startTenants(t)
				defer sim.close()
				sim.setCutOff("f0", true)
				// The reads through a feed that had begun before have ended.
				time.Sleep(1500 * time.Millisecond)
				sim.revoke()
				acknowledged := time.Now()
				time.Sleep(2 * time.Second)
				if lost := sim.store.RollBack(2500 * time.Millisecond); lost["operators"] != 1 {
					t.Fatalf("lost %v", lost)
				}
				rolledBack := time.Now()
				// No feed has records of the earlier era any more.
				time.Sleep(2 * time.Second)
				sim.setCutOff("f0", false)
				if restart {
					sim.killGateway("f0")
					sim.startGateway("f0")
				}
				time.Sleep(time.Until(acknowledged.Add(revocation + time.Millisecond)))
				for i := 0; time.Since(rolledBack) < 8*time.Second; i++ {
					id := fmt.Sprintf("gone-%d", i)
					if a := sim.sendWithKey("f0", id, "/closed/", "key-gone"); a.Outcome != request.NotRun || sim.runs[id] > 0 {
						t.Errorf("%v after the revocation: %v %s", time.Since(acknowledged), a.Outcome, a.Reason)
					}
					time.Sleep(97 * time.Millisecond)
				}
				// The operators write the lost configuration again.
				sim.writeOperatorRecord("config", fmt.Sprint(len(sim.tables)-1))
				time.Sleep(2 * time.Second)
				for n := range sim.instances {
					if a := sim.sendWithKey(n, "kept-"+n, "/closed/", "key-kept"); a.Outcome != request.Done {
						t.Errorf("a kept key at %s: %v %s", n, a.Outcome, a.Reason)
					}
					if a := sim.sendWithKey(n, "revoked-"+n, "/closed/", "key-gone"); a.Reason != request.Unauthenticated {
						t.Errorf("a revoked key at %s: %v %s", n, a.Outcome, a.Reason)
					}
				}
			})
		})
	}
}

// Guards against nodes that refuse the keys of tenants for longer than the operators have to write a lost configuration
// again: the store never shows it, or a node reaches no other one to ask for it.
func TestRefusalsAfterRollbackAreBounded(t *testing.T) {
	for _, alone := range []bool{false, true} {
		t.Run(fmt.Sprintf("alone=%v", alone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim, _ := startTenants(t)
				defer sim.close()
				sim.setCutOff("f0", true)
				time.Sleep(1500 * time.Millisecond)
				sim.revoke()
				time.Sleep(2 * time.Second)
				sim.store.RollBack(2500 * time.Millisecond)
				time.Sleep(2 * time.Second)
				sim.setCutOff("f0", false)
				if alone {
					sim.mu.Lock()
					sim.disconnected["f0"] = true
					sim.mu.Unlock()
				}
				time.Sleep(5 * time.Second)
				if a := sim.sendWithKey("f0", "early", "/closed/", "key-kept"); a.Reason != request.ConfigurationStale {
					t.Errorf("before the bound: %v %s", a.Outcome, a.Reason)
				}
				// The node sees the era at the latest when a silent read ends.
				time.Sleep(storeera.RevisionDoubtPeriod - 5*time.Second + 2*time.Second)
				for n := range sim.instances {
					if a := sim.sendWithKey(n, "kept-"+n, "/closed/", "key-kept"); a.Outcome != request.Done {
						t.Errorf("a kept key at %s: %v %s", n, a.Outcome, a.Reason)
					}
				}
			})
		})
	}
}

// Guards against nodes that refuse the keys of tenants after a rollback that lost no configuration, and against processes
// that do so when they start in a later era.
func TestKeysAreServedThroughRollback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim, _ := startTenants(t)
		defer sim.close()
		time.Sleep(2 * time.Second)
		sim.store.RollBack(time.Second)
		for i := range 160 {
			if i == 50 || i == 130 {
				sim.killGateway("f1")
				sim.startGateway("f1")
				time.Sleep(300 * time.Millisecond)
			}
			if i == 120 {
				// A region that does not answer delays no process that starts long after the rollback.
				for n, inst := range sim.instances {
					if inst.self.Region == "r1" {
						sim.setCutOff(n, true)
					}
				}
				time.Sleep(2 * time.Second)
			}
			for n, inst := range sim.instances {
				if i >= 120 && inst.self.Region == "r1" {
					continue
				}
				if a := sim.sendWithKey(n, fmt.Sprintf("kept-%s-%d", n, i), "/closed/", "key-kept"); a.Outcome != request.Done {
					t.Errorf("at %s, round %d: %v %s", n, i, a.Outcome, a.Reason)
				}
			}
			time.Sleep(97 * time.Millisecond)
		}
	})
}

// Guards against messages and fields that a deployment gets whose store was never rolled back.
func TestNoReportsWithoutRollback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim, _ := startTenants(t)
		defer sim.close()
		g := sim.instances["k0"].gateway
		if _, load := g.Probe(-1); load.Store != (storeera.Report{}) {
			t.Errorf("the answer to a probe holds %+v", load.Store)
		}
		due := false
		g.proof.update(func(r *storeera.Revisions) { due = r.AskDue(g.deps.Now()) })
		if due {
			t.Error("other nodes are to be asked")
		}
	})
}
