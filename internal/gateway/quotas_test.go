package gateway

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/quota"
	"heatherreel/internal/request"
	"heatherreel/internal/tenantauth"
)

// startQuota starts a fleet with a tenant that has the limit.
func startQuota(t *testing.T, limit quota.Limit) *simulation {
	sim, _ := startTenants(t)
	sim.publishTenants(3, tenantauth.Entry{Tenant: tenantauth.Tenant{Name: "kept", Rate: limit.Rate, Burst: limit.Burst}, Keys: []string{"key-kept"}})
	// Buckets fill, and the lender has waited for the loans of its predecessor.
	time.Sleep(20 * time.Second)
	for _, inst := range sim.instances {
		inst.server.serviceTime = time.Millisecond
	}
	return sim
}

// offer sends requests of the tenant through the instances in turn, perSecond for the time, and returns when they ran, and how
// many were refused by the quota and for another reason.
func (sim *simulation) offer(name string, through []string, perSecond int, duration time.Duration) (ran []time.Time, refused, failed int) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i := range perSecond * int(duration.Seconds()) {
		callers.Go(func() {
			a := sim.sendWithKey(through[i%len(through)], fmt.Sprintf("%s-%d", name, i), "/closed/", "key-kept")
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.Outcome == request.Done:
				ran = append(ran, time.Now())
			case a.Outcome == request.NotRun && a.Reason == request.QuotaExceeded && a.RetryAfter > 0:
				refused++
			default:
				failed++
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	callers.Wait()
	return ran, refused, failed
}

// most returns the largest number of the times in 5 s.
func most(times []time.Time) (n int) {
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) >= 5*time.Second {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

// tenantLender returns the instance that lends the quota of the tenant.
func (sim *simulation) tenantLender() string {
	table, _ := sim.instances["f0"].gateway.ranges.get("keyed")
	r, _ := table.Find(quota.LenderKey("kept"))
	return r.Owner.Instance
}

// Guards against a quota that does not hold over the nodes, that refuses callers at few nodes what is lent, or that needs its
// lender: it is killed, or cut off from all others.
func TestQuotaHoldsOverNodes(t *testing.T) {
	limit := quota.Limit{Rate: 60, Burst: 20}
	bound := int((limit.Rate*5+limit.Burst)*1.1 + 20)
	for name, fault := range map[string]func(sim *simulation, lender string){
		"none":         func(*simulation, string) {},
		"lender ended": func(sim *simulation, lender string) { sim.killGateway(lender) },
		"lender alone": func(sim *simulation, lender string) {
			sim.mu.Lock()
			sim.disconnected[lender] = true
			sim.mu.Unlock()
			sim.store.SetUnreachable(lender, true)
		},
		"store away": func(sim *simulation, _ string) { sim.store.SetDown(true) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := startQuota(t, limit)
				defer sim.close()
				lender := sim.tenantLender()
				var through []string
				for n := range sim.instances {
					if n != lender && len(through) < 3 {
						through = append(through, n)
					}
				}
				fault(sim, lender)
				ran, refused, failed := sim.offer("over", through, 120, 12*time.Second)
				if n := most(ran); n > bound || failed > 0 && name != "store away" {
					t.Errorf("%d requests ran in 5 s, %d allowed; %d refused, %d failed", n, bound, refused, failed)
				}
				if name != "none" {
					return
				}
				// Half of the limit is lent; the even shares of three of twelve nodes are an eighth.
				if n := float64(len(ran)) / 12; n < 0.9*limit.Rate/2 || refused == 0 {
					t.Errorf("%.1f requests a second ran, %d were refused", n, refused)
				}
				if calls := sim.lendCalls.Load(); calls > 3*4*13 {
					t.Errorf("%d calls for loans by three nodes in 12 s", calls)
				}
				sim.lendCalls.Store(0)
				time.Sleep(3 * time.Second)
				if calls := sim.lendCalls.Load(); calls > 3 {
					t.Errorf("%d calls for loans without demand", calls)
				}
				ran, refused, _ = sim.offer("below", through, 20, 5*time.Second)
				if refused > 0 {
					t.Errorf("%d of %d requests below the limit are refused", refused, refused+len(ran))
				}
			})
		})
	}
}

// Guards against a request that was admitted and did not run, and has used up credit; and against a lower limit that does not
// take effect within 5 s.
func TestCreditIsReturnedAndLimitsLowered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startQuota(t, quota.Limit{Rate: 5, Burst: 100})
		defer sim.close()
		g := sim.instances["f0"].gateway
		free := func() (n int) {
			for {
				credit, refused := g.takeQuota(context.Background(), "kept", time.Now().Add(time.Millisecond))
				if refused != nil {
					return n
				}
				n++
				defer g.quotas.giveBack(&credit, g.deps.Now())
			}
		}
		// Neither a lender nor a backend server can be reached.
		sim.mu.Lock()
		sim.disconnected["f0"] = true
		sim.mu.Unlock()
		sim.stopServer("f0")
		time.Sleep(time.Second)
		before := free()
		for i := range 3 {
			if a := sim.sendWithKey("f0", fmt.Sprintf("refused-%d", i), "/closed/", "key-kept"); a.Outcome != request.NotRun || a.Reason == request.QuotaExceeded {
				t.Errorf("%v %s", a.Outcome, a.Reason)
			}
		}
		if after := free(); before < 3 || after < before {
			t.Errorf("credit for %d requests, %d after three that did not run", before, after)
		}
		sim.publishTenants(4, tenantauth.Entry{Tenant: tenantauth.Tenant{Name: "kept", Rate: 0.01, Burst: 2}, Keys: []string{"key-kept"}})
		time.Sleep(5 * time.Second)
		if lowered := free(); lowered > 1 {
			t.Errorf("credit for %d requests 5 s after the limit was lowered", lowered)
		}
	})
}
