package storeera

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherreel/internal/keyrange"
)

// Guards against a configuration that counts as proved by reads of an era while another node is known to have a newer one,
// against one that stays unproved for longer than RevisionDoubtPeriod, and against any doubt where the store has no eras.
func TestOlderRevisionIsNoProofInNewEra(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Revisions
		now, began := keyrange.Instant(time.Hour), keyrange.Instant(0)
		era, inForce, told, before := uint64(0), uint64(0), uint64(0), keyrange.Instant(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				before = r.ProvedAt(now)
				era, began = era+1, now
				r.BeginEra(era, now)
			case 1:
				shown := uint64(rapid.IntRange(1, 4).Draw(t, "shown"))
				r.RecordShown(shown)
				inForce = max(inForce, shown)
				r.Extend(now, inForce)
			case 2:
				revision := uint64(rapid.IntRange(1, 4).Draw(t, "told"))
				r.RecordReported(revision)
				told = max(told, revision)
			case 3:
				r.Confirm(era, []Witness{{"a", "r1"}}, map[string]Report{"a": {Era: era, Revision: 1}}, now)
				told = max(told, 1)
			}
			proved := r.ProvedAt(now)
			doubted := era > 0 && now.Sub(began) < RevisionDoubtPeriod
			if doubted && told > inForce && proved > before {
				t.Fatalf("revision %d is proved in the era while another node knows %d", inForce, told)
			}
			r.Extend(now, inForce)
			if !doubted && (era > 0 || r.shown >= inForce) && r.ProvedAt(now) != now {
				t.Fatalf("the configuration is not proved %v after the era began", now.Sub(began))
			}
			if era == 0 && r.AskDue(now) {
				t.Fatal("other nodes are asked in era 0")
			}
		}
	})
}

// Guards against a round of questions that confirms the revision without an answer from each region, with answers of nodes
// that have not seen the era, or before other members are known.
func TestRevisionIsConfirmedByEachRegion(t *testing.T) {
	start := keyrange.Instant(time.Hour)
	members := []Witness{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"a3", "a"}, {"a4", "a"}}
	asked := RevisionWitnesses(members)
	if len(asked) != 4 || asked[3].Instance != "a3" {
		t.Errorf("asked %v", asked)
	}
	for name, c := range map[string]struct {
		asked   []Witness
		answers map[string]Report
		after   time.Duration
		want    bool
	}{
		"one of each region":      {asked, map[string]Report{"a2": {Era: 1, Revision: 2}, "b1": {Era: 1, Revision: 2}}, 0, true},
		"a region is missing":     {asked, map[string]Report{"a2": {Era: 1, Revision: 2}}, 0, false},
		"an earlier version":      {asked, map[string]Report{"a2": {Era: 1, Revision: 2}, "b1": {}}, 0, false},
		"no configuration":        {asked, map[string]Report{"a2": {Era: 1, Revision: 2}, "b1": {Era: 1}}, 0, false},
		"long after the rollback": {asked, map[string]Report{"a2": {Era: 1, Revision: 3, Settled: true}}, 0, true},
		"long after another one":  {asked, map[string]Report{"a2": {Era: 2, Revision: 2, Settled: true}}, 0, false},
		"no other members yet":    {nil, nil, MembersKept - 1, false},
		"no other members at all": {nil, nil, MembersKept, true},
	} {
		var r Revisions
		r.BeginEra(1, start)
		r.RecordShown(2)
		now := start.Add(c.after)
		r.Extend(now, 2)
		r.Confirm(1, c.asked, c.answers, now)
		if got := r.ProvedAt(now) == now; got != c.want {
			t.Errorf("%s: proved %v", name, got)
		}
	}
}
