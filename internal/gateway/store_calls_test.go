package gateway

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/fake"
	"heatherreel/internal/feed"
	"heatherreel/internal/keyload"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/registry"
	"heatherreel/internal/request"
)

// storeCalls are numbers of calls of the store by kind.
type storeCalls map[fake.CallKind]int

// since returns the calls after an earlier count.
func (c storeCalls) since(before storeCalls) storeCalls {
	made := storeCalls{}
	for kind, n := range c {
		if n > before[kind] {
			made[kind] = n - before[kind]
		}
	}
	return made
}

// of returns the number of calls of an operation on a topic.
func (c storeCalls) of(operation registry.Operation, topic string) int {
	return c[fake.CallKind{Operation: operation, Topic: topic}] + c[fake.CallKind{Operation: operation, Topic: topic, Polling: true}]
}

// String lists the kinds in the order of their numbers.
func (c storeCalls) String() string {
	var lines []string
	total := 0
	for _, kind := range slices.SortedFunc(maps.Keys(c), func(a, b fake.CallKind) int { return cmp.Compare(c[b], c[a]) }) {
		name := kind.Operation.String()
		if kind.Polling {
			name = "poll"
		}
		lines = append(lines, fmt.Sprintf("%s %s %d", name, kind.Topic, c[kind]))
		total += c[kind]
	}
	return fmt.Sprintf("%d calls: %s", total, strings.Join(lines, ", "))
}

// planMove makes an instance move up to 256 keys to another instance, from the start of one of its ranges on.
func (sim *simulation) planMove(random *rand.Rand, from, to string) {
	g := sim.instances[from].gateway
	table, _ := g.ranges.get("keyed")
	owned := slices.DeleteFunc(slices.Clone(table.Ranges), func(r keyrange.Range) bool { return r.Owner.Instance != from || r.Next != "" })
	if len(owned) == 0 {
		return
	}
	r := owned[random.IntN(len(owned))]
	g.plannedMoves.Store(&[]keyMove{{span: keyload.Span{From: r.From, To: min(r.To, r.From+255)}, to: to}})
	g.reconcileTrigger.Fire()
}

// Guards against reads of the store that grow with the number of nodes that meet a moved key, rather than with the number
// of changes and of the nodes that read from the store.
func TestMovingKeysCauseFewStoreReads(t *testing.T) {
	const span = 45 * time.Second
	for _, c := range []struct{ keyed, free int }{{14, 2}, {26, 52}}[:withoutRaceDetector(2)] {
		t.Run(fmt.Sprintf("keyed=%d", c.keyed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(t)
				defer sim.close()
				sim.publish(1, true)
				var names, keyed []string
				for i := range c.keyed + c.free {
					name, service := fmt.Sprintf("k%d", i), "keyed"
					if i >= c.keyed {
						name, service = fmt.Sprintf("f%d", i-c.keyed), "free"
					} else {
						keyed = append(keyed, name)
					}
					names = append(names, name)
					sim.addInstance(name, service, fmt.Sprintf("r%d", i%2+1))
				}
				time.Sleep(fleetSettleTime)
				t.Logf("start: %v", storeCalls(sim.store.Calls()))
				before := storeCalls(sim.store.Calls())
				end := make(chan struct{})
				var callers sync.WaitGroup
				var mu sync.Mutex
				served, sent := 0, 0
				var slowest, total time.Duration
				for caller := range 2 * len(names) {
					random := rand.New(rand.NewPCG(uint64(caller), 5))
					callers.Go(func() {
						for n := 0; ; n++ {
							select {
							case <-end:
								return
							case <-time.After(time.Duration(100+random.IntN(400)) * time.Millisecond):
							}
							began := time.Now()
							a := sim.sendRequest(names[caller%len(names)], fmt.Sprintf("c-%d-%d", caller, n), "/keyed/", random.IntN(keyrange.KeyCount), 3*time.Second)
							mu.Lock()
							sent++
							if a.Outcome == request.Done {
								served++
							}
							total += time.Since(began)
							slowest = max(slowest, time.Since(began))
							mu.Unlock()
						}
					})
				}
				random := rand.New(rand.NewPCG(1, 6))
				for began := time.Now(); time.Since(began) < span; time.Sleep(time.Duration(200+random.IntN(600)) * time.Millisecond) {
					from, to := random.IntN(len(keyed)), random.IntN(len(keyed)-1)
					sim.planMove(random, keyed[from], keyed[(from+1+to)%len(keyed)])
				}
				close(end)
				callers.Wait()
				made := storeCalls(sim.store.Calls()).since(before)
				feeds := 0
				for _, name := range names {
					if _, follows := sim.instances[name].gateway.members.feed(time.Now()); !follows {
						feeds++
					}
				}
				reads, appends := made.of(registry.OperationRead, registry.RangesTopic), made.of(registry.OperationAppend, registry.RangesTopic)
				t.Logf("%v", made)
				t.Logf("%d reads at %d appends by %d feeds; %d of %d requests served, %v each, %v at most", reads, appends, feeds, served, sent,
					(total / time.Duration(sent)).Round(time.Microsecond), slowest)
				if reads > (feeds+2)*appends {
					t.Errorf("%d reads at %d appends, want at most %d", reads, appends, (feeds+2)*appends)
				}
				// A feed reads once in each batch delay, and at once what the writer and the owners that a change concerns need.
				if limit := feeds*int(span/feedRangesBatchDelay) + 3*appends; reads > limit {
					t.Errorf("%d reads at %d appends by %d feeds, want at most %d", reads, appends, feeds, limit)
				}
				// Without faults, the polls in progress and the feeds return each record.
				if direct := made[fake.CallKind{Operation: registry.OperationRead, Topic: registry.RangesTopic}]; direct > appends/10 {
					t.Errorf("%d reads that do not wait at %d appends", direct, appends)
				}
			})
		})
	}
}

// Guards against leases whose proof is older because feeds collect changes for longer: the next poll is shorter by as much.
func TestBatchDelayMakesProofsNoOlder(t *testing.T) {
	g := &Gateway{}
	times := g.feedTimes(registry.RangesTopic)
	if limit := leasePollTimeout + ownerBatchDelay; times.wait() > limit+feedGrace {
		t.Errorf("a follower waits for %v, want at most %v", times.wait(), limit+feedGrace)
	}
	for delay := time.Duration(0); delay <= times.batchDelay; delay += 50 * time.Millisecond {
		if poll := times.pollAfter(delay); poll <= 0 || poll > leasePollTimeout || delay+poll > leasePollTimeout+ownerBatchDelay {
			t.Errorf("a poll of %v follows a delay of %v", poll, delay)
		}
	}
}

// Guards against a write of the ownership for each key that starts to move, which all feeds read.
func TestMovesStartTogether(t *testing.T) {
	const span, interval = 5 * time.Second, 20 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		sim := startFleet(t)
		defer sim.close()
		random := rand.New(rand.NewPCG(1, 9))
		// Without heartbeats, keys that move are neither released nor taken, so that all writes are of moves that start.
		sim.mu.Lock()
		sim.heldHeartbeats["k0"] = true
		sim.mu.Unlock()
		started := func() int {
			table, _ := sim.instances["k0"].gateway.ranges.get("keyed")
			return len(table.Outgoing("k0"))
		}
		movingBefore, before := started(), storeCalls(sim.store.Calls())
		for range 4 {
			sim.planMove(random, "k0", "k1")
			time.Sleep(interval)
		}
		time.Sleep(2 * minMoveInterval)
		if started() == movingBefore {
			t.Error("no move has started")
		}
		for range span / interval {
			sim.planMove(random, "k0", "k1")
			time.Sleep(interval)
		}
		appends := storeCalls(sim.store.Calls()).since(before).of(registry.OperationAppend, registry.RangesTopic)
		t.Logf("%d appends", appends)
		if limit := int((span+2*minMoveInterval)/minMoveInterval) + 3; appends > limit {
			t.Errorf("%d appends, want at most %d", appends, limit)
		}
	})
}

// awaitEnd returns how long an instance takes to read the range tables up to an end.
func (sim *simulation) awaitEnd(name string, end int64) time.Duration {
	began := time.Now()
	for sim.instances[name].gateway.ranges.currentEnd() < end && time.Since(began) < 10*time.Second {
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

// followerOf returns the first of the instances that read through another one, and that one.
func (sim *simulation) followerOf(t *testing.T, instances []string) (follower, through string) {
	t.Helper()
	for _, name := range instances {
		if f, follows := sim.instances[name].gateway.members.feed(time.Now()); follows {
			return name, f.Instance
		}
	}
	t.Fatal("no instance follows another one")
	return "", ""
}

// Guards against a change of the ownership that a node learns of late because its feed collects records, is silent or has
// missed it, and against reads of the store by each node that needs it.
func TestNeededRecordsArriveThroughFeed(t *testing.T) {
	// The store answers within 4 ms; the feed may have to read twice.
	const prompt = 20 * time.Millisecond
	for _, c := range []struct {
		name   string
		within time.Duration
		// direct is the number of reads of the store that do not wait.
		direct int
		fault  func(sim *simulation, through string)
	}{
		{"feed in a batch delay", prompt, 0, func(sim *simulation, _ string) {
			sim.appendOther()
			time.Sleep(prompt)
		}},
		{"missed by the feed", feed.PollAnswerTime + prompt, 1, func(sim *simulation, _ string) { sim.store.SetMissWakeups(true) }},
		{"silent feed", feedGrace + prompt, 1, func(sim *simulation, through string) { feedFaults["silent"](sim, through) }},
		// The feed reads as well.
		{"store does not answer the feed", feedGrace + prompt, 2, func(sim *simulation, through string) { feedFaults["store does not answer"](sim, through) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(t)
				defer sim.close()
				far := startRegion(sim, 12)
				follower, through := sim.followerOf(t, far)
				c.fault(sim, through)
				// The polls in progress begin after the fault.
				time.Sleep(prompt)
				before := storeCalls(sim.store.Calls())
				end := sim.appendOther()
				sim.instances[follower].gateway.needRecords(registry.RangesTopic, end)
				if took := sim.awaitEnd(follower, end); took > c.within {
					t.Errorf("the record took %v, want at most %v", took, c.within)
				}
				if f, _ := sim.instances[follower].gateway.members.feed(time.Now()); c.within > feedGrace && f.Instance == through {
					t.Error("the feed is used although it has failed")
				}
				made := storeCalls(sim.store.Calls()).since(before)
				if direct := made[fake.CallKind{Operation: registry.OperationRead, Topic: registry.RangesTopic}]; direct > c.direct {
					t.Errorf("%d reads that do not wait, want at most %d: %v", direct, c.direct, made)
				}
			})
		})
	}
}

// appendOther appends a record of another service to the range tables and returns the end of the topic.
func (sim *simulation) appendOther() int64 {
	end, err := sim.store.ClientFor("other").Append(sim.t.Context(), registry.RangesTopic, registry.AnyOffset, registry.Record{Key: "other", Value: []byte("{}")})
	if err != nil {
		sim.t.Fatal(err)
	}
	return end
}

// Guards against a node that reads without end because another one names an offset of an earlier era of the store, which is
// above all of the present one.
func TestOffsetThatDoesNotExistIsNotAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t)
		defer sim.close()
		far := startRegion(sim, 12)
		follower, through := sim.followerOf(t, far)
		for _, name := range []string{follower, through} {
			before := storeCalls(sim.store.Calls())
			g := sim.instances[name].gateway
			g.needRecords(registry.RangesTopic, g.ranges.currentEnd()+1000)
			time.Sleep(time.Second)
			made := storeCalls(sim.store.Calls()).since(before)
			if direct := made[fake.CallKind{Operation: registry.OperationRead, Topic: registry.RangesTopic}]; direct > 1 {
				t.Errorf("%s: %d reads that do not wait: %v", name, direct, made)
			}
			if hold := g.ranges.holdTime(g.deps.Now()); hold < keyrange.MaxHold {
				t.Errorf("grants of %s last %v", name, hold)
			}
		}
	})
}

// Guards against a moved key that is served later because nodes read the change of its owner later: requests wait for it, at
// nodes that are not told of the change.
func TestMovedKeyIsServedSoon(t *testing.T) {
	// A grant that is not released ends after MaxHold. The new owner's backend server takes the key at its next heartbeat, and
	// a request that was refused is sent again after ownerRetryInterval at most.
	const within = keyrange.MaxHold + heartbeatInterval + ownerRetryInterval
	for seed := range uint64(withoutRaceDetector(8)) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 8))
				sim := newSimulation(t)
				defer sim.close()
				far := startRegion(sim, 30)
				sim.mu.Lock()
				for _, inst := range sim.instances {
					inst.server.serviceTime = 10 * time.Millisecond
				}
				sim.mu.Unlock()
				var callers sync.WaitGroup
				var mu sync.Mutex
				var total, slowest time.Duration
				sent := 0
				for range 12 {
					from, to := 3*random.IntN(10), 3*random.IntN(9)
					if to >= from {
						to += 3
					}
					sim.planMove(random, far[from], far[to])
					key := -1
					for range 100 {
						table, _ := sim.instances[far[from]].gateway.ranges.get("keyed")
						if moving := table.Outgoing(far[from]); len(moving) > 0 {
							key = int(moving[0].From)
							break
						}
						time.Sleep(time.Millisecond)
					}
					if key < 0 {
						continue
					}
					for _, name := range far[:12] {
						wait := time.Duration(random.IntN(1000)) * time.Millisecond
						callers.Go(func() {
							time.Sleep(wait)
							began := time.Now()
							a := sim.sendRequest(name, fmt.Sprintf("%s-%d", name, began.UnixNano()), "/keyed/", key, 4*time.Second)
							took := time.Since(began)
							mu.Lock()
							defer mu.Unlock()
							sent++
							total += took
							slowest = max(slowest, took)
							if a.Outcome != request.Done || took > within {
								t.Errorf("seed %d: %s got %v %q after %v", seed, name, a.Outcome, a.Reason, took)
							}
						})
					}
					// The next move begins when this one has ended.
					callers.Wait()
					time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
				}
				t.Logf("seed %d: %d requests, %v each, %v at most", seed, sent, (total / time.Duration(max(1, sent))).Round(time.Microsecond), slowest)
			})
		})
	}
}
