package gateway

import (
	"testing"
	"time"

	"heatherreel/internal/route"
	"heatherreel/internal/routed"
)

// Guards against a server that runs requests of a non-idempotent route together, reads bodies for paths without a route, or
// takes a node without a configuration for one that has no routes.
func TestLookUpFindsRoute(t *testing.T) {
	routes := newRouteTable()
	g := &Gateway{routes: routes}
	if got := g.LookUp("h", "/a"); got != (routed.Target{}) || g.ClientLimits() != (route.Limits{}) {
		t.Errorf("without a configuration: %+v", got)
	}
	limits := route.Limits{MaxBodyBytes: 100, IdleTimeout: 15 * time.Second}
	service := []route.WeightedService{{Service: "s", Weight: 1}}
	table, err := route.Build(1, []route.Route{{Name: "r", Host: "h", Prefix: "/read/", Idempotent: true, Services: service},
		{Name: "w", Host: "h", Prefix: "/", Services: service}}, []route.Service{{Name: "s"}}, limits)
	if err != nil {
		t.Fatal(err)
	}
	routes.put(table)
	for target, want := range map[[2]string]routed.Target{
		{"H:80", "/read/1?x=/"}: {Known: true, Found: true, Idempotent: true, MaxBodyBytes: 100},
		{"h", "/write"}:         {Known: true, Found: true, MaxBodyBytes: 100},
		{"other", "/read/1"}:    {Known: true, MaxBodyBytes: 100},
	} {
		if got := g.LookUp(target[0], target[1]); got != want {
			t.Errorf("%v: %+v, want %+v", target, got, want)
		}
	}
	if g.ClientLimits() != limits {
		t.Errorf("limits %+v", g.ClientLimits())
	}
}
