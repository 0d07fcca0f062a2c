package storeera

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherreel/internal/keyrange"
)

// Guards against a malformed era that counts as a high one: all true answers would be discarded for ever.
func TestMalformedErasAreZero(t *testing.T) {
	for field, want := range map[string]uint64{"": 0, "7": 7, "-1": 0, "+2": 0, "1.5": 0, "1e3": 0, "0x1": 0, "seven": 0, "3, 4": 0,
		"1048575": MaxEra, "1048576": 0, "18446744073709551615": 0, "99999999999999999999": 0} {
		if got := Parse(field); got != want {
			t.Errorf("%q is era %d, want %d", field, got, want)
		}
	}
	if FirstFence(MaxEra+1) >= 1<<53 {
		t.Error("fences of the last era are not exact in JSON")
	}
}

// Guards against an answer of an earlier era that counts, and a first era that counts as a rollback.
func TestOnlyHighestEraCounts(t *testing.T) {
	var s Seen
	for i, c := range []struct {
		era  uint64
		want Verdict
	}{{3, First}, {3, Current}, {2, Older}, {0, Older}, {5, Newer}, {3, Older}, {5, Current}} {
		var got Verdict
		if s, got = s.Observe(c.era); got != c.want {
			t.Errorf("answer %d of era %d: verdict %d, want %d", i, c.era, got, c.want)
		}
	}
	if s.Era() != 5 {
		t.Errorf("era %d", s.Era())
	}
}

// Guards against a table that is changed while leases of an earlier era may be in force, and against a wait where the
// store has no eras.
func TestTableWaitsForLeasesOfEarlierEra(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o Ownership
		now, newerAt := keyrange.Instant(time.Hour), keyrange.Instant(0)
		seen := uint64(0)
		for i := range rapid.IntRange(1, 8).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 12_000).Draw(t, "ms")) * time.Millisecond)
			era := uint64(rapid.IntRange(0, 4).Draw(t, "era"))
			if o.Advance(era, now); i > 0 && era > seen {
				newerAt = now
			}
			seen = max(seen, era)
			found, planner := rapid.Bool().Draw(t, "found"), rapid.Bool().Draw(t, "planner")
			lastFence := FirstFence(uint64(rapid.IntRange(0, 4).Draw(t, "fence era"))) + 1
			may := o.MayChange(found, lastFence, planner, now)
			waits := found && !o.InForce(lastFence) || !found
			if may && waits && newerAt > 0 && now.Sub(newerAt) < keyrange.LeaseDuration {
				t.Fatalf("a table may be changed %v after era %d began", now.Sub(newerAt), seen)
			}
			if !may && seen == 0 {
				t.Fatal("a table may not be changed in era 0")
			}
			if o.Outdated(1, 2) != (seen > 0) {
				t.Fatalf("a lower fence is outdated in era %d: %v", seen, !(seen > 0))
			}
		}
	})
}

// Guards against an evacuation that ends with the rollback, and one that the store shows and is dropped nevertheless.
func TestEvacuationsAreKeptForLimitedTime(t *testing.T) {
	var e Evacuations
	start := time.Unix(1000, 0)
	if e.Kept("a") || e.Drop(start) != nil {
		t.Error("an evacuation is kept without a rollback")
	}
	e.BeginEra([]string{"a", "b"}, start)
	e.Show("b")
	if !e.Kept("a") || e.Kept("b") || len(e.Drop(start.Add(EvacuationsKept-1))) > 0 {
		t.Errorf("kept %v %v", e.Kept("a"), e.Kept("b"))
	}
	if got := e.Drop(start.Add(EvacuationsKept)); len(got) != 1 || got[0] != "a" || e.Kept("a") {
		t.Errorf("dropped %v", got)
	}
}
