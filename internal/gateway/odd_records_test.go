package gateway

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/registry"
)

// oddMembers are member records of another writer.
func oddMembers() map[string]string {
	member := func(address, server string) string {
		return `{"Instance":"NAME","Incarnation":9,"Address":"` + address + `","DataCentre":"dc-k0","Region":"r1","Service":"keyed","Server":` + server + `}`
	}
	const server = `{"ID":"s-odd","Born":946684800000,"Ready":true,"Slots":8}`
	return map[string]string{
		"nested":            strings.Repeat("[", 100_000),
		"nested field":      `{"Instance":"NAME","Address":"10.0.0.1:7620","Server":` + strings.Repeat(`{"a":`, 20_000) + "1" + strings.Repeat("}", 20_001),
		"no text":           "\xff\xfe\x00",
		"text for number":   strings.Replace(member("10.0.0.1:7620", server), "946684800000", `"soon"`, 1),
		"beyond 64 bits":    strings.Replace(member("10.0.0.1:7620", server), "946684800000", "99999999999999999999999", 1),
		"beyond all":        strings.Replace(member("10.0.0.1:7620", server), `"Slots":8`, `"Slots":1e400`, 1),
		"many slots":        strings.Replace(member("10.0.0.1:7620", server), `"Slots":8`, `"Slots":9223372036854775807`, 1),
		"negative slots":    strings.Replace(member("10.0.0.1:7620", server), `"Slots":8`, `"Slots":-9223372036854775808`, 1),
		"weight of zero":    strings.Replace(member("10.0.0.1:7620", server), `"Slots":8`, `"Slots":8,"WorkPercent":4294967296`, 1),
		"weight wraps":      strings.Replace(member("10.0.0.1:7620", server), `"Slots":8`, `"Slots":1844674407370955,"WorkPercent":1`, 1),
		"far future":        strings.Replace(member("10.0.0.1:7620", server), "946684800000", "9223372036854775807", 1),
		"port out of range": member("10.0.0.1:70000", server),
		"port zero":         member("10.0.0.1:0", server),
		"no port":           member("10.0.0.1", server),
		"name for address":  member("localhost:7620", server),
		"last incarnation":  strings.Replace(member("10.0.0.1:7620", server), `"Incarnation":9`, `"Incarnation":9223372036854775807`, 1),
	}
}

// Guards against a record of another writer among the members, or in place of the ownership of a service, that ends the
// processes that read it, stops them from reading on, or takes keys.
func TestOddRecordsChangeNothing(t *testing.T) {
	odd := oddMembers()
	for _, name := range slices.Sorted(maps.Keys(odd)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := startFleet(t)
				defer sim.close()
				sim.writeRecord(registry.MembersTopic, "aa-odd", strings.ReplaceAll(odd[name], "NAME", "aa-odd"))
				sim.writeRecord(registry.MembersTopic, "\xff\xff", strings.ReplaceAll(odd[name], "NAME", "\xff\xff"))
				sim.checkReadsOn(t)
			})
		})
	}
}

// Guards against the same for records of the ownership of keys: fences beyond those that can grow, and tables that do not
// hold together.
func TestOddOwnershipRecordsChangeNothing(t *testing.T) {
	owner := `"owners":[{"Instance":"k0","Server":"s","Born":1}]`
	for name, value := range map[string]string{
		"nested":           strings.Repeat(`{"service":`, 100_000),
		"fence at its end": `{"service":"keyed","last_fence":18446744073709551615,` + owner + `,"ranges":"65535,18446744073709551615,0"}`,
		"fence above last": `{"service":"keyed","last_fence":3,` + owner + `,"ranges":"65535,9,0"}`,
		"fence too large":  `{"service":"keyed","last_fence":1e400,` + owner + `,"ranges":"65535,9,0"}`,
		"suspicion at end": `{"service":"keyed","last_fence":30,` + owner + `,"ranges":"65535,9,0","last_suspicion":18446744073709551615}`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := startFleet(t)
				defer sim.close()
				sim.writeRecord(registry.RangesTopic, "keyed", value)
				sim.checkReadsOn(t)
			})
		})
	}
}

// writeRecord writes a record as another writer of the store.
func (sim *simulation) writeRecord(topic, key, value string) {
	if _, err := sim.store.ClientFor("other").Append(context.Background(), topic, registry.AnyOffset, registry.Record{Key: key, Value: []byte(value)}); err != nil {
		sim.t.Error(err)
	}
}

// checkReadsOn fails the test unless all nodes go on: they serve all keys, apply a new configuration and move keys.
func (sim *simulation) checkReadsOn(t *testing.T) {
	t.Helper()
	time.Sleep(3 * time.Second)
	if got := sim.servedShare("f0"); got != 1 {
		t.Errorf("%.2f of the keys are served", got)
	}
	sim.publish(2, true)
	sim.stopServer("k2")
	time.Sleep(6 * time.Second)
	if got := sim.servedShare("f1"); got != 1 {
		t.Errorf("%.2f of the keys are served after a backend server has ended", got)
	}
	for name, inst := range sim.instances {
		if got := inst.gateway.routes.revision(); got != 2 {
			t.Errorf("revision %d is in force on %s", got, name)
		}
		table, _ := inst.gateway.ranges.get("keyed")
		if table.Owns("aa-odd") || table.Owns("\xff\xff") || table.Owns("k2") {
			t.Errorf("%s: %s", name, fmt.Sprint(table.Owners()))
		}
	}
}
