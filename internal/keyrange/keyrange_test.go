package keyrange

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func owner(n int) Owner {
	return Owner{Instance: fmt.Sprintf("i-%d", n), Server: fmt.Sprintf("s-%d", n), StartedUnixMS: int64(n)}
}

func candidates(n ...int) []Candidate {
	var all []Candidate
	for _, i := range n {
		all = append(all, Candidate{Owner: owner(i), Weight: 9})
	}
	return all
}

func ownerOf(instance string) (Owner, bool) {
	for i := range 10 {
		if o := owner(i); o.Instance == instance {
			return o, true
		}
	}
	return Owner{}, false
}

func emptyTable() *Table {
	return &Table{Service: "a", Suspicions: map[string]Suspicion{}, Lost: map[string]bool{}}
}

func keysByInstance(t *Table) map[string]int {
	n := map[string]int{}
	for _, r := range t.Ranges {
		n[r.Owner.Instance] += r.size()
	}
	return n
}

// Guards against an uneven initial assignment, and one that is made twice.
func TestInitializeSplitsKeysEvenly(t *testing.T) {
	table := emptyTable()
	if !table.Initialize(candidates(0, 1, 2, 3, 4)) || table.Initialize(candidates(1)) {
		t.Fatal("the table was not initialized exactly once")
	}
	for instance, n := range keysByInstance(table) {
		if n < KeyCount/5 || n > KeyCount/5+1 {
			t.Errorf("%s owns %d keys", instance, n)
		}
	}
}

// Guards against a drained instance whose keys all go to one other, or are granted while they move away.
func TestDrainSpreadsKeysAndStopsGrants(t *testing.T) {
	table := emptyTable()
	table.Initialize(candidates(0, 1, 2, 3, 4))
	table.Drain("i-2", candidates(0, 1, 2, 3, 4))
	if got := table.Grants(owner(2)); len(got) != 0 {
		t.Errorf("a drained owner is granted %v", got)
	}
	for _, r := range table.Outgoing("i-2") {
		table.HandOver("i-2", r.From, r.To, "token", ownerOf)
	}
	for _, n := range []int{0, 1, 3, 4} {
		if keys := keysByInstance(table)[owner(n).Instance]; keys < KeyCount/4-KeyCount/50 || keys > KeyCount/4+KeyCount/50 {
			t.Errorf("%s owns %d keys", owner(n).Instance, keys)
		}
	}
}

// Guards against a new backend server that gets no keys, or more than its share.
func TestNewCandidateGetsItsShare(t *testing.T) {
	table := emptyTable()
	table.Initialize(candidates(0, 1, 2))
	if table.MoveToNewCandidates(candidates(0, 1, 2)) != 0 {
		t.Error("keys move although they are spread evenly")
	}
	table.MoveToNewCandidates(candidates(0, 1, 2, 3))
	moved := 0
	for _, r := range table.Ranges {
		if r.Next == "i-3" {
			moved += r.size()
		}
	}
	if moved < KeyCount/4-KeyCount/50 || moved > KeyCount/4+KeyCount/50 {
		t.Errorf("the new candidate gets %d keys", moved)
	}
	if table.MoveToNewCandidates(candidates(0, 1, 2, 3)) != 0 {
		t.Error("moving keys are moved again")
	}
}

// Guards against a restarted backend server that is granted keys under the fence of its earlier run.
func TestRestartRaisesFence(t *testing.T) {
	table := emptyTable()
	table.Initialize(candidates(0, 1))
	before := table.LastFence
	restarted := owner(1)
	restarted.StartedUnixMS++
	table.ReassignToRestarted(restarted)
	for _, r := range table.Grants(restarted) {
		if r.Fence <= before {
			t.Errorf("fence %d is not above %d", r.Fence, before)
		}
	}
	if len(table.Grants(owner(1))) != 0 || len(table.Grants(restarted)) != 1 {
		t.Error("the earlier run keeps its keys")
	}
}

// Guards against a hold that outlasts the lease, so that a claim reassigns keys that a backend server still holds.
func TestHoldEndsBeforeClaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Lease
		sent := Instant(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "sent"))
		l.Extend(sent)
		now := sent.Add(time.Duration(rapid.Int64Range(0, int64(2*LeaseDuration)).Draw(t, "later")))
		hold := l.Hold(now)
		// A suspicion that the read does not show was written after the read was sent, so a claimant waits from then
		// on.
		if hold > 0 && HoldExpiry(now, hold) > sent.Add(ClaimWait) {
			t.Fatalf("hold of %v at %v outlasts the wait of a claim", hold, now)
		}
		if hold > MaxHold {
			t.Fatalf("hold of %v is above the maximum", hold)
		}
	})
}

// Guards against any sequence of changes that leaves a key without a range, lowers a fence, or changes an owner without
// a new fence.
func TestChangesKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := emptyTable()
		table.Initialize(candidates(0, 1, 2))
		pick := func(name string) int { return rapid.IntRange(0, 5).Draw(t, name) }
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			before := table.Clone()
			switch rapid.IntRange(0, 7).Draw(t, "kind") {
			case 0:
				table.Drain(owner(pick("drained")).Instance, candidates(0, 1, 2, 3))
			case 1:
				table.MoveToNewCandidates(candidates(0, 1, 2, 3, 4, 5))
			case 2:
				table.Unassign(owner(pick("lost")).Instance)
			case 3:
				table.AssignUnowned(candidates(0, 1, 4))
			case 4:
				from := uint16(rapid.IntRange(0, KeyCount-1).Draw(t, "from"))
				to := uint16(rapid.IntRange(int(from), KeyCount-1).Draw(t, "to"))
				table.HandOver(owner(pick("old owner")).Instance, from, to, "token", ownerOf)
			case 5:
				from := uint16(rapid.IntRange(0, KeyCount-1).Draw(t, "from"))
				to := uint16(rapid.IntRange(int(from), KeyCount-1).Draw(t, "to"))
				table.Move(owner(pick("old owner")).Instance, owner(pick("new owner")).Instance, from, to)
			case 6:
				restarted := owner(pick("restarted"))
				restarted.StartedUnixMS += 100
				table.ReassignToRestarted(restarted)
			case 7:
				table.Suspect(owner(pick("suspect")).Instance, "i-9")
			}
			checkInvariants(t, before, table)
		}
	})
}

func checkInvariants(t *rapid.T, before, after *Table) {
	next := 0
	for _, r := range after.Ranges {
		if int(r.From) != next || r.To < r.From {
			t.Fatalf("range %d to %d follows key %d", r.From, r.To, next-1)
		}
		next = int(r.To) + 1
		old, _ := before.Find(r.From)
		if r.Owner != (Owner{}) && r.Owner != old.Owner && r.Fence <= before.LastFence {
			t.Fatalf("range %+v has a new owner and an old fence", r)
		}
		if r.Fence < old.Fence || r.Fence > after.LastFence {
			t.Fatalf("fence of %+v was %d", r, old.Fence)
		}
		if old.Next != "" && r.Owner != old.Owner && r.Owner != (Owner{}) && r.Next != "" {
			t.Fatalf("range %+v got another owner but is still moving", r)
		}
	}
	if next != KeyCount {
		t.Fatalf("keys from %d on have no range", next)
	}
}

// Guards against keys that move to a cold backend server, which can handle few requests, while warm ones can take them.
func TestColdCandidatesGetNoKeys(t *testing.T) {
	table := emptyTable()
	table.Initialize(candidates(0, 1))
	all := candidates(0, 1, 2)
	all[2].Cold = true
	if table.MoveToNewCandidates(all) != 0 {
		t.Error("keys move to a cold new candidate")
	}
	table.Unassign("i-0")
	table.AssignUnowned(all)
	if table.Owns("i-2") {
		t.Error("a cold candidate gets the keys of a lost one")
	}
	table.Unassign("i-0")
	table.Unassign("i-1")
	all[0].Cold, all[1].Cold = true, true
	if table.AssignUnowned(all); !table.Owns("i-2") {
		t.Error("with all candidates cold, one of them gets no keys")
	}
	all[2].Cold = false
	table.Unassign("i-2")
	table.Claim("i-2")
	table.Refute("i-2")
	table.AssignUnowned(all[:2])
	if table.MoveToNewCandidates(all) == 0 {
		t.Error("no keys move to a warm new candidate")
	}
}

// Guards against a candidate with few but busy keys that is given more of them because only their number counts.
func TestNoMoveToOwnerWithFewKeys(t *testing.T) {
	table := emptyTable()
	table.Initialize(candidates(0, 1))
	table.Move("i-0", "i-1", 0, KeyCount/2-100)
	table.HandOver("i-0", 0, KeyCount/2-100, "", func(string) (Owner, bool) { return owner(1), true })
	if n := table.MoveToNewCandidates(candidates(0, 1)); n != 0 {
		t.Errorf("%d ranges move back to an owner of few keys", n)
	}
}

// Guards against handover tokens that stay in the table for ever, and against one that is dropped before the owner has
// used it.
func TestTokensAreDroppedWhenUsed(t *testing.T) {
	table := emptyTable()
	table.Initialize(candidates(0, 1))
	table.Move("i-0", "i-1", 0, 99)
	table.HandOver("i-0", 0, 99, "token", func(string) (Owner, bool) { return owner(1), true })
	table.DropTokens(owner(1), func(Range) bool { return false })
	if r, _ := table.Find(0); r.HandoverToken != "token" {
		t.Error("a token is dropped before its range was taken over")
	}
	table.DropTokens(owner(0), func(Range) bool { return true })
	if r, _ := table.Find(0); r.HandoverToken != "token" {
		t.Error("another owner drops the token")
	}
	table.DropTokens(owner(1), func(Range) bool { return true })
	if r, _ := table.Find(0); r.HandoverToken != "" {
		t.Error("a used token stays")
	}
}

// Guards against a renamed field that changes the stored form, which other versions read.
func TestStoredFieldNames(t *testing.T) {
	for want, value := range map[string]any{
		`{"Instance":"i-1","Server":"s-1","Born":1769827204538}`: Owner{Instance: "i-1", Server: "s-1", StartedUnixMS: 1769827204538},
		`{"Number":3,"By":"i-2"}`:                                Suspicion{Number: 3, By: "i-2"},
	} {
		if got, err := json.Marshal(value); err != nil || string(got) != want {
			t.Errorf("%T is stored as %s, %v; want %s", value, got, err, want)
		}
	}
}
