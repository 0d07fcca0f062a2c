package limit

import (
	"fmt"
	"testing"
	"time"
)

// Times of the scripted changes, in seconds after the start: the server starts cold, becomes cold again without
// announcing it, and is then slowed by another program on its machine (a noisy neighbour).
const (
	coldAgain      = 30
	neighbourFrom  = 60
	neighbourUntil = 70
	scriptEnd      = 80
)

// serverScript returns the scripted changes of a server.
func serverScript() []scriptedChange {
	return []scriptedChange{
		{coldAgain * time.Second, func(m *serverModel) { m.coldness = 1 }},
		{neighbourFrom * time.Second, func(m *serverModel) { m.slowdown = 3 }},
		{neighbourUntil * time.Second, func(m *serverModel) { m.slowdown = 1 }},
	}
}

// runScript simulates the script with a policy at a load that is a multiple of the capacity.
func runScript(d deployment, p policy, load float64, seed uint64) *result {
	s := newSimulation(d, p, seed)
	s.script = serverScript()
	capacity := float64(d.slots) / d.warm.Seconds()
	s.rate = func(time.Duration) float64 { return load * capacity }
	return s.run(scriptEnd * time.Second)
}

// Guards against a server that has just started, or became cold without announcing it, and never becomes warm because
// it receives more requests than it can handle, and against a limit that stays too low for a server that another
// program slows. A verbose run logs the figures of all policies for docs/limits.md; a normal run compares the fixed and
// the adaptive limit at up to twice the capacity.
func TestColdServerBecomesWarmUnderLoad(t *testing.T) {
	for _, d := range deployments {
		for _, load := range []float64{1, 2, 10} {
			for _, p := range policies {
				if !testing.Verbose() && (load > 2 || p.name != "fixed" && p.name != "adaptive") {
					continue
				}
				t.Run(fmt.Sprintf("%s/%vx/%s", d.name, load, p.name), func(t *testing.T) {
					t.Parallel()
					r := runScript(d, p.create(d.slots), load, 7)
					capacity := int(float64(d.slots) / d.warm.Seconds())
					t.Logf("| %s | %v | %s | %d | %d | %v | %v | %v | %v | %d | %d |", d.name, load, p.name,
						r.doneBetween(0, scriptEnd), r.doneBetween(neighbourFrom, neighbourUntil), r.percentile(50),
						r.percentile(99), r.warm[0].Round(100*ms), r.warm[1].Round(100*ms), r.overloads, r.done)
					switch p.name {
					case "fixed":
						checkCollapse(t, r)
					case "adaptive":
						checkAdaptive(t, r, capacity)
					}
				})
			}
		}
	}
}

// checkAdaptive checks what the adaptive limit must achieve.
func checkAdaptive(t *testing.T, r *result, capacity int) {
	for period, warmUpTime := range r.warm {
		if warmUpTime == 0 || warmUpTime > 15*time.Second {
			t.Errorf("cold period %d: warm after %v", period, warmUpTime)
		}
	}
	if got := r.doneBetween(neighbourFrom, neighbourUntil); got < capacity/3*7/10 {
		t.Errorf("%d done a second while slowed 3 times, of %d possible", got, capacity/3)
	}
	if r.overloads > r.done/20 {
		t.Errorf("%d requests above the capacity of the server, %d done", r.overloads, r.done)
	}
}

// checkCollapse checks that the model reproduces the failure: with a fixed limit the server stays cold.
func checkCollapse(t *testing.T, r *result) {
	if r.warm[0] != 0 || r.done > r.overloads/10 {
		t.Errorf("warm after %v, %d done: the model no longer collapses", r.warm[0], r.done)
	}
}
