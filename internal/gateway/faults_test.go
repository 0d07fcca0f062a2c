package gateway

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/request"
)

// scheduleCount returns the number of random fault schedules. HEATHERREEL_GATEWAY_SCHEDULES raises it for a soak test.
func scheduleCount(t *testing.T) int {
	text := os.Getenv("HEATHERREEL_GATEWAY_SCHEDULES")
	if text == "" {
		return 12
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// withoutRaceDetector returns n, and a quarter of it with the race detector, with which large fleets take ten times as long.
// The pass with the lock-order check runs all of them.
func withoutRaceDetector(n int) int {
	if raceDetector {
		return max(1, n/4)
	}
	return n
}

// runSchedule runs f as a subtest with a virtual clock; with the race detector, in a process of its own (see TestMain).
func runSchedule(t *testing.T, name string, f func(*testing.T)) {
	t.Run(name, func(t *testing.T) {
		if !raceDetector || os.Getenv(processVariable) == oneSchedule {
			synctest.Test(t, f)
			return
		}
		var pattern []string
		for level := range strings.SplitSeq(t.Name(), "/") {
			pattern = append(pattern, "^"+regexp.QuoteMeta(level)+"$")
		}
		output, err := testProcess(t.Context(), oneSchedule, "-test.run="+strings.Join(pattern, "/"), "-test.count=1", "-test.v")
		if err != nil {
			t.Fatalf("%v\n%s", err, output)
		}
		if !strings.Contains(string(output), "--- PASS: "+t.Name()+" ") {
			t.Fatalf("the process has not run the schedule:\n%s", output)
		}
	})
}

// Guards against two owners of a key, fences that decrease, requests that run twice although they are not idempotent,
// refusals of requests that ran, and keys that stay unserved, under random faults that overlap.
func TestRandomFaults(t *testing.T) {
	for seed := range scheduleCount(t) {
		runSchedule(t, fmt.Sprintf("seed=%d", seed), func(t *testing.T) { randomFaults(t, rand.New(rand.NewPCG(uint64(seed), 1)), 4) })
	}
}

// Guards against the same where most nodes read the topics of the store through others.
func TestRandomFaultsWithFeeds(t *testing.T) {
	for seed := range withoutRaceDetector(scheduleCount(t)) {
		runSchedule(t, fmt.Sprintf("seed=%d", seed), func(t *testing.T) { randomFaults(t, rand.New(rand.NewPCG(uint64(seed), 2)), 14) })
	}
}

// randomFaults injects faults into a fleet with the number of keyed instances.
func randomFaults(t *testing.T, random *rand.Rand, keyed int) {
	startFleetOf(t, keyed).runRandomFaults(random, keyed)
}

// runRandomFaults injects faults while requests arrive, and closes the simulation.
func (sim *simulation) runRandomFaults(random *rand.Rand, keyed int) {
	t := sim.t
	defer sim.close()
	sim.publish(2, false)
	time.Sleep(time.Second)
	sim.mu.Lock()
	sim.loseAnswerEvery = 5
	sim.mu.Unlock()
	end := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]request.Outcome{}
	for c := range 6 {
		callerRandom := rand.New(rand.NewPCG(random.Uint64(), uint64(c)))
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				case <-time.After(time.Duration(1+callerRandom.IntN(200)) * time.Millisecond):
				}
				id := fmt.Sprintf("w-%d-%d", c, n)
				path, key := "/keyed/", callerRandom.IntN(65536)
				if callerRandom.IntN(2) == 0 {
					path, key = "/free/", -1
				}
				a := sim.sendRequest(fmt.Sprintf("k%d", callerRandom.IntN(keyed)), id, path, key, 1500*time.Millisecond)
				mu.Lock()
				answers[id] = a.Outcome
				mu.Unlock()
			}
		})
	}
	for range 8 {
		sim.injectFault(random, keyed)
		if sim.rollBacks != nil && sim.rollBacks.IntN(3) == 0 {
			sim.rollBack(sim.rollBacks)
		}
		time.Sleep(time.Duration(random.IntN(2500)) * time.Millisecond)
	}
	sim.clearFaults()
	time.Sleep(16 * time.Second)
	close(end)
	callers.Wait()
	if got := sim.servedShare("f0"); got != 1 {
		t.Errorf("%.2f of the keys are served after the faults", got)
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for id, outcome := range answers {
		if n := sim.runs[id]; n > 1 || n > 0 && outcome == request.NotRun || n == 0 && outcome == request.Done {
			t.Errorf("%s ran %d times and got outcome %v", id, n, outcome)
		}
	}
}

// injectFault injects one random fault.
func (sim *simulation) injectFault(random *rand.Rand, keyed int) {
	name := fmt.Sprintf("k%d", random.IntN(keyed))
	if keyed > 4 && random.IntN(2) == 0 {
		sim.injectFeedFault(random)
		return
	}
	sim.mu.Lock()
	inst := sim.instances[name]
	gatewayUp, serverUp := inst.gateway != nil, inst.server != nil
	sim.mu.Unlock()
	switch kind := random.IntN(9); {
	case kind == 0 && gatewayUp:
		sim.killGateway(name)
	case kind == 1 && !gatewayUp:
		sim.startGateway(name)
	case kind == 2 && serverUp:
		sim.stopServer(name)
	case kind == 3 && !serverUp:
		sim.startServer(name)
	case kind == 4:
		sim.mu.Lock()
		sim.disconnected[name] = !sim.disconnected[name]
		sim.mu.Unlock()
	case kind == 5:
		sim.store.SetUnreachable(name, random.IntN(2) == 0)
	case kind == 6:
		sim.store.SetDown(random.IntN(3) == 0)
	case kind == 7:
		sim.store.SetLoseReplies(random.IntN(2) == 0)
	case kind == 8 && serverUp:
		sim.mu.Lock()
		inst.server.draining = true
		sim.mu.Unlock()
	}
}

// injectFeedFault injects a random fault of a node through which others read.
func (sim *simulation) injectFeedFault(random *rand.Rand) {
	sim.mu.Lock()
	names := slices.Sorted(maps.Keys(sim.instances))
	sim.mu.Unlock()
	feeds := sim.feeds(names)
	if len(feeds) == 0 {
		return
	}
	name := feeds[random.IntN(len(feeds))]
	switch random.IntN(4) {
	case 0:
		sim.killGateway(name)
	case 1:
		sim.store.SetUnreachable(name, true)
	case 2:
		sim.mu.Lock()
		sim.silentFeeds[name] = true
		sim.mu.Unlock()
	case 3:
		seed := random.Uint64()
		sim.mu.Lock()
		delays := rand.New(rand.NewPCG(seed, 0))
		var mu sync.Mutex
		sim.topicDelay = func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return time.Duration(delays.IntN(1500)) * time.Millisecond
		}
		sim.mu.Unlock()
	}
}

// clearFaults ends all faults and starts what is down.
func (sim *simulation) clearFaults() {
	sim.mu.Lock()
	sim.loseAnswerEvery, sim.topicDelay = 0, nil
	clear(sim.silentFeeds)
	sim.mu.Unlock()
	sim.store.SetDown(false)
	sim.store.SetLoseReplies(false)
	for name, inst := range sim.instances {
		sim.store.SetUnreachable(name, false)
		sim.mu.Lock()
		sim.disconnected[name] = false
		gatewayUp, serverUp := inst.gateway != nil, inst.server != nil
		// A draining backend server ends; another one takes its place.
		serverUp = serverUp && !inst.server.draining
		sim.mu.Unlock()
		if !serverUp {
			sim.startServer(name)
		}
		if !gatewayUp {
			sim.startGateway(name)
		}
	}
}
