package limit

import (
	"testing"
	"time"
)

// slicesPerNode is the number of slices of each of 6 nodes that own the 64 slices of a group.
const slicesPerNode = 11

// moveRate is the rate at which slices move to a node that has just joined.
type moveRate struct {
	name string
	// slices is the number of slices that move in each interval.
	slices   int
	interval time.Duration
}

// moveRates are the rates that are compared. The third is placement.DefaultRebalanceLimits with the engine's
// rebalanceDelay.
var moveRates = []moveRate{
	{"all at once", slicesPerNode, time.Second},
	{"4 each second", 4, time.Second},
	{"1 each second", 1, time.Second},
	{"1 each 2 seconds", 1, 2 * time.Second},
}

// ownedFraction returns the fraction of its slices that a node owns at a time after the first move.
func (p moveRate) ownedFraction(since time.Duration) float64 {
	moves := 1 + int(since/p.interval)
	return min(float64(p.slices*moves)/slicesPerNode, 1)
}

// runWithMoves simulates the first 30 s of a server whose load grows with the slices that its node owns. The load of
// all its slices is half of the capacity, as in a fleet that is not overloaded.
func runWithMoves(d deployment, p policy, moves moveRate) *result {
	s := newSimulation(d, p, 7)
	s.rate = func(since time.Duration) float64 {
		return moves.ownedFraction(since) * float64(d.slots) / d.warm.Seconds() / 2
	}
	return s.run(30 * time.Second)
}

// Guards against a server that stays cold because slices move to it too fast, and against a move rate that is no better
// than the one used before. A verbose run logs the figures for docs/limits.md.
func TestServerWarmsUpAtMoveRate(t *testing.T) {
	for _, d := range deployments {
		refused := map[string]int{}
		for _, moves := range moveRates {
			for _, p := range policies {
				if p.name != "fixed" && p.name != "adaptive" {
					continue
				}
				r := runWithMoves(d, p.create(d.slots), moves)
				t.Logf("| %s | %s | %s | %d | %d | %v | %v | %d |", d.name, p.name, moves.name, r.offered, r.offered-r.done,
					r.percentile(99), r.warm[0].Round(100*ms), r.overloads)
				refused[p.name+moves.name] = r.offered - r.done
				if p.name == "adaptive" && (r.warm[0] == 0 || r.warm[0] > 15*time.Second) {
					t.Errorf("%s, %s: warm after %v", d.name, moves.name, r.warm[0])
				}
			}
		}
		if now, before := refused["adaptive"+moveRates[2].name], refused["adaptive"+moveRates[1].name]; now > before/2 {
			t.Errorf("%s: %d requests not done with one slice a second, %d with four", d.name, now, before)
		}
	}
}
