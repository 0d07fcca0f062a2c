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

// Environment variables of TestChaos: the number of random schedules of each mode, which the ordinary run keeps small,
// and the first seed, for repeating one schedule.
const (
	chaosSeedsVariable = "HEATHERREEL_CHAOS_SEEDS"
	chaosFirstVariable = "HEATHERREEL_CHAOS_FIRST"
	chaosSeeds         = 6
	chaosFirst         = 1
)

// fromEnvironment returns the number in an environment variable, or the default.
func fromEnvironment(t *testing.T, name string, otherwise uint64) uint64 {
	t.Helper()
	text, ok := os.LookupEnv(name)
	if !ok {
		return otherwise
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

// Lengths of a schedule.
const (
	chaosFaults = 12
	// chaosQuiet is how long the fleet may take to serve all slices after all faults are healed.
	chaosQuiet = 60 * time.Second
	chaosRate  = 60
	// chaosServiceTime is long against the delays, so that faults hit requests that run.
	chaosServiceTime = 30 * time.Millisecond
	// chaosRepeatWithin bounds the time after which an impatient caller sends a write again.
	chaosRepeatWithin = 3 * time.Second
)

// chaosConfiguration has a place for the exceptions and for whether backend servers check grants.
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

const chaosTakenOut = `exceptions:
  - name: west-b-work
    reason: work in west-b
    match: {data_centre: west-b}
    set: {taken_out: true}
`

// click is one attempt of a caller with a request id.
type click struct {
	id     string
	answer request.Answer
}

// history records what callers sent and learned.
//
// mu guards clicks.
type history struct {
	mu     sync.Mutex
	clicks map[string][]click
}

func (h *history) add(c click) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clicks[c.id] = append(h.clicks[c.id], c)
}

// check compares what callers learned with what ran.
func (h *history) check(t *testing.T, store *fake.Store) {
	t.Helper()
	if n := store.Regressions(); n > 0 {
		t.Errorf("%d requests ran after a request of a later owner of the slice", n)
	}
	counts := map[request.Outcome]int{}
	for id, clicks := range h.clicks {
		ran := store.Executions(id)
		if ran > 1 {
			t.Errorf("request %s ran %d times", id, ran)
		}
		h.checkAnswers(t, id, clicks, ran)
		for _, c := range clicks {
			counts[c.answer.Outcome]++
		}
	}
	t.Logf("%d request ids; answers: done %d, not run %d, unknown %d", len(h.clicks), counts[request.Done],
		counts[request.NotRun], counts[request.Unknown])
	if counts[request.Done] == 0 {
		t.Error("no request was done")
	}
}

// checkAnswers checks the answers to the clicks with one id.
func (h *history) checkAnswers(t *testing.T, id string, clicks []click, ran int) {
	t.Helper()
	refused := true
	var done *request.Answer
	for i := range clicks {
		a := &clicks[i].answer
		refused = refused && a.Outcome == request.NotRun
		if a.Outcome != request.Done {
			continue
		}
		if done != nil && string(done.Body) != string(a.Body) {
			t.Errorf("request %s got the answers %q and %q", id, done.Body, a.Body)
		}
		done = a
	}
	if done != nil && ran != 1 {
		t.Errorf("request %s was answered done and ran %d times", id, ran)
	}
	if refused && ran != 0 {
		t.Errorf("request %s was refused as not run and ran %d times", id, ran)
	}
}

// chaos is one random schedule on a fleet.
type chaos struct {
	*fleet
	// random draws the faults, and repeated the writes that callers send again. They run at the same time.
	random, repeated *rand.Rand
	history          history
	callers          sync.WaitGroup
	stop             chan struct{}
	checks           bool
	out              bool
	names            []string
	place            map[string]string
	paused           map[string]bool
	cuts             [][2]string
	// frozen is the node whose backend server is frozen, or empty.
	frozen string
}

// must fails the test on an error of the world.
func (c *chaos) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

// start publishes the first configuration and starts two nodes in each data centre.
func (c *chaos) start() {
	c.publish()
	for i, dataCentre := range []string{"west-a", "west-a", "west-b", "west-b", "central-a", "central-a", "central-b", "central-b"} {
		name := fmt.Sprintf("%s-%d", dataCentre, i)
		c.names = append(c.names, name)
		c.place[name] = dataCentre
		c.must(c.Start(scenario.Node{Name: name, DataCentre: dataCentre, Service: "orders"}))
	}
	c.awaitServed("at the start")
}

// publish publishes the configuration; a log that is down refuses it.
func (c *chaos) publish() {
	exceptions := ""
	if c.out {
		exceptions = chaosTakenOut
	}
	_ = c.Publish(fmt.Appendf(nil, chaosConfiguration, c.checks, exceptions))
}

// awaitServed waits until nodes serve all slices.
func (c *chaos) awaitServed(when string) {
	c.t.Helper()
	end := time.Now().Add(chaosQuiet)
	for {
		o, err := c.Ownership("orders")
		c.must(err)
		if o.Slices > 0 && o.Unserved == 0 {
			return
		}
		if time.Now().After(end) {
			c.t.Fatalf("%s: %d of %d slices are not served after %v", when, o.Unserved, o.Slices, chaosQuiet)
		}
		c.Advance(100 * time.Millisecond)
	}
}

// call sends writes until stop is closed; each is sent once or, as an impatient caller does, again through another node.
func (c *chaos) call() {
	ticker := time.NewTicker(time.Second / chaosRate)
	defer ticker.Stop()
	for n := 0; ; n++ {
		c.callers.Add(1)
		go c.write(n, c.repeats())
		select {
		case <-ticker.C:
		case <-c.stop:
			return
		}
	}
}

// repeats returns the delays before each attempt of one write.
func (c *chaos) repeats() []time.Duration {
	delays := []time.Duration{0}
	for range c.repeated.IntN(4) {
		delays = append(delays, time.Duration(c.repeated.Int64N(int64(chaosRepeatWithin))))
	}
	return delays
}

// write sends one write, and repeats it with the same id.
func (c *chaos) write(n int, repeats []time.Duration) {
	defer c.callers.Done()
	id := newRequestID(time.Now())
	for attempt, delay := range repeats {
		if delay > 0 {
			<-time.After(delay)
		}
		node := c.ingress([]string{"west-a", "west-b", "central-a", "central-b"}[(n+attempt)%4], n+attempt)
		if node == nil {
			continue
		}
		r := readOf("orders", fmt.Sprintf("key-%d", n%499), loadDeadline)
		r.Method, r.Idempotent, r.Body, r.ID = "POST", false, []byte("x"), id
		if attempt == 0 {
			c.history.add(click{id: id, answer: c.send(node, r)})
			continue
		}
		c.callers.Add(1)
		go func() {
			defer c.callers.Done()
			c.history.add(click{id: id, answer: c.send(node, r)})
		}()
	}
}

// fault causes or heals one random fault.
func (c *chaos) fault() string {
	name := c.names[c.random.IntN(len(c.names))]
	node, err := c.node(name)
	c.must(err)
	switch c.random.IntN(13) {
	case 0, 1:
		if node.host.Killed() {
			c.must(c.Start(scenario.Node{Name: name, DataCentre: c.place[name], Service: "orders"}))
			return "start " + name
		}
		if c.killed() < 3 {
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
		c.must(c.SetLog(scenario.LogState(c.random.IntN(3)), time.Duration(c.random.IntN(400))*time.Millisecond))
		return "log state"
	case 8:
		c.must(c.LoseReplies(1 + c.random.IntN(3)))
		return "lose replies"
	case 9:
		c.out = !c.out
		c.publish()
		return fmt.Sprintf("west-b taken out: %v", c.out)
	case 10:
		if !node.host.Killed() && !c.paused[name] && c.killed() < 2 {
			c.must(c.Stop(name))
			return "stop " + name
		}
	}
	return c.freezeOrThaw(name)
}

// freezeOrThaw changes the state of the backend server beside a node.
func (c *chaos) freezeOrThaw(name string) string {
	if c.frozen == "" {
		c.frozen = name
		c.must(c.SetBackend(name, scenario.BackendFrozen))
		return "freeze backend of " + name
	}
	thawed := c.frozen
	c.frozen = ""
	c.must(c.SetBackend(thawed, scenario.BackendNormal))
	return "thaw backend of " + thawed
}

// killed counts the nodes that do not run.
func (c *chaos) killed() int { return len(c.names) - len(c.living()) }

// resumeOne resumes a paused node.
func (c *chaos) resumeOne() string {
	for _, name := range c.names {
		if c.paused[name] {
			delete(c.paused, name)
			c.must(c.Resume(name))
			return "resume " + name
		}
	}
	return "nothing"
}

// cutOrHeal heals a cut, or cuts two random places from each other.
func (c *chaos) cutOrHeal() string {
	if len(c.cuts) > 0 && c.random.IntN(2) == 0 {
		cut := c.cuts[0]
		c.cuts = c.cuts[1:]
		c.must(c.Heal(cut[0], cut[1]))
		return fmt.Sprint("heal ", cut)
	}
	places := append([]string{"emea-west", "emea-central", "west-a", "central-b", fake.LogPlace}, c.names...)
	cut := [2]string{places[c.random.IntN(len(places))], places[c.random.IntN(len(places))]}
	c.cuts = append(c.cuts, cut)
	c.must(c.Cut(cut[0], cut[1]))
	return fmt.Sprint("cut ", cut)
}

// heal undoes all faults and starts all nodes.
func (c *chaos) heal() {
	for _, cut := range c.cuts {
		c.must(c.Heal(cut[0], cut[1]))
	}
	c.must(c.SetLog(scenario.LogUp, 0))
	c.must(c.LoseReplies(0))
	if c.frozen != "" {
		c.freezeOrThaw("")
	}
	for c.resumeOne() != "nothing" {
		continue
	}
	// A graceful shutdown that has begun ends before the node is started again.
	c.Advance(35 * time.Second)
	for _, name := range c.names {
		if node, _ := c.node(name); node.host.Killed() {
			c.must(c.Start(scenario.Node{Name: name, DataCentre: c.place[name], Service: "orders"}))
		}
	}
}

// runChaos runs one random schedule and checks the history.
func runChaos(t *testing.T, seed uint64, checksGrants bool) {
	c := &chaos{
		fleet: newFleet(t), random: rand.New(rand.NewPCG(seed, 0)),
		repeated: rand.New(rand.NewPCG(seed, 1)), stop: make(chan struct{}), checks: checksGrants,
		history: history{clicks: map[string][]click{}}, place: map[string]string{}, paused: map[string]bool{},
	}
	c.serviceTime = chaosServiceTime
	c.start()
	caller := make(chan struct{})
	go func() {
		defer close(caller)
		c.call()
	}()
	for range chaosFaults {
		t.Logf("%v: %s", time.Since(epoch), c.fault())
		c.Advance(time.Duration(100+c.random.IntN(2400)) * time.Millisecond)
	}
	c.heal()
	close(c.stop)
	<-caller
	c.callers.Wait()
	c.awaitServed("after all faults were healed")
	c.Advance(time.Second)
	c.history.check(t, c.stores["orders"])
}

// epoch is when the clock of a synctest bubble starts.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards, under random faults, against a slice with two owners, a write that runs twice, a refusal "not run" of a
// request that ran, an answer that belongs to another request, and slices that nobody serves afterwards.
func TestChaos(t *testing.T) {
	first := fromEnvironment(t, chaosFirstVariable, chaosFirst)
	for seed := first; seed < first+fromEnvironment(t, chaosSeedsVariable, chaosSeeds); seed++ {
		for _, checksGrants := range []bool{true, false} {
			t.Run(fmt.Sprintf("seed=%d/checks=%v", seed, checksGrants), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runChaos(t, seed, checksGrants) })
			})
		}
	}
}
