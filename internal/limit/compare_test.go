package limit

import (
	"fmt"
	"testing"
	"time"
)

// Times of the script, in seconds after the start: the server starts cold, turns cold without saying so, and then
// shares its machine with a neighbour.
const (
	coldAgain      = 30
	neighbourFrom  = 60
	neighbourUntil = 70
	scriptEnd      = 80
)

// dayScript is the script of a server.
func dayScript() []moment {
	return []moment{
		{coldAgain * time.Second, func(m *serverModel) { m.coldness = 1 }},
		{neighbourFrom * time.Second, func(m *serverModel) { m.slowdown = 3 }},
		{neighbourUntil * time.Second, func(m *serverModel) { m.slowdown = 1 }},
	}
}

// runDay runs the script under a policy at a multiple of the capacity.
func runDay(d deployment, p policy, load float64, seed uint64) *result {
	s := newSimulation(d, p, seed)
	s.script = dayScript()
	capacity := float64(d.slots) / d.warm.Seconds()
	s.rate = func(time.Duration) float64 { return load * capacity }
	return s.run(scriptEnd * time.Second)
}

// Guards against a just-started server, or one that became cold without saying so, that receives more than it can
// handle and never becomes warm, and against a limit that stays low for one that a neighbour slows. A verbose run logs
// the figures of all policies, which docs/limits.md holds; an ordinary one compares the fixed and the adaptive limit at
// up to twice the capacity.
func TestColdServerBecomesWarmUnderLoad(t *testing.T) {
	for _, d := range deployments {
		for _, load := range []float64{1, 2, 10} {
			for _, p := range policies {
				if !testing.Verbose() && (load > 2 || p.name != "fixed" && p.name != "adaptive") {
					continue
				}
				t.Run(fmt.Sprintf("%s/%vx/%s", d.name, load, p.name), func(t *testing.T) {
					t.Parallel()
					r := runDay(d, p.create(d.slots), load, 7)
					capacity := int(float64(d.slots) / d.warm.Seconds())
					t.Logf("| %s | %v | %s | %d | %d | %v | %v | %v | %v | %d | %d |", d.name, load, p.name,
						r.doneBetween(0, scriptEnd), r.doneBetween(neighbourFrom, neighbourUntil), r.percentile(50),
						r.percentile(99), r.warm[0].Round(100*ms), r.warm[1].Round(100*ms), r.overloads, r.done)
					switch p.name {
					case "fixed":
						checkCollapse(t, r)
					case "adaptive":
						checkDay(t, r, capacity)
					}
				})
			}
		}
	}
}

// checkDay states what the adaptive limit must reach.
func checkDay(t *testing.T, r *result, capacity int) {
	for n, took := range r.warm {
		if took == 0 || took > 15*time.Second {
			t.Errorf("turn %d: warm after %v", n, took)
		}
	}
	if got := r.doneBetween(neighbourFrom, neighbourUntil); got < capacity/3*7/10 {
		t.Errorf("%d done a second while slowed 3 times, of %d possible", got, capacity/3)
	}
	if r.overloads > r.done/20 {
		t.Errorf("%d requests above what the server bears, %d done", r.overloads, r.done)
	}
}

// checkCollapse states that the model shows the failure: under a fixed limit the server stays cold.
func checkCollapse(t *testing.T, r *result) {
	if r.warm[0] != 0 || r.done > r.overloads/10 {
		t.Errorf("warm after %v, %d done: the model no longer collapses", r.warm[0], r.done)
	}
}
