package choice

import (
	"math/rand/v2"
	"testing"
	"time"

	"heatherreel/internal/routed"
)

// server is a simulated backend server that takes a fixed time per request; ends holds when its requests end.
type server struct {
	serviceTime time.Duration
	ends        []time.Time
}

// simulate sends requests from several ingress nodes, which know the load only from the answers to their own requests,
// and returns the share that is answered within 300 ms. With atRandom, nodes choose a server at random instead of by
// Choose.
func simulate(atRandom bool, perSecond int) float64 {
	const slots, nodes, objective = 9, 12, 300 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	servers := []*server{{serviceTime: 300 * time.Millisecond}, {serviceTime: 150 * time.Millisecond}, {serviceTime: 150 * time.Millisecond}, {serviceTime: 100 * time.Millisecond}}
	type view struct {
		load    routed.Load
		at      time.Time
		pending int
	}
	var views [nodes][4]view
	type answer struct {
		at           time.Time
		node, server int
	}
	var answers []answer
	now, onTime, sent := time.Unix(0, 0), 0, 0
	for ; sent < 4000; now = now.Add(time.Second / time.Duration(perSecond)) {
		kept := answers[:0]
		for _, a := range answers {
			if a.at.After(now) {
				kept = append(kept, a)
				continue
			}
			v, s := &views[a.node][a.server], servers[a.server]
			v.pending--
			v.at = now
			v.load = routed.Load{Known: true, Running: min(slots, len(s.ends)), Waiting: max(0, len(s.ends)-slots), Slots: slots, ServiceTime: s.serviceTime}
		}
		answers = kept
		for _, s := range servers {
			running := s.ends[:0]
			for _, e := range s.ends {
				if e.After(now) {
					running = append(running, e)
				}
			}
			s.ends = running
		}
		node := random.IntN(nodes)
		chosen := random.IntN(len(servers))
		if !atRandom {
			var candidates []Candidate
			for i := range servers {
				v := views[node][i]
				candidates = append(candidates, Candidate{Load: v.load, Age: now.Sub(v.at), Pending: v.pending})
			}
			chosen = Choose(candidates, random.IntN)
		}
		s := servers[chosen]
		begin := now
		if len(s.ends) >= slots {
			begin = s.ends[len(s.ends)-slots]
		}
		end := begin.Add(s.serviceTime)
		if end.Sub(now) <= objective {
			onTime++
		}
		s.ends = append(s.ends, end)
		views[node][chosen].pending++
		answers = append(answers, answer{end, node, chosen})
		sent++
	}
	return float64(onTime) / float64(sent)
}

// Guards against ingress nodes that all choose the same backend server, or that overload a slow one.
func TestChoiceAnswersMoreOnTime(t *testing.T) {
	for _, perSecond := range []int{100, 140, 180, 205} {
		random, chosen := simulate(true, perSecond), simulate(false, perSecond)
		t.Logf("%d requests a second: %.3f on time with a random choice, %.3f with Choose", perSecond, random, chosen)
		if late, lateRandom := 1-chosen, 1-random; late > lateRandom/2 {
			t.Errorf("%d requests a second: %.3f late, against %.3f with a random choice", perSecond, late, lateRandom)
		}
	}
}

// Guards against large answers that are sent between regions although a nearby server is only somewhat busier.
func TestDistantServersCostTransfer(t *testing.T) {
	load := routed.Load{Known: true, Running: 9, Slots: 9, ServiceTime: 150 * time.Millisecond}
	near := Candidate{Instance: "near", Distance: SameRegion, Load: load, Bytes: 5000}
	far := Candidate{Instance: "far", Distance: OtherRegion, Load: routed.Load{Known: true, Slots: 9, ServiceTime: 150 * time.Millisecond}, Bytes: 5000}
	first := func(int) int { return 0 }
	if got := Choose([]Candidate{near, far}, first); got != 0 {
		t.Error("an answer of 5 KB is sent between regions")
	}
	near.Bytes, far.Bytes = 500, 500
	near.Load.Running, near.Load.Waiting = 9, 6
	if got := Choose([]Candidate{near, far}, first); got != 1 {
		t.Error("a small answer waits although a server far away is free")
	}
}

// Guards against a cold or failing backend server that is preferred because it is idle.
func TestColdAndFailingServersComeLast(t *testing.T) {
	busy := Candidate{Load: routed.Load{Known: true, Running: 8, Slots: 9, ServiceTime: 150 * time.Millisecond}}
	cold := Candidate{Load: routed.Load{Known: true, Slots: 9, ServiceTime: 150 * time.Millisecond, ColdFor: time.Second}}
	failing := Candidate{Load: routed.Load{Known: true, Slots: 9, ServiceTime: 150 * time.Millisecond}, Failures: 1}
	if busy.Cost() >= cold.Cost() || busy.Cost() >= failing.Cost() {
		t.Errorf("costs %v, cold %v, failing %v", busy.Cost(), cold.Cost(), failing.Cost())
	}
}

// Guards against counting slots above the measured ones, where a backend server is slow.
func TestMeasuredSlotsBoundTheChoice(t *testing.T) {
	load := routed.Load{Known: true, Running: 4, Slots: 6, ServiceTime: 150 * time.Millisecond}
	announced := Candidate{Load: load}
	load.MeasuredSlots = 4
	measured := Candidate{Load: load}
	if measured.Cost() < announced.Cost()+20*time.Millisecond {
		t.Errorf("cost %v with 4 of 6 slots measured, %v without", measured.Cost(), announced.Cost())
	}
}
