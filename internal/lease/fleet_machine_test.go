package lease_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Limits of the default run.
const (
	// stepsPerSchedule is the number of faults that a seeded schedule applies, except on a ring; see runSchedule.
	stepsPerSchedule = 25
	// bugSeeds is the number of seeds within which each injected bug must be detected.
	bugSeeds = 50
	// seedShards is the number of parallel shards of the seeded schedules, which take about 10 s in one shard.
	seedShards = 2
)

// fleetSeeds and firstSeed select the seeded schedules; CI runs the defaults.
var (
	fleetSeeds = flag.Uint64("fleet.seeds", bugSeeds, "number of seeded schedules without an injected bug")
	firstSeed  = flag.Uint64("fleet.first", 0, "first seed of the seeded schedules")
)

// TestMain sets a fixed seed and number of checks for rapid, unless the command line sets them.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "30"} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// rapidChooser lets rapid draw and shrink the faults of a schedule.
type rapidChooser struct{ t *rapid.T }

func (c rapidChooser) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(c.t, "choice") }

// Guards against any sequence of faults under which two incarnations own one slice, or after which slices stay unowned
// although the faults have stopped.
func TestFleetStateMachine(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)), injectedBugs{})
		f.advance(time.Second)
		rt.Repeat(map[string]func(*rapid.T){
			"fault": func(rt *rapid.T) { f.step(rapidChooser{rt}, mixedFaults(), mixedFaultGap) },
			"": func(rt *rapid.T) {
				if f.violation != nil {
					rt.Fatal(f.violation)
				}
			},
		})
		if err := f.recover(); err != nil {
			rt.Fatal(err)
		}
	})
}

// Guards against the same failures under the seeded schedules, with which the injected bugs below are detected.
func TestFleetOnSeeds(t *testing.T) {
	t.Parallel()
	for shard := range uint64(seedShards) {
		t.Run(fmt.Sprintf("shard %d", shard), func(t *testing.T) {
			t.Parallel()
			runSeeds(t, shard)
		})
	}
}

// runSeeds runs the schedules of one shard.
func runSeeds(t *testing.T, shard uint64) {
	var total fleetStats
	for seed := *firstSeed + shard; seed < *firstSeed+*fleetSeeds; seed += seedShards {
		f, err := runSchedule(seed, stepsPerSchedule, injectedBugs{})
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		total.add(f.stats)
	}
	t.Logf("of %d schedules: %+v", *fleetSeeds, total)
	wanted := *fleetSeeds / seedShards / 2
	if uint64(min(total.ends, total.indirectEnds, total.setChanges, total.logRenewals)) < wanted {
		t.Fatalf("the schedules do not exercise the protocol: %+v", total)
	}
}

func (s *fleetStats) add(o fleetStats) {
	s.ends += o.ends
	s.indirectEnds += o.indirectEnds
	s.setChanges += o.setChanges
	s.logRenewals += o.logRenewals
	s.joins += o.joins
	s.promises += o.promises
}

// Guards against a simulation that cannot detect a violated rule: each injected bug must lead to two owners of a slice.
func TestInjectedBugsAreFound(t *testing.T) {
	t.Parallel()
	for name, bugs := range map[string]injectedBugs{
		"change without both sets":         {changeSetWithoutProposal: true},
		"promise without the wait":         {promiseWithoutWait: true},
		"ownership on unmarked answers":    {ownOnUnmarkedAnswers: true},
		"answers counted from receipt":     {countFromReceipt: true},
		"renewal after a promise":          {renewAfterPromise: true},
		"indirect ends counted as promise": {countIndirectEnds: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(bugSeeds) {
				f, _ := runSchedule(seed, stepsPerSchedule, bugs)
				if f.violation != nil {
					t.Logf("seed %d: %v", seed, f.violation)
					return
				}
			}
			t.Fatalf("no slice had two owners within %d seeds", bugSeeds)
		})
	}
}

// Guards against counting an ended witness whose own end was indirect. Nodes 1 to 5 of a ring of nine are partitioned
// from the others and from the log. The others end 5 and 4 by promises, then 3 by a promise and the end of 4 or 5.
// Nodes 4 and 5 have not read their end and still answer 3 and 2, so that 2 and 3 have first-level leases and mark
// their answers to 1, which therefore owns slices. A claim against 1 must not count the end of 3.
func TestIndirectEndsDoNotCount(t *testing.T) {
	t.Parallel()
	run := func(bugs injectedBugs) error {
		f := newRingFleet(rand.New(rand.NewPCG(7, 1)), bugs, 9)
		f.advance(time.Second)
		inside := make([]bool, 9)
		for i := 1; i <= 5; i++ {
			inside[i] = true
		}
		f.partition(inside, false, f.now+20*time.Second)
		f.advance(20 * time.Second)
		if f.violation != nil {
			return f.violation
		}
		return f.recover()
	}
	if err := run(injectedBugs{}); err != nil {
		t.Fatal(err)
	}
	err := run(injectedBugs{countIndirectEnds: true})
	if err == nil {
		t.Fatal("no slice had two owners although indirect ends were counted")
	}
	t.Logf("with indirect ends counted: %v", err)
}
