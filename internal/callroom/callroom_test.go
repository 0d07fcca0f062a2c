package callroom

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.UnixMilli(1_700_000_000_000)

// node is a simulated backend server and its node, in steps of 1 ms.
type node struct {
	room   *Room
	random *rand.Rand
	now    time.Time
	ends   map[int][]string
	tick   int
}

func newNode(seed uint64) *node {
	return &node{room: New(), random: rand.New(rand.NewPCG(seed, 7)), now: start, ends: map[int][]string{}}
}

// step ends the runs of the tick and advances by 1 ms.
func (n *node) step() {
	for _, route := range n.ends[n.tick] {
		n.room.End(n.now, route)
	}
	delete(n.ends, n.tick)
	n.tick++
	n.now = n.now.Add(time.Millisecond)
}

// begin starts a run of about the given milliseconds.
func (n *node) begin(route string, ms float64) {
	n.room.Begin(n.now, route)
	end := n.tick + 1 + int(ms*math.Exp(0.4*n.random.NormFloat64()))
	n.ends[end] = append(n.ends[end], route)
}

// arrives reports whether a Poisson process of the rate has an arrival in this tick.
func (n *node) arrives(perSecond float64) bool { return n.random.Float64() < perSecond/1000 }

// Guards against calls that are not recognized within half a minute on servers of both customers' sizes, against calls
// that are credited to a route that makes none, and against requests of callers that are taken for calls although they
// arrive while the backend server is busy.
func TestRecognizesCallsByTheirParents(t *testing.T) {
	for _, load := range []float64{2, 12, 34} {
		n := newNode(uint64(load))
		recognized := time.Duration(0)
		for range 60_000 {
			if n.arrives(load) {
				n.begin("parent", 150)
				for range 2 {
					due := n.tick + 1 + n.random.IntN(100)
					n.ends[due] = append(n.ends[due], "call:parent")
				}
			}
			if n.arrives(load / 2) {
				n.begin("leaf", 120)
			}
			if n.arrives(load) {
				if n.room.Arrive(n.now, "caller") {
					t.Fatalf("load %v: a request of a caller counts as a call after %v", load, n.now.Sub(start))
				}
			}
			for i := 0; i < len(n.ends[n.tick]); i++ {
				if n.ends[n.tick][i] == "call:parent" && n.room.total > 0 && n.room.Arrive(n.now, "call") && recognized == 0 {
					recognized = n.now.Sub(start)
				}
			}
			n.step()
		}
		calls, leaf := n.room.CallsPerRun("parent")["call"], n.room.CallsPerRun("leaf")["call"]
		t.Logf("%v parents a second: recognized after %v; calls per run %.2f, of the route without calls %.2f", load, recognized, calls, leaf)
		if recognized == 0 || recognized > 30*time.Second {
			t.Errorf("%v parents a second: recognized after %v", load, recognized)
		}
		if calls < 1.4 || calls > 2.4 || leaf > 0.4 {
			t.Errorf("%v parents a second: %.2f calls per run, want 2; %.2f of the other route, want 0", load, calls, leaf)
		}
	}
}

// Guards against requests of callers that are taken for calls: on a backend server whose speed changes, in bursts of
// seconds, and in groups that arrive together and run here.
func TestCallersAreNotTakenForCalls(t *testing.T) {
	for name, c := range map[string]struct {
		rate, burst, slowdown float64
		group                 int
		mixed                 bool
	}{
		"steady":                {rate: 12, burst: 1, slowdown: 1, group: 1},
		"bursts":                {rate: 12, burst: 2.6, slowdown: 1, group: 1},
		"slow":                  {rate: 30, burst: 1, slowdown: 3, group: 1},
		"groups":                {rate: 3, burst: 1, slowdown: 1, group: 4},
		"groups of both routes": {rate: 12, burst: 1, slowdown: 1, group: 4, mixed: true},
		"busy, groups of both":  {rate: 34, burst: 1, slowdown: 1, group: 4, mixed: true},
	} {
		for seed := range uint64(5) {
			n := newNode(seed)
			taken := 0
			for ms := range 300_000 {
				rate, service := c.rate, 150.0
				if ms/4000%5 == 0 {
					rate *= c.burst
				}
				if ms/400%5 == 0 {
					service *= c.slowdown
				}
				for _, route := range []string{"a", "b"} {
					if !n.arrives(rate / float64(c.group)) {
						continue
					}
					for i := range c.group {
						sent := route
						if c.mixed && i%2 == 1 {
							sent = "b"
						}
						if n.room.Arrive(n.now, sent) {
							taken++
						}
						n.begin(sent, service)
					}
				}
				n.step()
			}
			if taken > 0 {
				t.Errorf("%s, seed %d: %d requests of callers count as calls", name, seed, taken)
			}
		}
	}
}

// Guards against state that grows with the number of routes.
func TestStateIsBounded(t *testing.T) {
	r := New()
	for i := range 1000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		r.Begin(now, fmt.Sprint("p", i))
		r.Arrive(now, fmt.Sprint("c", i))
		r.End(now, fmt.Sprint("p", i))
	}
	if len(r.routes) > maxRoutes || len(r.parents) > maxParents || len(r.running) > 0 {
		t.Errorf("%d routes, %d parents, %d running", len(r.routes), len(r.parents), len(r.running))
	}
}

// parentReplay offers 40 parents a second, which make two calls each, for 10 s. served is the fraction of the calls that
// the called service serves in seconds 3 to 7; it serves all before and after. It returns the parents that ran and those
// that failed in that time, and those that ran in the last 2 s.
func parentReplay(served float64, refuseParents bool) (ran, failed, ranAfter int) {
	n := newNode(3)
	n.room.routes["call"] = &arrivals{call: true, evidence: maxEvidence, total: 100}
	n.room.parents["parent"] = &parent{runs: 100, busy: 10, together: map[string]float64{"parent": 40}, met: map[string]float64{"call": 800},
		rate: map[string]float64{"call": 20}}
	capacity := 0.0
	for ms := range 10_000 {
		overload := ms >= 3000 && ms < 7000
		// The called service serves that fraction of the 80 calls a second that all parents would make.
		if capacity += 80 * served / 1000; !overload || capacity > 2 {
			capacity = 2
		}
		if n.tick%25 == 0 && (!refuseParents || n.room.AdmitParent(n.now, "parent")) {
			n.begin("parent", 100)
			lost := false
			for range 2 {
				n.room.Arrive(n.now, "call")
				refused := overload && capacity < 1
				if !refused {
					capacity--
				}
				lost = lost || refused
				if refused {
					n.room.RecordResult(n.now, "call", NoCapacity)
				} else {
					n.room.RecordResult(n.now, "call", Served)
				}
			}
			switch {
			case overload && lost:
				failed++
			case overload:
				ran++
			case ms >= 8000:
				ranAfter++
			}
		}
		n.step()
	}
	return ran, failed, ranAfter
}

// Guards against parents whose work is lost because their calls are refused, against refusing so many that the called
// service is idle, and against refusals that go on after the calls are served again.
func TestParentsAreRefusedWhileTheirCallsAre(t *testing.T) {
	for _, served := range []float64{0, 0.3, 0.6} {
		plainRan, plainFailed, _ := parentReplay(served, false)
		ran, failed, after := parentReplay(served, true)
		t.Logf("%.1f of the calls served: %d ran and %d failed, without refusals %d and %d; %d of 80 afterwards", served, ran, failed, plainRan, plainFailed, after)
		if failed > plainFailed*2/3 {
			t.Errorf("%.1f of the calls served: %d parents failed, without refusals %d", served, failed, plainFailed)
		}
		if ran < plainRan*9/10 {
			t.Errorf("%.1f of the calls served: %d parents ran, without refusals %d", served, ran, plainRan)
		}
		if after < 72 {
			t.Errorf("%.1f of the calls served: only %d of 80 parents ran afterwards", served, after)
		}
	}
}

// Guards against parents that are refused for nothing: a backend server that sheds half of its requests at random sheds no
// smaller part if it gets fewer, and each refused parent is then lost although its calls might have been served.
func TestParentsAreAdmittedWhileCallsAreShedAtRandom(t *testing.T) {
	for shedPercent, wantAtLeast := range map[int]int{0: 400, 30: 400, 50: 340, 100: 10} {
		n := newNode(5)
		n.room.routes["call"] = &arrivals{call: true, evidence: maxEvidence, total: 100}
		n.room.parents["parent"] = &parent{runs: 100, busy: 10, together: map[string]float64{"parent": 40}, met: map[string]float64{"call": 800},
			rate: map[string]float64{"call": 20}}
		admitted, calls := 0, 0
		for range 10_000 {
			if n.tick%25 == 0 && n.room.AdmitParent(n.now, "parent") {
				admitted++
				n.begin("parent", 100)
				for range 2 {
					n.room.Arrive(n.now, "call")
					result := Served
					if calls++; calls*37%100 < shedPercent {
						result = Shed
					}
					n.room.RecordResult(n.now, "call", result)
				}
			}
			n.step()
		}
		if admitted < wantAtLeast || shedPercent == 100 && admitted > 80 {
			t.Errorf("%d percent of the calls are shed: %d of 400 parents are admitted", shedPercent, admitted)
		}
	}
}
