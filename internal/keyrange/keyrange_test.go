package keyrange

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func owner(n int) Owner {
	return Owner{Instance: fmt.Sprintf("i-%d", n), Server: fmt.Sprintf("s-%d", n), Born: int64(n)}
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

func empty() *Table {
	return &Table{Service: "a", Suspicions: map[string]Suspicion{}, Lost: map[string]bool{}}
}

func keysOf(t *Table) map[string]int {
	n := map[string]int{}
	for _, r := range t.Ranges {
		n[r.Owner.Instance] += r.size()
	}
	return n
}

// Guards against a founded table whose ranges are uneven.
func TestFoundSharesKeysEvenly(t *testing.T) {
	table := empty()
	if !table.Found(candidates(0, 1, 2, 3, 4)) || table.Found(candidates(1)) {
		t.Fatal("a table is founded once")
	}
	for instance, n := range keysOf(table) {
		if n < Keys/5 || n > Keys/5+1 {
			t.Errorf("%s owns %d keys", instance, n)
		}
	}
}

// Guards against a leaving backend server whose keys all go to one other, or are granted while they leave.
func TestLeaveSpreadsKeysAndStopsGrants(t *testing.T) {
	table := empty()
	table.Found(candidates(0, 1, 2, 3, 4))
	table.Leave("i-2", candidates(0, 1, 2, 3, 4))
	if got := table.Grants(owner(2)); len(got) != 0 {
		t.Errorf("a leaving owner is granted %v", got)
	}
	for _, r := range table.Leaving("i-2") {
		table.HandOver("i-2", r.From, r.To, "token", ownerOf)
	}
	for _, n := range []int{0, 1, 3, 4} {
		if keys := keysOf(table)[owner(n).Instance]; keys < Keys/4-Keys/50 || keys > Keys/4+Keys/50 {
			t.Errorf("%s owns %d keys", owner(n).Instance, keys)
		}
	}
}

// Guards against a new backend server that gets no keys.
func TestWelcomeMovesKeysToNewcomer(t *testing.T) {
	table := empty()
	table.Found(candidates(0, 1, 2))
	if table.Welcome(candidates(0, 1, 2)) != 0 {
		t.Error("an even table moves keys")
	}
	table.Welcome(candidates(0, 1, 2, 3))
	moved := 0
	for _, r := range table.Ranges {
		if r.Next == "i-3" {
			moved += r.size()
		}
	}
	if moved < Keys/4-Keys/50 || moved > Keys/4+Keys/50 {
		t.Errorf("the newcomer gets %d keys", moved)
	}
	if table.Welcome(candidates(0, 1, 2, 3)) != 0 {
		t.Error("keys on the move are moved again")
	}
}

// Guards against a restarted backend server that is granted keys under the fence of its earlier life.
func TestAdoptRaisesFence(t *testing.T) {
	table := empty()
	table.Found(candidates(0, 1))
	before := table.LastFence
	again := owner(1)
	again.Born++
	table.Adopt(again)
	for _, r := range table.Grants(again) {
		if r.Fence <= before {
			t.Errorf("fence %d is not above %d", r.Fence, before)
		}
	}
	if len(table.Grants(owner(1))) != 0 || len(table.Grants(again)) != 1 {
		t.Error("the earlier life keeps its keys")
	}
}

// Guards against a hold that outlives the lease, and a claim that comes before the hold has ended.
func TestHoldEndsBeforeClaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Lease
		sent := Instant(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "sent"))
		l.Confirm(sent)
		now := sent.Add(time.Duration(rapid.Int64Range(0, int64(2*LeaseTime)).Draw(t, "later")))
		hold := l.Hold(now)
		// A suspicion that the read did not show was acknowledged after the read was sent.
		if hold > 0 && HoldEnds(now, hold) > sent.Add(ClaimWait) {
			t.Fatalf("hold of %v at %v outlives the claim", hold, now)
		}
		if hold > HoldTime {
			t.Fatalf("hold of %v", hold)
		}
	})
}

// Guards against any order of changes that leaves a key without a range, lowers a fence, or changes an owner without a
// new fence.
func TestChangesKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := empty()
		table.Found(candidates(0, 1, 2))
		pick := func(name string) int { return rapid.IntRange(0, 5).Draw(t, name) }
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			before := table.Clone()
			switch rapid.IntRange(0, 7).Draw(t, "kind") {
			case 0:
				table.Leave(owner(pick("leaver")).Instance, candidates(0, 1, 2, 3))
			case 1:
				table.Welcome(candidates(0, 1, 2, 3, 4, 5))
			case 2:
				table.Vacate(owner(pick("lost")).Instance)
			case 3:
				table.Fill(candidates(0, 1, 4))
			case 4:
				from := uint16(rapid.IntRange(0, Keys-1).Draw(t, "from"))
				to := uint16(rapid.IntRange(int(from), Keys-1).Draw(t, "to"))
				table.HandOver(owner(pick("giver")).Instance, from, to, "token", ownerOf)
			case 5:
				from := uint16(rapid.IntRange(0, Keys-1).Draw(t, "from"))
				to := uint16(rapid.IntRange(int(from), Keys-1).Draw(t, "to"))
				table.Move(owner(pick("giver")).Instance, owner(pick("taker")).Instance, from, to)
			case 6:
				again := owner(pick("restarted"))
				again.Born += 100
				table.Adopt(again)
			case 7:
				table.Suspect(owner(pick("suspect")).Instance, "i-9")
			}
			checkTable(t, before, table)
		}
	})
}

func checkTable(t *rapid.T, before, after *Table) {
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
			t.Fatalf("range %+v changed its owner while it moves", r)
		}
	}
	if next != Keys {
		t.Fatalf("keys from %d on have no range", next)
	}
}

// Guards against keys that move to a cold backend server, which bears few requests, while warm ones can take them.
func TestColdCandidatesGetNoKeys(t *testing.T) {
	table := empty()
	table.Found(candidates(0, 1))
	all := candidates(0, 1, 2)
	all[2].Cold = true
	if table.Welcome(all) != 0 {
		t.Error("keys move to a cold newcomer")
	}
	table.Vacate("i-0")
	table.Fill(all)
	if table.Owns("i-2") {
		t.Error("a cold candidate gets the keys of a lost one")
	}
	table.Vacate("i-0")
	table.Vacate("i-1")
	all[0].Cold, all[1].Cold = true, true
	if table.Fill(all); !table.Owns("i-2") {
		t.Error("with all candidates cold, one of them gets no keys")
	}
	all[2].Cold = false
	table.Vacate("i-2")
	table.Claim("i-2")
	table.Refute("i-2")
	table.Fill(all[:2])
	if table.Welcome(all) == 0 {
		t.Error("no keys move to a newcomer that is warm")
	}
}

// Guards against a candidate whose keys carry much load, and which therefore has few, that is given more by their number.
func TestFewBusyKeysAreNotMore(t *testing.T) {
	table := empty()
	table.Found(candidates(0, 1))
	table.Move("i-0", "i-1", 0, Keys/2-100)
	table.HandOver("i-0", 0, Keys/2-100, "", func(string) (Owner, bool) { return owner(1), true })
	if n := table.Welcome(candidates(0, 1)); n != 0 {
		t.Errorf("%d ranges move back to an owner of few keys", n)
	}
}

// Guards against tokens that stay in the table for ever, and against one that is dropped before its owner has used it.
func TestTokensAreDroppedWhenUsed(t *testing.T) {
	table := empty()
	table.Found(candidates(0, 1))
	table.Move("i-0", "i-1", 0, 99)
	table.HandOver("i-0", 0, 99, "token", func(string) (Owner, bool) { return owner(1), true })
	table.DropTokens(owner(1), func(Range) bool { return false })
	if r, _ := table.Find(0); r.Handover != "token" {
		t.Error("a token is dropped before its range was taken")
	}
	table.DropTokens(owner(0), func(Range) bool { return true })
	if r, _ := table.Find(0); r.Handover != "token" {
		t.Error("another owner drops the token")
	}
	table.DropTokens(owner(1), func(Range) bool { return true })
	if r, _ := table.Find(0); r.Handover != "" {
		t.Error("a used token stays")
	}
}
