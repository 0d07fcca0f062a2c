package limit

import (
	"testing"
	"time"
)

// shareOfSlices is a node's share of the 64 slices of a group among 6 nodes.
const shareOfSlices = 11

// pace is how slices come to a node that has just joined.
type pace struct {
	name string
	// slices come with each move, one move each interval.
	slices   int
	interval time.Duration
}

// paces are the ways that are compared. The third is placement.DefaultRebalance with the engine's rebalanceDelay.
var paces = []pace{
	{"all at once", shareOfSlices, time.Second},
	{"4 each second", 4, time.Second},
	{"1 each second", 1, time.Second},
	{"1 each 2 seconds", 1, 2 * time.Second},
}

// share returns the share of its slices that a node has at a time after its first move.
func (p pace) share(since time.Duration) float64 {
	moves := 1 + int(since/p.interval)
	return min(float64(p.slices*moves)/shareOfSlices, 1)
}

// pacedRun runs a just-started server for 30 s that receives its share of a load. The full share is half of the
// capacity, as in a fleet that is not overloaded.
func pacedRun(d deployment, p policy, moves pace) *result {
	s := newSimulation(d, p, 7)
	s.rate = func(since time.Duration) float64 {
		return moves.share(since) * float64(d.slots) / d.warm.Seconds() / 2
	}
	return s.run(30 * time.Second)
}

// Guards against a server that the pace of moves keeps cold, and against a pace that gains nothing over the one before.
// A verbose run logs the figures that docs/limits.md holds.
func TestPaceOfMovesSuffices(t *testing.T) {
	for _, d := range deployments {
		refused := map[string]int{}
		for _, moves := range paces {
			for _, p := range policies {
				if p.name != "fixed" && p.name != "adaptive" {
					continue
				}
				r := pacedRun(d, p.create(d.slots), moves)
				t.Logf("| %s | %s | %s | %d | %d | %v | %v | %d |", d.name, p.name, moves.name, r.offered, r.offered-r.done,
					r.percentile(99), r.warm[0].Round(100*ms), r.overloads)
				refused[p.name+moves.name] = r.offered - r.done
				if p.name == "adaptive" && (r.warm[0] == 0 || r.warm[0] > 15*time.Second) {
					t.Errorf("%s, %s: warm after %v", d.name, moves.name, r.warm[0])
				}
			}
		}
		if now, before := refused["adaptive"+paces[2].name], refused["adaptive"+paces[1].name]; now > before/2 {
			t.Errorf("%s: %d requests not done with one slice a second, %d with four", d.name, now, before)
		}
	}
}
