package gateway

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/keyrange"
	"heatherreel/internal/registry"
)

// largeConfigurationBytes is the size of the record of a large configuration.
const largeConfigurationBytes = 256 << 10

// reportRevision tells instances until the duration is over that another node has the revision in force, as each
// request of that node does.
func (sim *simulation) reportRevision(revision uint64, d time.Duration, instances ...string) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, name := range instances {
			sim.instances[name].gateway.noteRevision(revision)
		}
	}
}

// Guards against a read that is given up while its answer arrives and begun again, because other nodes already have the
// newer revision in force.
func TestArrivingAnswerIsNotInterrupted(t *testing.T) {
	// The answer takes 2 s; its first data arrives after 110 ms.
	const bytesPerSecond, transferTime = largeConfigurationBytes / 2, 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		sim.store.SetLink(bytesPerSecond, 14<<10, "f1")
		sim.configurationBytes = largeConfigurationBytes
		sim.publish(2, true)
		sim.reportRevision(2, transferTime+200*time.Millisecond, "f1")
		if got := sim.instances["f1"].gateway.routes.revision(); got != 2 {
			t.Errorf("revision %d is in force", got)
		}
		// Beside the configuration, the link carries records of members and ranges.
		if got := sim.store.CarriedBytes("f1"); got > largeConfigurationBytes+largeConfigurationBytes/20 {
			t.Errorf("the link carried %d bytes for a record of %d", got, largeConfigurationBytes)
		}
	})
}

// Guards against a region that never gets a large configuration: its nodes share one link for the record, and read it
// again and again because the other region already has it in force.
func TestLargeConfigurationReachesRegionInTime(t *testing.T) {
	const (
		// linkRate is 60 Mbit/s. The record takes 1.05 s to 30 nodes and 1.57 s to 45.
		linkRate = 60_000_000 / 8
		inForce  = 3 * time.Second
	)
	for _, c := range []struct{ nodes, segmentBytes int }{{30, 14 << 10}, {30, 64 << 10}, {45, 64 << 10}} {
		synctest.Test(t, func(t *testing.T) {
			sim := newSimulation(t)
			defer sim.close()
			sim.publish(1, true)
			sim.addInstance("near", "free", "r1")
			var far []string
			for i := range c.nodes {
				far = append(far, fmt.Sprintf("far-%d", i))
			}
			sim.store.SetLink(linkRate, c.segmentBytes, far...)
			for _, name := range far {
				sim.addInstance(name, "free", "r2")
			}
			time.Sleep(fleetSettleTime)
			before := sim.store.CarriedBytes("far-0")
			sim.configurationBytes = largeConfigurationBytes
			sim.publish(2, true)
			sim.reportRevision(2, inForce, far...)
			outdated := slices.DeleteFunc(far, func(name string) bool { return sim.instances[name].gateway.routes.revision() == 2 })
			if len(outdated) > 0 {
				t.Errorf("%+v: %d nodes have the previous configuration in force after %v", c, len(outdated), inForce)
			}
			if got, want := sim.store.CarriedBytes("far-0")-before, c.nodes*largeConfigurationBytes; got > want+want/20 {
				t.Errorf("%+v: the link carried %d bytes, want about %d", c, got, want)
			}
		})
	}
}

// Guards against a node that leaves a newer revision unread until its poll times out, although the poll missed the
// record and other nodes report the revision.
func TestReportedRevisionEndsPollWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		sim.store.SetMissWakeups(true)
		for revision := uint64(2); revision < 10; revision++ {
			// The record arrives at different moments of a poll.
			time.Sleep(time.Duration(revision) * 170 * time.Millisecond)
			sim.publish(revision, true)
			sim.reportRevision(revision, operatorPollTimeout/2, "f1")
			if got := sim.instances["f1"].gateway.routes.revision(); got != revision {
				t.Errorf("revision %d is in force, not %d", got, revision)
			}
		}
	})
}

// Guards against a lease that is extended by a read that did not return all records: the next ones may show that the
// keys of the instance have been claimed.
func TestPartialReadDoesNotExtendLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		setUnreachable := func(unreachable bool) {
			for name := range sim.instances {
				sim.store.SetUnreachable(name, unreachable)
			}
		}
		// All nodes miss many records, and then read them one by one.
		const records, latency = 200, 4 * time.Millisecond
		setUnreachable(true)
		time.Sleep(keyrange.LeaseDuration)
		var end int64
		for range records {
			var err error
			end, err = sim.store.ClientFor("operator").Append(t.Context(), registry.RangesTopic, registry.AnyOffset, registry.Record{Key: "other", Value: []byte("{}")})
			if err != nil {
				t.Fatal(err)
			}
		}
		sim.store.SetMaxPageRecords(1)
		setUnreachable(false)
		g := sim.instances["k0"].gateway
		for g.ranges.currentEnd() < end {
			if hold := g.ranges.holdTime(g.deps.Now()); hold > 0 {
				t.Fatalf("grants last %v although records are missing", hold)
			}
			time.Sleep(latency)
		}
		time.Sleep(time.Second)
		if hold := g.ranges.holdTime(g.deps.Now()); hold < keyrange.MaxHold {
			t.Errorf("grants last %v after all records were read", hold)
		}
	})
}
