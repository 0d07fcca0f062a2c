package engine

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/fake"
	"heatherreel/internal/request"
	"heatherreel/internal/scenario"
)

// Environment variables of TestChaos and their defaults: the number of random schedules for each mode, which is small
// in an ordinary run, and the first seed, with which one schedule can be repeated.
const (
	chaosSeedsEnv         = "HEATHERREEL_CHAOS_SEEDS"
	chaosFirstSeedEnv     = "HEATHERREEL_CHAOS_FIRST"
	defaultChaosSeeds     = 6
	defaultChaosFirstSeed = 1
)

// uintFromEnv returns the number in an environment variable, or the default value if it is not set.
func uintFromEnv(t *testing.T, name string, defaultValue uint64) uint64 {
	t.Helper()
	text, ok := os.LookupEnv(name)
	if !ok {
		return defaultValue
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

// Parameters of a schedule.
const (
	chaosFaultCount = 12
	// chaosRecoveryTimeout is how long the fleet may take to serve all slices after all faults are healed.
	chaosRecoveryTimeout = 60 * time.Second
	chaosWritesPerSecond = 60
	// chaosServiceTime is long compared with the network latencies, so that faults occur while requests run.
	chaosServiceTime = 30 * time.Millisecond
	// chaosMaxRepeatDelay bounds the delay before each repetition of a write.
	chaosMaxRepeatDelay = 3 * time.Second
)

// chaosConfiguration is a format string for whether backend servers check grants, and for the exceptions.
const chaosConfiguration = `regions:
  emea-west: {data_centres: [west-a, west-b]}
  emea-central: {data_centres: [central-a, central-b]}
services: [orders]
tenants: [t]
defaults:
  home_regions: any
  deadline: 2s
  slices: 48
  checks_grants: %v
  in_flight_bound: 300ms
  concurrency_limit: 10
  queue_limit: 200
%s`

const chaosWestBTakenOut = `exceptions:
  - name: west-b-work
    reason: work in west-b
    match: {data_centre: west-b}
    set: {taken_out: true}
`

// writeAttempt is one attempt to send the write with a request id, and its answer.
type writeAttempt struct {
	id     string
	answer request.Answer
}

// attemptHistory records the write attempts of all callers by request id.
//
// mu guards attempts.
type attemptHistory struct {
	mu       sync.Mutex
	attempts map[string][]writeAttempt
}

func (h *attemptHistory) record(a writeAttempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts[a.id] = append(h.attempts[a.id], a)
}

// check compares the answers to callers with the executions at the backend servers.
func (h *attemptHistory) check(t *testing.T, store *fake.BackendStore) {
	t.Helper()
	if n := store.FenceRegressions(); n > 0 {
		t.Errorf("%d requests ran after a request of a later owner of the slice", n)
	}
	counts := map[request.Outcome]int{}
	for id, attempts := range h.attempts {
		executions := store.Executions(id)
		if executions > 1 {
			t.Errorf("request %s ran %d times", id, executions)
		}
		h.checkAnswers(t, id, attempts, executions)
		for _, a := range attempts {
			counts[a.answer.Outcome]++
		}
	}
	t.Logf("%d request ids; answers: done %d, not run %d, unknown %d", len(h.attempts), counts[request.Done],
		counts[request.NotRun], counts[request.Unknown])
	if counts[request.Done] == 0 {
		t.Error("no request was done")
	}
}

// checkAnswers checks the answers to the attempts with one request id.
func (h *attemptHistory) checkAnswers(t *testing.T, id string, attempts []writeAttempt, executions int) {
	t.Helper()
	allNotRun := true
	var done *request.Answer
	for i := range attempts {
		a := &attempts[i].answer
		allNotRun = allNotRun && a.Outcome == request.NotRun
		if a.Outcome != request.Done {
			continue
		}
		if done != nil && string(done.Body) != string(a.Body) {
			t.Errorf("request %s got the answers %q and %q", id, done.Body, a.Body)
		}
		done = a
	}
	if done != nil && executions != 1 {
		t.Errorf("request %s was answered done and ran %d times", id, executions)
	}
	if allNotRun && executions != 0 {
		t.Errorf("request %s was refused as not run and ran %d times", id, executions)
	}
}

// chaosRun runs one random schedule of faults on a fleet.
type chaosRun struct {
	*fleet
	// faultRand draws the faults, and repeatRand the repetitions of writes. They are used by different goroutines.
	faultRand, repeatRand *rand.Rand
	history               attemptHistory
	inFlightWrites        sync.WaitGroup
	// stopCaller is closed to stop new writes.
	stopCaller          chan struct{}
	backendsCheckGrants bool
	westBTakenOut       bool
	nodeNames           []string
	dataCentreOf        map[string]string
	paused              map[string]bool
	cuts                [][2]string
	// frozenBackend is the node whose backend server is frozen, or empty.
	frozenBackend string
}

// must fails the test on an error.
func (c *chaosRun) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

// start publishes the first configuration and starts two nodes in each data centre.
func (c *chaosRun) start() {
	c.publish()
	for i, dataCentre := range []string{"west-a", "west-a", "west-b", "west-b", "central-a", "central-a", "central-b", "central-b"} {
		name := fmt.Sprintf("%s-%d", dataCentre, i)
		c.nodeNames = append(c.nodeNames, name)
		c.dataCentreOf[name] = dataCentre
		c.must(c.Start(scenario.Node{Name: name, DataCentre: dataCentre, Service: "orders"}))
	}
	c.awaitAllServed("at the start")
}

// publish publishes the configuration. It ignores errors, because the log may be down.
func (c *chaosRun) publish() {
	exceptions := ""
	if c.westBTakenOut {
		exceptions = chaosWestBTakenOut
	}
	_ = c.Publish(fmt.Appendf(nil, chaosConfiguration, c.backendsCheckGrants, exceptions))
}

// awaitAllServed waits until all slices are served.
func (c *chaosRun) awaitAllServed(phase string) {
	c.t.Helper()
	end := time.Now().Add(chaosRecoveryTimeout)
	for {
		ownership, err := c.Ownership("orders")
		c.must(err)
		if ownership.Slices > 0 && ownership.Unserved == 0 {
			return
		}
		if time.Now().After(end) {
			c.t.Fatalf("%s: %d of %d slices are not served after %v", phase, ownership.Unserved, ownership.Slices,
				chaosRecoveryTimeout)
		}
		c.Advance(100 * time.Millisecond)
	}
}

// runCaller sends writes until stopCaller is closed. Many are repeated through other nodes, even if they were answered.
func (c *chaosRun) runCaller() {
	ticker := time.NewTicker(time.Second / chaosWritesPerSecond)
	defer ticker.Stop()
	for n := 0; ; n++ {
		c.inFlightWrites.Add(1)
		go c.sendWrite(n, c.attemptDelays())
		select {
		case <-ticker.C:
		case <-c.stopCaller:
			return
		}
	}
}

// attemptDelays returns the delay before each attempt of one write.
func (c *chaosRun) attemptDelays() []time.Duration {
	delays := []time.Duration{0}
	for range c.repeatRand.IntN(4) {
		delays = append(delays, time.Duration(c.repeatRand.Int64N(int64(chaosMaxRepeatDelay))))
	}
	return delays
}

// sendWrite sends one write, and repeats it with the same request id after each further delay. Repetitions do not wait
// for each other.
func (c *chaosRun) sendWrite(n int, delays []time.Duration) {
	defer c.inFlightWrites.Done()
	id := newRequestID(time.Now())
	for attempt, delay := range delays {
		if delay > 0 {
			<-time.After(delay)
		}
		node := c.ingressNode([]string{"west-a", "west-b", "central-a", "central-b"}[(n+attempt)%4], n+attempt)
		if node == nil {
			continue
		}
		r := newReadRequest("orders", fmt.Sprintf("key-%d", n%499), loadDeadline)
		r.Method, r.Idempotent, r.Body, r.ID = "POST", false, []byte("x"), id
		if attempt == 0 {
			c.history.record(writeAttempt{id: id, answer: c.send(node, r)})
			continue
		}
		c.inFlightWrites.Add(1)
		go func() {
			defer c.inFlightWrites.Done()
			c.history.record(writeAttempt{id: id, answer: c.send(node, r)})
		}()
	}
}

// injectFault causes or heals one random fault and returns a description.
func (c *chaosRun) injectFault() string {
	name := c.nodeNames[c.faultRand.IntN(len(c.nodeNames))]
	node, err := c.node(name)
	c.must(err)
	switch c.faultRand.IntN(13) {
	case 0, 1:
		if node.host.Killed() {
			c.must(c.Start(scenario.Node{Name: name, DataCentre: c.dataCentreOf[name], Service: "orders"}))
			return "start " + name
		}
		if c.killedCount() < 3 {
			c.must(c.Kill(name))
			return "kill " + name
		}
	case 2, 3:
		if !node.host.Killed() && !c.paused[name] && len(c.paused) < 2 {
			c.must(c.Pause(name))
			c.paused[name] = true
			return "pause " + name
		}
	case 4, 5:
		return c.resumeOne()
	case 6:
		return c.cutOrHeal()
	case 7:
		c.must(c.SetLog(scenario.LogState(c.faultRand.IntN(3)), time.Duration(c.faultRand.IntN(400))*time.Millisecond))
		return "log state"
	case 8:
		c.must(c.LoseReplies(1 + c.faultRand.IntN(3)))
		return "lose replies"
	case 9:
		c.westBTakenOut = !c.westBTakenOut
		c.publish()
		return fmt.Sprintf("west-b taken out: %v", c.westBTakenOut)
	case 10:
		if !node.host.Killed() && !c.paused[name] && c.killedCount() < 2 {
			c.must(c.Stop(name))
			return "stop " + name
		}
	}
	return c.toggleBackendFreeze(name)
}

// toggleBackendFreeze freezes the backend server of a node, or unfreezes the one that is frozen.
func (c *chaosRun) toggleBackendFreeze(name string) string {
	if c.frozenBackend == "" {
		c.frozenBackend = name
		c.must(c.SetBackend(name, scenario.BackendFrozen))
		return "freeze backend of " + name
	}
	unfrozen := c.frozenBackend
	c.frozenBackend = ""
	c.must(c.SetBackend(unfrozen, scenario.BackendNormal))
	return "unfreeze backend of " + unfrozen
}

// killedCount returns the number of nodes that are not running.
func (c *chaosRun) killedCount() int { return len(c.nodeNames) - len(c.liveNodes()) }

// resumeOne resumes a paused node.
func (c *chaosRun) resumeOne() string {
	for _, name := range c.nodeNames {
		if c.paused[name] {
			delete(c.paused, name)
			c.must(c.Resume(name))
			return "resume " + name
		}
	}
	return "nothing"
}

// cutOrHeal heals the oldest cut, or cuts the network between two random places.
func (c *chaosRun) cutOrHeal() string {
	if len(c.cuts) > 0 && c.faultRand.IntN(2) == 0 {
		cut := c.cuts[0]
		c.cuts = c.cuts[1:]
		c.must(c.Heal(cut[0], cut[1]))
		return fmt.Sprint("heal ", cut)
	}
	places := append([]string{"emea-west", "emea-central", "west-a", "central-b", fake.LogLocation}, c.nodeNames...)
	cut := [2]string{places[c.faultRand.IntN(len(places))], places[c.faultRand.IntN(len(places))]}
	c.cuts = append(c.cuts, cut)
	c.must(c.Cut(cut[0], cut[1]))
	return fmt.Sprint("cut ", cut)
}

// healAll undoes all faults and starts all nodes that are not running.
func (c *chaosRun) healAll() {
	for _, cut := range c.cuts {
		c.must(c.Heal(cut[0], cut[1]))
	}
	c.must(c.SetLog(scenario.LogUp, 0))
	c.must(c.LoseReplies(0))
	if c.frozenBackend != "" {
		c.toggleBackendFreeze("")
	}
	for c.resumeOne() != "nothing" {
		continue
	}
	// Graceful shutdowns that have begun must end before the nodes are started again.
	c.Advance(35 * time.Second)
	for _, name := range c.nodeNames {
		if node, _ := c.node(name); node.host.Killed() {
			c.must(c.Start(scenario.Node{Name: name, DataCentre: c.dataCentreOf[name], Service: "orders"}))
		}
	}
}

// runChaos runs one random schedule and checks the history.
func runChaos(t *testing.T, seed uint64, checksGrants bool) {
	c := &chaosRun{
		fleet: newFleet(t), faultRand: rand.New(rand.NewPCG(seed, 0)),
		repeatRand: rand.New(rand.NewPCG(seed, 1)), stopCaller: make(chan struct{}), backendsCheckGrants: checksGrants,
		history:      attemptHistory{attempts: map[string][]writeAttempt{}},
		dataCentreOf: map[string]string{}, paused: map[string]bool{},
	}
	c.serviceTime = chaosServiceTime
	c.start()
	callerDone := make(chan struct{})
	go func() {
		defer close(callerDone)
		c.runCaller()
	}()
	for range chaosFaultCount {
		t.Logf("%v: %s", time.Since(virtualEpoch), c.injectFault())
		c.Advance(time.Duration(100+c.faultRand.IntN(2400)) * time.Millisecond)
	}
	c.healAll()
	close(c.stopCaller)
	<-callerDone
	c.inFlightWrites.Wait()
	c.awaitAllServed("after all faults were healed")
	c.Advance(time.Second)
	c.history.check(t, c.storeByService["orders"])
}

// virtualEpoch is the time at which the clock of a synctest bubble starts.
var virtualEpoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards, under random faults, against a slice with two owners, a write that runs twice, the answer "not run" to a
// write that ran, different "done" answers to attempts of one write (so that one belongs to another request), and
// slices that no node serves after all faults are healed.
func TestChaos(t *testing.T) {
	first := uintFromEnv(t, chaosFirstSeedEnv, defaultChaosFirstSeed)
	for seed := first; seed < first+uintFromEnv(t, chaosSeedsEnv, defaultChaosSeeds); seed++ {
		for _, checksGrants := range []bool{true, false} {
			t.Run(fmt.Sprintf("seed=%d/checks=%v", seed, checksGrants), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runChaos(t, seed, checksGrants) })
			})
		}
	}
}
