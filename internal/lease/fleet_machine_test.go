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

// Bounds of the ordinary run.
const (
	stepsPerSchedule = 25
	// slipSeeds is the number of seeds within which each slip must be found.
	slipSeeds = 50
	// seedShards is the number of parallel parts of the seeded loop, which takes about 10 s in one part.
	seedShards = 2
)

// fleetSeeds and firstSeed select the schedules of the seeded loop; the defaults are what CI runs.
var (
	fleetSeeds = flag.Uint64("fleet.seeds", slipSeeds, "number of seeded schedules without a slip")
	firstSeed  = flag.Uint64("fleet.first", 0, "first seed of the seeded schedules")
)

// TestMain fixes the seed and the number of rapid's runs, unless the command line sets them.
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

// rapidChooser lets rapid draw, and shrink, the faults of a schedule.
type rapidChooser struct{ t *rapid.T }

func (c rapidChooser) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(c.t, "choice") }

// Guards against any order of faults in which two incarnations own one slice, or in which slices stay unowned after
// the faults stopped.
func TestFleetStateMachine(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)), slips{})
		f.advance(time.Second)
		rt.Repeat(map[string]func(*rapid.T){
			"fault": func(rt *rapid.T) { f.step(rapidChooser{rt}, faults(), mixedGap) },
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

// Guards against the same failures on the seeds for which the slips below are found.
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
		f, err := runSchedule(seed, stepsPerSchedule, slips{})
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

// Guards against a simulation too weak to notice a broken rule: each slip must give two owners of a slice.
func TestSlipsAreFound(t *testing.T) {
	t.Parallel()
	for name, s := range map[string]slips{
		"change without both sets":         {changeWithoutBothSets: true},
		"promise without the wait":         {promiseWithoutWait: true},
		"ownership on unmarked answers":    {ownUnmarked: true},
		"answers counted from receipt":     {countFromReceipt: true},
		"renewal after a promise":          {renewAfterPromise: true},
		"indirect ends counted as promise": {countIndirectEnds: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(slipSeeds) {
				f, _ := runSchedule(seed, stepsPerSchedule, s)
				if f.violation != nil {
					t.Logf("seed %d: %v", seed, f.violation)
					return
				}
			}
			t.Fatalf("no double owner within %d seeds", slipSeeds)
		})
	}
}

// Guards against counting an ended witness whose own end rested on ended witnesses. Nodes 1 to 5 of a ring of nine are
// cut from the rest and the log. The rest ends 5 and 4 by promises, then 3 by a promise and the end of 4 or 5. Nodes 4
// and 5 do not know of their end and still answer 3 and 2, so that 2 and 3 hold first-level leases and mark their
// answers to 1, which owns. The end of 1 must not count that of 3.
func TestIndirectEndsDoNotCount(t *testing.T) {
	t.Parallel()
	run := func(s slips) error {
		f := newRingFleet(rand.New(rand.NewPCG(7, 1)), s, 9)
		f.advance(time.Second)
		inside := make([]bool, 9)
		for i := 1; i <= 5; i++ {
			inside[i] = true
		}
		f.cut(inside, false, f.now+20*time.Second)
		f.advance(20 * time.Second)
		if f.violation != nil {
			return f.violation
		}
		return f.recover()
	}
	if err := run(slips{}); err != nil {
		t.Fatal(err)
	}
	err := run(slips{countIndirectEnds: true})
	if err == nil {
		t.Fatal("no double owner although indirect ends were counted")
	}
	t.Logf("with indirect ends counted: %v", err)
}
