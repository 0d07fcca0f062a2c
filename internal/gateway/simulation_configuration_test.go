package gateway

import (
	"context"
	"fmt"
	"strings"
	"time"

	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
	"heatherreel/internal/route"
)

// publishCold publishes a configuration in which backend servers are cold for 5 s and limited to 5 requests per second
// during that time.
func (sim *simulation) publishCold(revision uint64) {
	sim.publishWith(revision, true, route.Service{Name: "free", ColdFor: 5 * time.Second, ColdRate: 5})
}

// publish publishes a configuration; see publishWith.
func (sim *simulation) publish(revision uint64, idempotent bool) {
	sim.publishWith(revision, idempotent, route.Service{Name: "free"})
}

// publishWith publishes a configuration with the routes /keyed/ and /free/, and /home/, which is confined to region r1.
func (sim *simulation) publishWith(revision uint64, idempotent bool, free route.Service) {
	sim.t.Helper()
	table, err := route.Build(revision, []route.Route{
		{Name: "keyed", Host: "h", Prefix: "/keyed/", Services: []route.WeightedService{{Service: "keyed", Weight: 1}}, Idempotent: idempotent, MaxAttempts: 2},
		{Name: "free", Host: "h", Prefix: "/free/", Services: []route.WeightedService{{Service: "free", Weight: 1}}, Idempotent: idempotent, MaxAttempts: 2},
		{Name: "home", Host: "h", Prefix: "/home/", Services: []route.WeightedService{{Service: "free", Weight: 1}}, HomeRegions: []string{"r1"}, MaxAttempts: 2},
	}, []route.Service{{Name: "keyed", Keyed: true}, free}, route.Limits{})
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.mu.Lock()
	sim.tables = append(sim.tables, table)
	content := fmt.Sprint(len(sim.tables) - 1)
	content += strings.Repeat(" ", max(0, sim.configurationBytes-len(content)))
	sim.mu.Unlock()
	sim.writeOperatorRecord("config", content)
}

// writeOperatorRecord writes a record of the operators.
func (sim *simulation) writeOperatorRecord(key, value string) {
	if _, err := sim.store.ClientFor("operator").Append(context.Background(), "operators", registry.AnyOffset, registry.Record{Key: key, Value: []byte(value)}); err != nil {
		sim.t.Error(err)
	}
}

// decode decodes a record that writeOperatorRecord wrote: an evacuation, or the number of a published configuration.
func (sim *simulation) decode(r registry.Record) (registry.OperatorRecord, bool, error) {
	if dataCentre, found := strings.CutPrefix(r.Key, "evacuate/"); found {
		return registry.OperatorRecord{DataCentre: dataCentre, Ended: len(r.Value) == 0}, true, nil
	}
	var n int
	if _, err := fmt.Sscan(string(r.Value), &n); err != nil {
		return registry.OperatorRecord{}, false, problem.New(problem.Malformed, "publish again", "the record holds no configuration number: %w", err)
	}
	sim.mu.Lock()
	table, decodeTime := sim.tables[n], sim.decodeTime
	sim.mu.Unlock()
	sleep(context.Background(), decodeTime)
	return registry.OperatorRecord{Table: table}, true, nil
}
