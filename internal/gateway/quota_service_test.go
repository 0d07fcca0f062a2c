package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/quota"
	"heatherreel/internal/route"
	"heatherreel/internal/tenantauth"
)

// publishLenders publishes a configuration in which a tenant has the limit and the services have exclusive owners for their
// keys; the first of them by name lends.
func (sim *simulation) publishLenders(revision uint64, limit quota.Limit, keyed ...string) {
	sim.t.Helper()
	services := []route.Service{{Name: "free"}}
	for _, name := range keyed {
		services = append(services, route.Service{Name: name, Keyed: true})
	}
	table, err := route.Build(revision, []route.Route{{Name: "closed", Host: "h", Prefix: "/closed/", Idempotent: true, MaxAttempts: 2,
		Services: []route.WeightedService{{Service: "free", Weight: 1}}}}, services, route.Limits{})
	if err == nil {
		table.Tenants, err = tenantauth.Build(tenantauth.Secret{7}, []tenantauth.Entry{{
			Tenant: tenantauth.Tenant{Name: "kept", Rate: limit.Rate, Burst: limit.Burst}, Keys: []string{"key-kept"}}})
	}
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.mu.Lock()
	sim.tables = append(sim.tables, table)
	n := len(sim.tables) - 1
	sim.mu.Unlock()
	sim.writeOperatorRecord("config", fmt.Sprint(n))
}

// Guards against two lenders of a tenant while a configuration changes which service lends: the new lender has lent before and
// has saved up credit since, or nodes read the configuration late.
func TestQuotaHoldsWhileLendingServiceChanges(t *testing.T) {
	large, bursty := quota.Limit{Rate: 262}, quota.Limit{Rate: 60, Burst: 400}
	for name, c := range map[string]struct {
		before, after []string
		late          bool
		limit         quota.Limit
	}{
		"to a former lender":         {[]string{"aaa", "keyed"}, []string{"keyed"}, false, bursty},
		"to a former lender, late":   {[]string{"aaa", "keyed"}, []string{"keyed"}, true, large},
		"to another lender, late":    {[]string{"keyed"}, []string{"aaa", "keyed"}, true, large},
		"from none to a lender":      {nil, []string{"keyed"}, false, bursty},
		"from none to a lender late": {nil, []string{"keyed"}, true, large},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limit := c.limit
				bound := int((limit.Rate*5+limit.Burst)*1.1 + 20)
				sim := newSimulation(t)
				defer sim.close()
				// The heartbeats of the simulation report the keys of one service only.
				sim.revocation, sim.direct, sim.orderRandom = revocation, true, rand.New(rand.NewPCG(1, 1))
				sim.startFleet(4)
				for i := range 4 {
					sim.addInstance(fmt.Sprintf("a%d", i), "aaa", "r1")
				}
				var through []string
				for n, inst := range sim.instances {
					inst.server.serviceTime = time.Millisecond
					through = append(through, n)
				}
				slices.Sort(through)
				// A lender saves up credit once it was asked.
				sim.publishLenders(2, limit, "keyed")
				time.Sleep(15 * time.Second)
				sim.offer("first", through, 1000, 2*time.Second)
				sim.publishLenders(3, limit, c.before...)
				time.Sleep(15 * time.Second)
				sim.offer("second", through, 1000, 2*time.Second)
				time.Sleep(20 * time.Second)
				sim.group.Go(func() {
					time.Sleep(1500 * time.Millisecond)
					if c.late {
						// Those nodes read the configuration at the end of a poll.
						for i, n := range through {
							sim.store.SetSilent(n, i%2 == 0)
						}
					}
					sim.publishLenders(4, limit, c.after...)
					time.Sleep(1800 * time.Millisecond)
					for _, n := range through {
						sim.store.SetSilent(n, false)
					}
				})
				ran, refused, failed := sim.offer("change", through, 1000, 10*time.Second)
				if n := most(ran); n > bound {
					t.Errorf("%d requests ran in 5 s, %d allowed; %d refused, %d failed", n, bound, refused, failed)
				}
			})
		})
	}
}
