package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherreel/internal/keyrange"
)

// step is the resolution of the simulated time.
const step = 10 * time.Millisecond

// fleet is a number of nodes with clocks that are off by up to 2 percent, one of which is the lender of all tenants.
type fleet struct {
	random *rand.Rand
	now    time.Duration
	names  []string
	nodes  []*simulatedNode
	limits map[string]Limit
	lender int
	fence  uint64
	// pending are the events to come.
	pending []event
	// runs are the times at which requests of each tenant ran, messages the number of calls to lenders.
	runs              map[string][]time.Duration
	refused, messages int
	// lossy makes messages late, or lose them. greedy makes nodes ask for more than they need.
	lossy, greedy bool
	// refusedLater is the part of the admitted requests that do not run and return their credit up to 4 s later.
	refusedLater float64
}

type event struct {
	at time.Duration
	do func()
}

type simulatedNode struct {
	f           *fleet
	name        string
	rate        float64
	offset      time.Duration
	node        *Node
	lender      *Lender
	incarnation int
	cut         bool
	// withoutLender is set if the node has read a configuration without a lender.
	withoutLender bool
	askAt         keyrange.Instant
}

func (s *simulatedNode) clock() keyrange.Instant {
	return keyrange.Instant(s.offset + time.Duration(float64(s.f.now)*s.rate))
}

func newFleet(seed uint64, size int, limits map[string]Limit, drift float64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), limits: limits, runs: map[string][]time.Duration{}}
	for i := range size {
		f.names = append(f.names, fmt.Sprintf("n%d", i))
		f.nodes = append(f.nodes, &simulatedNode{f: f, name: f.names[i], rate: 1 + drift*(2*f.random.Float64()-1), offset: time.Duration(f.random.Int64N(int64(time.Hour)))})
	}
	for _, s := range f.nodes {
		s.restart()
	}
	f.changeLender(0)
	return f
}

// restart replaces the process of a node.
func (s *simulatedNode) restart() {
	s.incarnation++
	s.node, s.lender = NewNode(s.name), NewLender()
	s.node.SetLimits(s.f.limits, true, s.clock())
	s.node.SetMembers(s.f.names, s.clock())
	s.f.observe()
}

func (f *fleet) changeLender(to int) {
	f.lender = to
	f.fence++
	f.observe()
}

func (f *fleet) observe() {
	if s := f.nodes[f.lender]; s.lender != nil {
		for tenant := range f.limits {
			s.lender.Observe(tenant, f.fence, s.clock())
		}
	}
}

func (f *fleet) after(d time.Duration, do func()) {
	f.pending = append(f.pending, event{f.now + d, do})
}

// advance moves the time on by a step, in which the nodes ask for loans.
func (f *fleet) advance() {
	f.now += step
	due := f.pending
	f.pending = nil
	for _, e := range due {
		if e.at <= f.now {
			e.do()
		} else {
			f.pending = append(f.pending, e)
		}
	}
	for _, s := range f.nodes {
		if now := s.clock(); now >= s.askAt && !s.cut && !s.withoutLender {
			asks := s.node.Asks(func(string) bool { return true }, now)
			if f.greedy {
				asks = []Ask{{"large", 1e6}, {"small", 1e6}}
			}
			if len(asks) > 0 {
				s.askAt = now.Add(AskInterval)
				s.ask(asks, now)
			}
		}
	}
}

// delay returns the time that a message takes.
func (f *fleet) delay() time.Duration {
	if f.lossy && f.random.IntN(4) == 0 {
		return time.Duration(f.random.Int64N(int64(2 * time.Second)))
	}
	return 8 * time.Millisecond
}

func (s *simulatedNode) ask(asks []Ask, sent keyrange.Instant) {
	f, to, incarnation := s.f, s.f.nodes[s.f.lender], s.incarnation
	f.messages++
	f.after(f.delay(), func() {
		if to.cut || f.nodes[f.lender] != to || f.lossy && f.random.IntN(10) == 0 {
			return
		}
		var grants []Grant
		for _, a := range asks {
			grants = append(grants, to.lender.Lend(s.name, a, f.limits[a.Tenant], f.fence, to.clock()))
		}
		f.after(f.delay(), func() {
			if s.incarnation == incarnation {
				s.node.Granted(grants, sent, s.clock())
			}
		})
	})
}

// send sends a request to a node and reports whether it is admitted. It waits for a loan for up to wait, as a node lets it wait.
func (f *fleet) send(s *simulatedNode, tenant string, wait time.Duration, repeated bool) bool {
	credit, ok := s.node.Take(tenant, repeated, s.clock())
	node := s.node
	switch {
	case !repeated && !ok && wait > 0:
		node.Wait(tenant, 1)
	case repeated && (ok || wait <= 0):
		node.Wait(tenant, -1)
	}
	switch {
	case ok && f.random.Float64() < f.refusedLater:
		f.after(time.Duration(f.random.Int64N(int64(4*time.Second))), func() {
			node.GiveBack(&credit, s.clock())
			node.GiveBack(&credit, s.clock())
		})
	case ok:
		f.runs[tenant] = append(f.runs[tenant], f.now)
	case wait > 0:
		f.after(step, func() { f.send(s, tenant, wait-step, true) })
	default:
		f.refused++
	}
	return ok
}

// checkWindows fails the test if more requests of a tenant ran in a window than its limit allows.
func (f *fleet) checkWindows(t interface{ Errorf(string, ...any) }, since time.Duration) {
	for tenant, runs := range f.runs {
		limit := f.limits[tenant]
		bound := int((limit.Rate*5+limit.Burst)*1.1 + 20)
		first := 0
		for i, at := range runs {
			for runs[first] <= at-window || runs[first] < since && first < i {
				first++
			}
			if n := i - first + 1; n > bound {
				t.Errorf("%d requests of %s with %+v ran at %d nodes in the 5 s until %v, %d allowed", n, tenant, limit, len(f.nodes), at, bound)
				return
			}
		}
	}
}

// Guards against nodes that together admit more requests of a tenant than its limit allows in any window of 5 s: with fast
// and slow clocks, late and lost messages, partitions, processes that are killed, lenders that change, requests that are
// refused after they were admitted, and limits that are lowered.
func TestLimitHoldsOverAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Values are drawn evenly from the seed, since rapid prefers small ones.
		seed := rapid.Uint64().Draw(t, "seed")
		random := rand.New(rand.NewPCG(seed, 2))
		limits := map[string]Limit{
			"large": {Rate: 400 * max(random.Float64(), random.Float64()), Burst: 700 * random.Float64() * float64(random.IntN(2))},
			"small": {Rate: 4 * random.Float64(), Burst: 3 * random.Float64()},
		}
		f := newFleet(seed, 1+random.IntN(40), limits, 0.02)
		f.lossy, f.greedy = random.IntN(2) == 0, random.IntN(2) == 0
		f.refusedLater = []float64{0, 0, 0.1, 0.7}[random.IntN(4)]
		faults := random.IntN(4) * random.IntN(2)
		lowerAt := time.Duration(random.IntN(16)*random.IntN(2)) * time.Second
		// Each second period is a flood of requests, after one in which shares and loans pile up.
		period := time.Duration(3+random.IntN(4)) * time.Second
		since := time.Duration(0)
		for f.now < 20*time.Second {
			f.advance()
			flood := f.now/period%2 == 1
			for _, s := range f.nodes {
				for _, tenant := range []string{"large", "small"} {
					for sent := 0; flood && sent < 1000 && f.send(s, tenant, 0, false); sent++ {
					}
				}
			}
			f.send(f.nodes[f.random.IntN(len(f.nodes))], "small", 50*time.Millisecond, false)
			if f.random.IntN(100) < faults {
				s := f.nodes[f.random.IntN(len(f.nodes))]
				switch f.random.IntN(3) {
				case 0:
					s.cut = !s.cut
				case 1:
					for _, s := range f.nodes[:f.random.IntN(len(f.nodes))+1] {
						s.restart()
					}
				default:
					f.changeLender(f.random.IntN(len(f.nodes)))
				}
			}
			if lowerAt > 0 && f.now >= lowerAt && since == 0 {
				since = f.now + 5*time.Second
				f.checkWindows(t, 0)
				limits["large"] = Limit{Rate: limits["large"].Rate / 3, Burst: limits["large"].Burst / 2}
				for _, s := range f.nodes {
					f.after(time.Duration(f.random.Int64N(int64(4*time.Second))), func() { s.node.SetLimits(limits, true, s.clock()) })
				}
			}
		}
		f.checkWindows(t, since)
	})
}

// Guards against a credit that is returned twice, or that adds to a window because the bucket was full in between, and
// against one that is lost.
func TestCreditIsReturnedOnce(t *testing.T) {
	n := NewNode("n0")
	n.SetLimits(map[string]Limit{"t": {Rate: 2, Burst: 4}}, true, 0)
	n.SetMembers([]string{"n0"}, 0)
	at := func(d time.Duration) keyrange.Instant { return keyrange.Instant(time.Minute + d) }
	takeAll := func(now keyrange.Instant) (taken []Credit) {
		for {
			c, ok := n.Take("t", false, now)
			if !ok {
				return taken
			}
			taken = append(taken, c)
		}
	}
	first := takeAll(at(0))
	if len(first) != 2 {
		t.Fatalf("%d requests admitted at once, want half of the burst", len(first))
	}
	n.GiveBack(&first[0], at(time.Millisecond))
	n.GiveBack(&first[0], at(time.Millisecond))
	if again := takeAll(at(2 * time.Millisecond)); len(again) != 1 {
		t.Errorf("one credit that was returned twice admits %d requests", len(again))
	}
	if full := takeAll(at(time.Minute)); len(full) != 2 {
		t.Errorf("%d requests admitted after a minute", len(full))
	}
	n.GiveBack(&first[1], at(time.Minute))
	if again := takeAll(at(time.Minute)); len(again) != 0 {
		t.Errorf("a credit from before the bucket was full admits %d requests", len(again))
	}
	n.Granted([]Grant{{Tenant: "t", Count: 1}}, at(time.Minute), at(time.Minute))
	lent := takeAll(at(time.Minute))
	n.GiveBack(&lent[0], at(time.Minute+useTime/2))
	if again := takeAll(at(time.Minute + useTime/2)); len(again) != 1 {
		t.Errorf("a returned loan admits %d requests", len(again))
	}
}

// Guards against processes and lenders that begin with credit that their predecessors may have given away: all nodes are
// restarted, and the lender changes, while requests are more than the limit.
func TestSuccessorsAddNothing(t *testing.T) {
	for _, fault := range map[string]func(f *fleet){
		"nodes restart": func(f *fleet) {
			for _, s := range f.nodes {
				s.restart()
			}
		},
		"lender changes": func(f *fleet) { f.changeLender(f.lender + 1) },
	} {
		f := newFleet(3, 20, map[string]Limit{"large": {Rate: 200, Burst: 1000}}, 0.02)
		for f.now < 20*time.Second {
			f.advance()
			f.greedy = f.now > 12*time.Second
			if f.greedy && f.now%(1700*time.Millisecond) == 0 {
				fault(f)
			}
			for _, s := range f.nodes {
				for f.greedy && f.send(s, "large", 0, false) {
				}
			}
		}
		f.checkWindows(t, 0)
	}
}

// Guards against credit of requests that did not run and is returned while others run: for some seconds all admitted requests
// wait and are refused, so that their credit comes back in the window in which the next ones run.
func TestLateReturnsStayWithinLimit(t *testing.T) {
	for _, limit := range []Limit{{Rate: 20, Burst: 10}, {Rate: 200, Burst: 0}, {Rate: 2, Burst: 40}, {Rate: 262, Burst: 800}} {
		for _, held := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 4 * time.Second, 9 * time.Second} {
			f := newFleet(5, 3, map[string]Limit{"t": limit}, 0.02)
			for f.now < 30*time.Second {
				f.advance()
				for _, s := range f.nodes {
					for {
						credit, ok := s.node.Take("t", false, s.clock())
						if !ok {
							break
						}
						if f.now/(10*time.Second)%2 == 0 {
							f.after(held, func() { s.node.GiveBack(&credit, s.clock()) })
						} else {
							f.runs["t"] = append(f.runs["t"], f.now)
						}
					}
				}
			}
			t.Run(fmt.Sprintf("%+v/held %v", limit, held), func(t *testing.T) { f.checkWindows(t, 0) })
		}
	}
}

// Guards against even shares of all of a limit at nodes that have read that there is no lender any more, while others still
// borrow from it.
func TestEndOfLendingAddsNothing(t *testing.T) {
	for _, limit := range []Limit{{Rate: 262}, {Rate: 60, Burst: 400}, {Rate: 20, Burst: 20}} {
		f := newFleet(7, 10, map[string]Limit{"t": limit}, 0.02)
		for f.now < 25*time.Second {
			f.advance()
			for i, s := range f.nodes {
				// Three nodes read the configuration 2.9 s later than the others.
				if at := 10 * time.Second; f.now == at && i > 2 || f.now == at+2900*time.Millisecond && i <= 2 {
					s.withoutLender = true
					s.node.SetLimits(f.limits, false, s.clock())
				}
				for f.send(s, "t", 0, false) {
				}
			}
		}
		t.Run(fmt.Sprintf("%+v", limit), func(t *testing.T) { f.checkWindows(t, 0) })
		last := 0
		for _, at := range f.runs["t"] {
			if at > 20*time.Second {
				last++
			}
		}
		if got := float64(last) / 5; got < 0.9*limit.Rate {
			t.Errorf("%.1f requests a second ran without a lender with %+v", got, limit)
		}
	}
}
