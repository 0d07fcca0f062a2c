package routing

import (
	"fmt"
	"runtime"
	"testing"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/request"
)

func member(i ledger.Incarnation, region string) *ledger.Member {
	m := &ledger.Member{Incarnation: i}
	m.Region = region
	m.Addresses = ledger.Addresses{Nodes: fmt.Sprintf("node-%d", i), Callers: fmt.Sprintf("caller-%d", i)}
	return m
}

// TestDecide guards against a request that leaves its home regions, runs without a lease or before all sources released
// the slice, is forwarded in a loop, or is refused without a remedy.
func TestDecide(t *testing.T) {
	west, east := member(1, "west"), member(2, "east")
	cases := []struct {
		name    string
		s       Snapshot
		action  Action
		reason  request.Reason
		address string
	}{
		{"owner serves", Snapshot{Self: 1, Known: true, Owner: west, Serves: true, LeaseHeld: true}, Local, "", ""},
		{"owner without lease", Snapshot{Self: 1, Known: true, Owner: west}, Refuse, request.LeaseLapsed, ""},
		{"owner waits for release", Snapshot{Self: 1, Known: true, Owner: west, LeaseHeld: true}, Refuse, request.Moving, ""},
		{"other owner", Snapshot{Self: 1, Known: true, Owner: east}, Forward, "", "node-2"},
		{"already forwarded", Snapshot{Self: 1, Forwarded: true, Known: true, Owner: east}, Refuse, request.NotOwner, ""},
		{"group without slices", Snapshot{Self: 1}, Refuse, request.NoOwner, ""},
		{"unowned slice", Snapshot{Self: 1, Known: true}, Refuse, request.NoOwner, ""},
		{"unowned slice at home", Snapshot{Self: 1, Region: "west", Home: "west", Known: true}, Refuse, request.NoHomeOwner, ""},
		{"new group after a change", Snapshot{Self: 1, Region: "west", Home: "west", HomesChanged: true}, Refuse, request.Moving, ""},
		{"unowned after a change", Snapshot{Self: 1, Region: "west", Home: "west", HomesChanged: true, Known: true}, Refuse, request.NoHomeOwner, ""},
		{"owner outside of the home", Snapshot{Self: 1, Region: "west", Home: "west", Known: true, Owner: east}, Refuse, request.NoHomeOwner, ""},
		{"outside, owner known", Snapshot{Self: 2, Region: "east", Home: "west", Known: true, Owner: west}, Redirect, request.WrongRegion, "caller-1"},
		{"outside, other node known", Snapshot{Self: 2, Region: "east", Home: "west", HomeCallerAddress: "caller-9"}, Redirect, request.WrongRegion, "caller-9"},
		{"outside, none known", Snapshot{Self: 2, Region: "east", Home: "west"}, Refuse, request.WrongRegion, ""},
		{"outside, owner outside too", Snapshot{Self: 2, Region: "east", Home: "west", Known: true, Owner: east, Serves: true}, Refuse, request.WrongRegion, ""},
		{"outside, forwarded", Snapshot{Self: 2, Region: "east", Home: "west", Forwarded: true, Owner: west}, Refuse, request.WrongRegion, ""},
	}
	for _, c := range cases {
		got := Decide(&c.s)
		if got.Action != c.action || got.Reason != c.reason || got.Address != c.address {
			t.Errorf("%s: got %+v", c.name, got)
		}
		if (got.Remedy == "") != (got.Reason == "") {
			t.Errorf("%s: reason %q with the remedy %q", c.name, got.Reason, got.Remedy)
		}
	}
}

// TestAfterAttempt guards against running a non-idempotent request twice, and against an unproved answer "not run".
func TestAfterAttempt(t *testing.T) {
	refused := func(reason request.Reason, offset uint64) request.Answer {
		return request.Answer{Outcome: request.NotRun, Reason: reason, LedgerOffset: offset}
	}
	unknown := request.Uncertain(request.ConnectionLost, "")
	cases := []struct {
		name    string
		a       Attempt
		step    Step
		outcome request.Outcome
	}{
		{"done", Attempt{Delivery: Answered, Answer: request.Answer{Outcome: request.Done}}, Return, request.Done},
		{"done after a lost one", Attempt{Delivery: Answered, Answer: request.Answer{Outcome: request.Done}, EarlierMayHaveRun: true}, Return, request.Done},
		{"peer is ahead", Attempt{Delivery: Answered, Answer: refused(request.NotOwner, 9), Offset: 5}, WaitForOffset, request.NotRun},
		{"peer is behind", Attempt{Delivery: Answered, Answer: refused(request.NotOwner, 5), Offset: 5}, BackOff, request.NotRun},
		{"moving", Attempt{Delivery: Answered, Answer: refused(request.Moving, 0)}, BackOff, request.NotRun},
		{"limit", Attempt{Delivery: Answered, Answer: refused(request.QueueFull, 0)}, Return, request.NotRun},
		{"not sent", Attempt{Delivery: NotSent}, BackOff, request.NotRun},
		{"lost", Attempt{Delivery: Lost}, Return, request.Unknown},
		{"lost, idempotent", Attempt{Delivery: Lost, Idempotent: true}, BackOff, request.Unknown},
		{"peer lost the connection", Attempt{Delivery: Answered, Answer: unknown}, Return, request.Unknown},
		{"peer lost the connection, idempotent", Attempt{Delivery: Answered, Answer: unknown, Idempotent: true}, BackOff, request.Unknown},
		{"not sent after a lost one", Attempt{Delivery: NotSent, Idempotent: true, EarlierMayHaveRun: true}, BackOff, request.Unknown},
	}
	for _, c := range cases {
		got := AfterAttempt(c.a)
		if got.Step != c.step || got.Answer.Outcome != c.outcome {
			t.Errorf("%s: got %+v", c.name, got)
		}
		if got.MayHaveRun != (c.outcome == request.Unknown || c.a.EarlierMayHaveRun) {
			t.Errorf("%s: may have run: %t", c.name, got.MayHaveRun)
		}
		if got.Step == WaitForOffset && got.Offset != 9 {
			t.Errorf("%s: waits for %d", c.name, got.Offset)
		}
	}
}

const slicesPerMember = 16

// stateWith returns a replayed state with n members of one service, three witnesses each, and count slices.
func stateWith(tb testing.TB, n, count int) *ledger.State {
	tb.Helper()
	s := ledger.NewState()
	for i := range n {
		j := &ledger.Join{
			Instance: fmt.Sprintf("i-%08x", i), DataCentre: fmt.Sprintf("region-%d-a", i%3), Region: fmt.Sprintf("region-%d", i%3),
			Service: "orders", Weight: 100,
			Addresses: ledger.Addresses{
				Nodes: fmt.Sprintf("10.0.%d.1:7001", i), Leases: fmt.Sprintf("10.0.%d.1:7002", i),
				Callers: fmt.Sprintf("10.0.%d.1:7003", i), Operators: fmt.Sprintf("10.0.%d.1:7004", i),
			},
		}
		for w := max(0, i-3); w < i; w++ {
			j.Witnesses = append(j.Witnesses, ledger.Incarnation(w+1))
		}
		s.Apply(ledger.Offset(i+1), &ledger.Record{Kind: ledger.KindJoin, ID: fmt.Sprint(i), Join: j})
	}
	if count == 0 {
		return s
	}
	a := &ledger.Assign{Group: keyspace.Group{Service: "orders"}, Count: uint32(count)}
	for i := range a.Count {
		a.Placements = append(a.Placements, ledger.Placement{Index: i, Owner: ledger.Incarnation(i%uint32(n) + 1)})
	}
	if got := s.Apply(s.Offset+1, &ledger.Record{Kind: ledger.KindAssign, Assign: a}); got != ledger.Accepted {
		tb.Fatal(got)
	}
	return s
}

// BenchmarkDecide measures one decision with the slice lookup.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{53, 210, 840} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			state := stateWith(b, n, n*slicesPerMember)
			group := keyspace.Group{Service: "orders"}
			s := Snapshot{Self: 1, Region: "region-0"}
			var forwarded int
			for hash := uint64(0); b.Loop(); hash += 0x9e3779b97f4a7c15 {
				Lookup(state, group, hash, &s)
				if Decide(&s).Action == Forward {
					forwarded++
				}
			}
			b.ReportAllocs()
		})
	}
}

// TestDecideDoesNotAllocate guards against memory allocation on the path of every request.
func TestDecideDoesNotAllocate(t *testing.T) {
	state := stateWith(t, 53, 53*slicesPerMember)
	s := Snapshot{Self: 1, Region: "region-0"}
	allocated := testing.AllocsPerRun(100, func() {
		Lookup(state, keyspace.Group{Service: "orders"}, keyspace.Hash("key"), &s)
		Decide(&s)
	})
	if allocated != 0 {
		t.Errorf("%.1f allocations per decision", allocated)
	}
}

// heapGrowth returns the number of bytes by which the live heap grows when build is called.
func heapGrowth(build func() *ledger.State) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	state := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(state)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkStateSize reports the memory of a replayed state per member and per slice.
func BenchmarkStateSize(b *testing.B) {
	for _, n := range []int{53, 210, 840} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var members, whole float64
			for b.Loop() {
				members = heapGrowth(func() *ledger.State { return stateWith(b, n, 0) })
				whole = heapGrowth(func() *ledger.State { return stateWith(b, n, n*slicesPerMember) })
			}
			b.ReportMetric(members/float64(n), "B/member")
			b.ReportMetric((whole-members)/float64(n*slicesPerMember), "B/slice")
			b.ReportMetric(whole, "B/state")
		})
	}
}
