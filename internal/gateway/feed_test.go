package gateway

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/eventlog"
	"heatherreel/internal/feed"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
)

// regionLinkRate is the rate of the link between two regions, 60 Mbit/s, in bytes per second.
const regionLinkRate = 60_000_000 / 8

// startRegion starts two near instances and a region r2 of n far instances, whose answers of the store share a link.
// Every third far instance is of the keyed service. It returns the names of the far ones.
func startRegion(sim *simulation, n int) []string {
	sim.publish(1, true)
	sim.addInstance("near-0", "free", "r1")
	sim.addInstance("near-1", "keyed", "r1")
	var far []string
	for i := range n {
		far = append(far, fmt.Sprintf("far-%d", i))
	}
	sim.store.SetLink(regionLinkRate, 64<<10, far...)
	for i, name := range far {
		service := "free"
		if i%3 == 0 {
			service = "keyed"
		}
		sim.addInstance(name, service, "r2")
	}
	time.Sleep(fleetSettleTime)
	return far
}

// feeds returns those of the instances through which others read the topic of the operators, in the order of their names.
func (sim *simulation) feeds(instances []string) []string {
	var found []string
	for _, name := range instances {
		if g := sim.instances[name].gateway; g != nil {
			if f, ok := g.members.feed(time.Now()); ok && !slices.Contains(found, f.Instance) {
				found = append(found, f.Instance)
			}
		}
	}
	slices.Sort(found)
	return found
}

// outdated returns those of the instances on which another revision than the given one is in force.
func (sim *simulation) outdated(revision uint64, instances []string) []string {
	var found []string
	for _, name := range instances {
		if g := sim.instances[name].gateway; g != nil && g.routes.revision() != revision {
			found = append(found, name)
		}
	}
	return found
}

// Guards against a configuration that crosses the link to a region once for each of its nodes: the link would be full
// for a second, and calls between the regions would fail.
func TestConfigurationCrossesLinkForFewNodes(t *testing.T) {
	const inForce = 2 * time.Second
	for _, n := range []int{30, 90}[:withoutRaceDetector(2)] {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(t)
				defer sim.close()
				far := startRegion(sim, n)
				before := sim.store.CarriedBytes("far-0")
				sim.configurationBytes = largeConfigurationBytes
				sim.publish(2, true)
				sim.reportRevision(2, inForce, far...)
				if outdated := sim.outdated(2, far); len(outdated) > 0 {
					t.Errorf("%d nodes have the previous configuration in force after %v", len(outdated), inForce)
				}
				readers := int(math.Ceil(math.Sqrt(float64(n))))
				carried, want := sim.store.CarriedBytes("far-0")-before, readers*largeConfigurationBytes
				t.Logf("the link carried %d bytes to %d nodes", carried, n)
				if carried > want+want/20 {
					t.Errorf("the link carried %d bytes, want about %d for %d of %d nodes", carried, want, readers, n)
				}
			})
		})
	}
}

// Guards against calls of the store that grow with the number of nodes although nothing changes.
func TestCalmRegionMakesFewStoreCalls(t *testing.T) {
	const span = 30 * time.Second
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		defer sim.close()
		startRegion(sim, 30)
		before := sim.store.CallCount()
		time.Sleep(span)
		perSecond := float64(sim.store.CallCount()-before) / span.Seconds()
		t.Logf("%.1f calls per second", perSecond)
		// Six nodes read three topics each 0.8, 1.5 and 10 s; so do the two near ones, at longer intervals.
		if maxCalls := (6 + 2) * (1/0.8 + 1/1.5 + 1.0/10) * 1.1; perSecond > maxCalls {
			t.Errorf("%.1f calls per second, want at most %.1f", perSecond, maxCalls)
		}
		for name, inst := range sim.instances {
			if hold := inst.gateway.ranges.holdTime(inst.gateway.deps.Now()); inst.self.Service == "keyed" && hold < keyrange.MaxHold {
				t.Errorf("grants of %s last %v", name, hold)
			}
		}
	})
}

// feedFaults are the faults of a node through which others read.
var feedFaults = map[string]func(sim *simulation, name string){
	"killed": func(sim *simulation, name string) { sim.killGateway(name) },
	"silent": func(sim *simulation, name string) {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		sim.silentFeeds[name] = true
	},
	"disconnected": func(sim *simulation, name string) {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		sim.disconnected[name] = true
	},
	"cut from the store":    func(sim *simulation, name string) { sim.store.SetUnreachable(name, true) },
	"store does not answer": func(sim *simulation, name string) { sim.store.SetSilent(name, true) },
	"stopping": func(sim *simulation, name string) {
		g := sim.instances[name].gateway
		sim.group.Go(func() { g.PrepareStop(context.Background()) })
	},
}

// Guards against a configuration, a member record or a lease that is out of date because the node through which it is
// read has failed, also if the next ones fail too.
func TestFailedFeedDelaysNothing(t *testing.T) {
	const inForce = 2 * time.Second
	for fault, inject := range feedFaults {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(t)
				defer sim.close()
				far := startRegion(sim, 12)
				sim.configurationBytes = largeConfigurationBytes
				failed := map[string]bool{}
				for revision := uint64(2); revision < 6; revision++ {
					// The fault begins at different moments of a poll.
					time.Sleep(time.Duration(revision) * 370 * time.Millisecond)
					if feeds := sim.feeds(far); len(feeds) > 0 {
						inject(sim, feeds[0])
						failed[feeds[0]] = true
					}
					healthy := slices.DeleteFunc(slices.Clone(far), func(name string) bool { return failed[name] })
					sim.publish(revision, true)
					sim.stopServer(healthy[0])
					time.Sleep(inForce)
					if outdated := sim.outdated(revision, healthy); len(outdated) > 0 {
						t.Errorf("%s after %d faults have another revision than %d in force", outdated, len(failed), revision)
					}
					sim.startServer(healthy[0])
					time.Sleep(inForce)
					server := sim.instances[healthy[0]].server.id
					for _, name := range healthy {
						g := sim.instances[name].gateway
						if m, _ := g.members.get(healthy[0]); m.Server.ID != server {
							t.Errorf("%s has the record of backend server %q, not of %s", name, m.Server.ID, server)
						}
						if hold := g.ranges.holdTime(g.deps.Now()); g.serviceKeyed() && hold < keyrange.MaxHold {
							t.Errorf("grants of %s last %v", name, hold)
						}
					}
				}
				if len(failed) < 3 {
					t.Errorf("only %d feeds failed", len(failed))
				}
			})
		})
	}
}

// Guards against a lease that outlasts the last read of the store by more than its duration, so that another node
// claims the keys meanwhile: the answer of a feed may be late, the request too, and clocks differ.
func TestLeaseThroughFeedCountsFromReadOfStore(t *testing.T) {
	for seed := range uint64(withoutRaceDetector(20)) {
		synctest.Test(t, func(t *testing.T) {
			random, delays := rand.New(rand.NewPCG(seed, 3)), rand.New(rand.NewPCG(seed, 4))
			sim := newSimulation(t)
			defer sim.close()
			for i := range 12 {
				sim.clockOffsets[fmt.Sprintf("far-%d", i)] = time.Duration(random.IntN(100)) * time.Hour
			}
			far := startRegion(sim, 12)
			var mu sync.Mutex
			sim.mu.Lock()
			sim.topicDelay = func() time.Duration {
				mu.Lock()
				defer mu.Unlock()
				return time.Duration(delays.IntN(3000)) * time.Millisecond
			}
			sim.mu.Unlock()
			// Feeds always have newer records than their followers; from a moment on, no read of the store is answered.
			for range 20 + random.IntN(10) {
				time.Sleep(300 * time.Millisecond)
				if _, err := sim.store.ClientFor("operator").Append(t.Context(), registry.RangesTopic, registry.AnyOffset, registry.Record{Key: "other", Value: []byte("{}")}); err != nil {
					t.Fatal(err)
				}
			}
			for _, name := range append(far, "near-0", "near-1") {
				sim.store.SetSilent(name, true)
			}
			down := time.Now()
			for time.Since(down) < keyrange.LeaseDuration {
				for _, name := range far {
					g := sim.instances[name].gateway
					if remaining := g.ranges.leaseRemaining(g.deps.Now()); time.Since(down)+remaining > keyrange.LeaseDuration {
						t.Fatalf("seed %d: the lease of %s lasts until %v after the last read", seed, name, time.Since(down)+remaining)
					}
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
}

// Guards against a node that serves records although it reads them through another one, so that records pass through
// chains of nodes, or circles.
func TestFollowerServesNoRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		defer sim.close()
		far := startRegion(sim, 12)
		feeds := sim.feeds(far)
		for _, name := range far {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			_, err := sim.instances[name].gateway.ReadTopic(ctx, feed.Request{Topic: "operators", From: -1, Wait: time.Second})
			cancel()
			if isFeed := slices.Contains(feeds, name); isFeed != (err == nil) || err != nil && problem.KindOf(err) != problem.Overloaded {
				t.Errorf("%s, feed %v: %v", name, isFeed, err)
			}
		}
	})
}

// Guards against reads of other nodes that are served without bound.
func TestServedReadsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		defer sim.close()
		far := startRegion(sim, 12)
		g := sim.instances[sim.feeds(far)[0]].gateway
		_, end := g.ranges.get("keyed")
		var reads sync.WaitGroup
		var refused atomic.Int64
		for range 2 * maxServedReads {
			reads.Go(func() {
				if _, err := g.ReadTopic(t.Context(), feed.Request{Topic: registry.RangesTopic, From: end, Wait: 5 * time.Second}); problem.KindOf(err) == problem.Overloaded {
					refused.Add(1)
				}
			})
		}
		reads.Wait()
		if refused.Load() < maxServedReads {
			t.Errorf("%d of %d reads were refused", refused.Load(), 2*maxServedReads)
		}
	})
}

// Guards against a configuration that crosses the link to a region once for each process that is started there.
func TestNewProcessesReadConfigurationThroughFeeds(t *testing.T) {
	const started, inForce = 20, 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		defer sim.close()
		sim.configurationBytes = largeConfigurationBytes
		far := startRegion(sim, 30)
		before := sim.store.CarriedBytes("far-0")
		followers := slices.DeleteFunc(slices.Clone(far), func(name string) bool { return slices.Contains(sim.feeds(far), name) })
		for _, name := range followers[:started] {
			sim.killGateway(name)
			sim.startGateway(name)
		}
		time.Sleep(inForce)
		if outdated := sim.outdated(1, far); len(outdated) > 0 {
			t.Errorf("%s have no configuration after %v", outdated, inForce)
		}
		carried := sim.store.CarriedBytes("far-0") - before
		t.Logf("the link carried %d bytes", carried)
		if carried > 2*largeConfigurationBytes {
			t.Errorf("the link carried %d bytes for a configuration of %d and %d new processes", carried, largeConfigurationBytes, started)
		}
	})
}

// Guards against a node that is asked for records before it has started, as it accepts calls a little earlier.
func TestNodeThatHasNotStartedServesNoRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		defer sim.close()
		g := New(Options{}, Dependencies{Store: sim.store.ClientFor("new"), OperatorTopic: "operators", Events: eventlog.Discard(),
			Now: func() keyrange.Instant { return 0 }})
		var reads sync.WaitGroup
		reads.Go(func() {
			if _, err := g.ReadTopic(t.Context(), feed.Request{Topic: "operators", From: -1, Wait: time.Second}); problem.KindOf(err) != problem.Overloaded {
				t.Errorf("got %v", err)
			}
		})
		g.topicReaders = nil
		reads.Wait()
	})
}

// Guards against followers that get a large configuration only when their feed has decoded it, on machines that need
// most of a second for that.
func TestFeedServesRecordsBeforeItAppliesThem(t *testing.T) {
	const decodeTime, inForce = 800 * time.Millisecond, 1200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		defer sim.close()
		far := startRegion(sim, 12)
		sim.mu.Lock()
		sim.decodeTime = decodeTime
		sim.mu.Unlock()
		sim.configurationBytes = largeConfigurationBytes
		sim.publish(2, true)
		time.Sleep(inForce)
		if outdated := sim.outdated(2, far); len(outdated) > 0 {
			t.Errorf("%s have the previous configuration in force after %v", outdated, inForce)
		}
	})
}

// Guards against ownership records that cross the link to a region once for each node, because requests wait for keys that
// move: the link would be full, and a configuration would come late.
func TestOwnershipRecordsCrossLinkForFewNodes(t *testing.T) {
	const span, interval = 10 * time.Second, 125 * time.Millisecond
	for _, n := range []int{30, 90}[:withoutRaceDetector(2)] {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(t)
				defer sim.close()
				far := startRegion(sim, n)
				table, _ := sim.instances["far-0"].gateway.ranges.get("keyed")
				record, err := registry.EncodeRanges(table)
				if err != nil {
					t.Fatal(err)
				}
				for _, name := range far {
					defer sim.instances[name].gateway.skipBatchDelay(registry.RangesTopic)()
				}
				before := sim.store.CarriedBytes("far-0")
				for range span / interval {
					if _, err := sim.store.ClientFor("other").Append(t.Context(), registry.RangesTopic, registry.AnyOffset, record); err != nil {
						t.Fatal(err)
					}
					time.Sleep(interval)
				}
				readers := int(math.Ceil(math.Sqrt(float64(n))))
				carried, want := sim.store.CarriedBytes("far-0")-before, readers*int(span/interval)*(len(record.Key)+len(record.Value))
				t.Logf("the link carried %d bytes to %d nodes", carried, n)
				if carried > want+want/5 {
					t.Errorf("the link carried %d bytes, want about %d for %d of %d nodes", carried, want, readers, n)
				}
			})
		})
	}
}
