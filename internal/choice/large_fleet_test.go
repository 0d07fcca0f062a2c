package choice

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"heatherreel/internal/routed"
)

// largeFleet replays the load of a service with many backend servers. Each ingress node sends few requests to it, so that
// most of its reports are seconds old. Traffic differs between the data centres.
type largeFleet struct {
	dataCentres, servers, nodes int
	slots                       int
	serviceTime, objective      time.Duration
	perSecond                   int
	bytes                       int
	seconds                     int
	// diversions is how often a server of the region of the ingress node, at which a request would wait for over an eighth
	// of the objective, sends it back to be sent elsewhere.
	diversions int
}

// fleetResult is what a replay measures: the shares of requests that were answered within the objective, that were refused,
// and that went to the other region, and the arrivals of the busiest server relative to the mean.
type fleetResult struct {
	onTime, refused, distant, busiest float64
}

type fleetServer struct {
	dataCentre  int
	serviceTime time.Duration
	running     int
	queue       []fleetRequest
	arrivals    int
}

type fleetRequest struct {
	node, server int
	sent         time.Time
}

// fleetEvent is the end of a request that runs.
type fleetEvent struct {
	at      time.Time
	request fleetRequest
}

type fleetEvents []fleetEvent

func (e fleetEvents) Len() int           { return len(e) }
func (e fleetEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e fleetEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *fleetEvents) Push(x any)        { *e = append(*e, x.(fleetEvent)) }
func (e *fleetEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type fleetView struct {
	load    routed.Load
	at      time.Time
	pending int
}

// replay sends the requests of the fleet, each to the candidate that choose returns.
func (f largeFleet) replay(choose func([]Candidate, func(int) int) int) fleetResult {
	random := rand.New(rand.NewPCG(7, 9))
	servers := make([]*fleetServer, f.servers)
	for i := range servers {
		servers[i] = &fleetServer{dataCentre: i % f.dataCentres, serviceTime: time.Duration(float64(f.serviceTime) * (0.7 + 0.9*random.Float64()))}
	}
	views := make([][]fleetView, f.nodes)
	for i := range views {
		views[i] = make([]fleetView, f.servers)
	}
	now := time.Unix(1_000_000, 0)
	var events fleetEvents
	var result fleetResult
	total := f.perSecond * f.seconds
	start := func(s *fleetServer, r fleetRequest) {
		s.running++
		// Backend servers become slower when they are nearly full.
		load := float64(s.running) / float64(f.slots)
		took := time.Duration(float64(s.serviceTime) * (1 + load*load/4) * (0.5 + random.Float64()))
		heap.Push(&events, fleetEvent{now.Add(took), r})
	}
	report := func(r fleetRequest) {
		s, v := servers[r.server], &views[r.node][r.server]
		v.pending--
		v.at = now
		v.load = routed.Load{Known: true, Running: s.running, Waiting: len(s.queue), Slots: f.slots, ServiceTime: s.serviceTime}
	}
	for sent := range total {
		next := time.Unix(1_000_000, 0).Add(time.Duration(sent) * time.Second / time.Duration(f.perSecond))
		for len(events) > 0 && events[0].at.Before(next) {
			e := heap.Pop(&events).(fleetEvent)
			now = e.at
			s := servers[e.request.server]
			s.running--
			if len(s.queue) > 0 {
				r := s.queue[0]
				s.queue = s.queue[1:]
				start(s, r)
			}
			report(e.request)
			if now.Sub(e.request.sent) <= f.objective {
				result.onTime++
			}
		}
		now = next
		// The first data centres have twice the traffic of the last ones.
		node := random.IntN(f.nodes)
		if node%f.dataCentres >= f.dataCentres/2 && random.IntN(2) == 0 {
			node = random.IntN(f.nodes)/f.dataCentres*f.dataCentres + random.IntN(f.dataCentres/2)
			node = min(node, f.nodes-1)
		}
		var candidates []Candidate
		var chosen int
		var s *fleetServer
		var r fleetRequest
		for diversions := 0; ; diversions++ {
			candidates = make([]Candidate, f.servers)
			for i, s := range servers {
				v := views[node][i]
				distance := OtherRegion
				switch own := node % f.dataCentres; {
				case own == s.dataCentre:
					distance = SameDataCentre
				case own%2 == s.dataCentre%2:
					distance = SameRegion
				}
				candidates[i] = Candidate{Distance: distance, Load: v.load, Age: now.Sub(v.at), Pending: v.pending, Bytes: f.bytes}
			}
			chosen = choose(candidates, random.IntN)
			s, r = servers[chosen], fleetRequest{node, chosen, now}
			views[node][chosen].pending++
			wait := s.serviceTime * time.Duration(len(s.queue)+1) / time.Duration(f.slots)
			if diversions == f.diversions || candidates[chosen].Distance == OtherRegion || s.running < f.slots || wait <= f.objective/8 {
				break
			}
			report(r)
		}
		s.arrivals++
		if candidates[chosen].Distance == OtherRegion {
			result.distant++
		}
		switch {
		case s.running < f.slots:
			start(s, r)
		case len(s.queue) < f.slots*2:
			s.queue = append(s.queue, r)
		default:
			result.refused++
			report(r)
		}
	}
	busiest := slices.MaxFunc(servers, func(a, b *fleetServer) int { return a.arrivals - b.arrivals })
	result.busiest = float64(busiest.arrivals) * float64(f.servers) / float64(total)
	result.onTime, result.refused, result.distant = result.onTime/float64(total), result.refused/float64(total), result.distant/float64(total)
	return result
}

// Guards against ingress nodes that all choose the same few of many backend servers by old reports: these get several times
// the mean and refuse requests while others are free. The bounds are the shares that a random choice reaches, which
// knows no load at all.
func TestManyServersShareTheLoad(t *testing.T) {
	large := largeFleet{dataCentres: 10, servers: 72, nodes: 195, slots: 5, serviceTime: 290 * time.Millisecond, objective: 800 * time.Millisecond, perSecond: 560, bytes: 3000, seconds: 15}
	busy, short, grown, few := large, large, large, large
	busy.perSecond = 800
	short.servers, short.serviceTime, short.objective = 32, 130*time.Millisecond, 500*time.Millisecond
	grown.dataCentres, grown.servers, grown.nodes, grown.slots, grown.perSecond = 6, 21, 58, 6, 260
	few.dataCentres, few.servers, few.nodes, few.slots, few.serviceTime, few.objective, few.perSecond = 6, 10, 58, 6, 130*time.Millisecond, 500*time.Millisecond, 230
	for name, f := range map[string]largeFleet{"72 servers, half full": large, "72 servers, three quarters full": busy, "32 servers": short, "21 servers": grown, "10 servers": few} {
		got, random := f.replay(Choose), f.replay(func(c []Candidate, draw func(int) int) int { return draw(len(c)) })
		all := f.replay(chooseOfAll)
		t.Logf("%s: Choose %+.3v; random %+.3v; cheapest of all %+.3v", name, got, random, all)
		if got.onTime < random.onTime || got.refused > random.refused || got.distant > random.distant {
			t.Errorf("%s: %+.3v, a random choice %+.3v", name, got, random)
		}
		// Two samples bound the expected share at twice the mean; the rest is chance.
		if got.busiest > 2.5 {
			t.Errorf("%s: the busiest backend server gets %.2f times the mean", name, got.busiest)
		}
	}
}

// Guards against requests that wait at a server with full slots, chosen by a report from before they were taken, while others
// of the region are free.
func TestBusyServersSendRequestsElsewhere(t *testing.T) {
	for name, f := range map[string]largeFleet{
		"27 servers with short requests": {dataCentres: 4, servers: 27, nodes: 72, slots: 6, serviceTime: 60 * time.Millisecond, objective: 300 * time.Millisecond, perSecond: 1900, bytes: 500, seconds: 15},
		"19 servers with long requests":  {dataCentres: 4, servers: 19, nodes: 78, slots: 12, serviceTime: 340 * time.Millisecond, objective: 1200 * time.Millisecond, perSecond: 420, bytes: 500, seconds: 15},
		"72 servers":                     {dataCentres: 10, servers: 72, nodes: 195, slots: 5, serviceTime: 290 * time.Millisecond, objective: 800 * time.Millisecond, perSecond: 800, bytes: 3000, seconds: 15},
	} {
		waiting := f.replay(Choose)
		f.diversions = 2
		diverted := f.replay(Choose)
		t.Logf("%s: %+.3v, with diversions %+.3v", name, waiting, diverted)
		if missed, missedWaiting := 1-diverted.onTime, 1-waiting.onTime; missed > 0.8*missedWaiting || diverted.refused > waiting.refused {
			t.Errorf("%s: %+.3v, without diversions %+.3v", name, diverted, waiting)
		}
	}
}

// Guards against a sample that consists of backend servers that failed or are cold although others are usable.
func TestSampleLeavesOutFailedServers(t *testing.T) {
	var candidates []Candidate
	for i := range 40 {
		c := Candidate{Load: routed.Load{Known: true, Slots: 5, ServiceTime: 100 * time.Millisecond}, Distance: Distance(1 + i%3)}
		if i != 17 {
			c.Failures, c.Load.ColdFor = i%2, time.Duration(1-i%2)*time.Second
		}
		candidates = append(candidates, c)
	}
	for i := range 20 {
		if got := Choose(candidates, func(n int) int { return i % n }); got != 17 {
			t.Errorf("candidate %d is chosen", got)
		}
	}
	candidates[17].Failures = 1
	if got := Choose(candidates, func(int) int { return 0 }); got < 0 {
		t.Error("none is chosen if all have failed")
	}
}

// BenchmarkChoose measures the processor time of a choice.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 91, 300, 840} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			candidates := make([]Candidate, n)
			for i := range candidates {
				candidates[i] = Candidate{Distance: Distance(1 + i%3), Load: routed.Load{Known: true, Running: i % 5, Slots: 5, ServiceTime: 100 * time.Millisecond}, Age: time.Duration(i) * time.Millisecond, Bytes: 3000}
			}
			random := rand.New(rand.NewPCG(1, 1))
			for b.Loop() {
				Choose(candidates, random.IntN)
			}
		})
	}
}
