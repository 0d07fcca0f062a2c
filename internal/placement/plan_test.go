package placement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
)

// drawCluster returns a cluster with members of several weights and two assigned groups, and its policy.
func drawCluster(t *rapid.T) (*cluster, Policy) {
	c := newCluster(t)
	p := Policy{TakenOut: map[string]bool{}, Draining: map[ledger.Incarnation]bool{}, SliceCount: 64}
	weights := rapid.SampledFrom([]uint32{50, 100, 100, 200})
	for i := range rapid.IntRange(3, 24).Draw(t, "nodes") {
		c.join(fmt.Sprintf("r%d", i%3), fmt.Sprintf("r%d-%c", i%3, 'a'+i/3%2), weights.Draw(t, "weight"))
	}
	c.assign(orders, p)
	c.assign(ordersHome, p)
	return c, p
}

func (c *cluster) drawMember(t *rapid.T, label string) *ledger.Member {
	return rapid.SampledFrom(c.sortedMembers()).Draw(t, label)
}

// drawIneligible makes members ineligible: it may take out a data centre, and may mark a member as draining.
func (c *cluster) drawIneligible(t *rapid.T, p Policy) {
	if rapid.Bool().Draw(t, "take out") {
		p.TakenOut[c.drawMember(t, "in").DataCentre] = true
	}
	if rapid.Bool().Draw(t, "drain") {
		p.Draining[c.drawMember(t, "draining").Incarnation] = true
	}
}

// mayOwn reports whether a member is eligible; it restates the rule without using the code under test.
func (c *cluster) mayOwn(id keyspace.Group, p Policy, i ledger.Incarnation) bool {
	m := c.Members[i]
	return m != nil && (id == orders || m.Region == "r1") && !p.TakenOut[m.DataCentre] && !p.Draining[i]
}

// TestPlansUseEligibleMembersOnly guards against plans of any kind that assign slices to a member in a region that is
// not allowed, in a data centre that was taken out, to a stopping member or to an excluded one.
func TestPlansUseEligibleMembersOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, p := drawCluster(t)
		c.drawIneligible(t, p)
		policies := func(keyspace.Group) Policy { return p }
		from, excluded := c.drawMember(t, "from").Incarnation, c.drawMember(t, "excluded").Incarnation
		for _, n := range PlanFailover(c.State, from, map[ledger.Incarnation]bool{excluded: true}, policies) {
			if !c.mayOwn(n.Slice.Group, p, n.Owner) || n.Owner == from || n.Owner == excluded {
				t.Fatalf("failover gives %v to %d", n.Slice, n.Owner)
			}
		}
		plan := PlanDrain(c.State, from, 4, policies)
		for _, id := range []keyspace.Group{orders, ordersHome} {
			plan = append(plan, PlanRebalance(c.State, id, p, DefaultRebalanceLimits)...)
		}
		for _, m := range plan {
			for _, n := range m.Slices {
				if !c.mayOwn(m.Group, p, n.To) || n.To == m.From || len(m.Slices) > 4 {
					t.Fatalf("planned the move %+v", m)
				}
			}
		}
		c.end(from, p)
		for _, id := range []keyspace.Group{orders, ordersHome} {
			if a := PlanAssign(c.State, id, p); a != nil {
				for _, placed := range a.Placements {
					if !c.mayOwn(id, p, placed.Owner) {
						t.Fatalf("%v: slice %d was assigned to %d", id, placed.Index, placed.Owner)
					}
				}
			}
		}
	})
}

// TestAssignCoversAllSlices guards against slices that stay unowned, an uneven first assignment, and a plan that
// assigns owned slices again.
func TestAssignCoversAllSlices(t *testing.T) {
	c := newCluster(t)
	p := Policy{SliceCount: 53 * slicesPerMember}
	if PlanAssign(c.State, orders, p) != nil {
		t.Error("assigned without members")
	}
	c.joinMany(53)
	c.assign(orders, p)
	if got := Imbalance(c.State, orders, p); got != 1 {
		t.Errorf("imbalance %.3f after the first assignment", got)
	}
	if PlanAssign(c.State, orders, p) != nil {
		t.Error("assigned again although all slices are owned")
	}
	e := &ledger.End{Incarnation: 7, SetVersion: c.Members[7].WitnessSet.Version}
	c.apply(ledger.Record{Kind: ledger.KindEnd, End: e})
	if a := PlanAssign(c.State, orders, p); a == nil || len(a.Placements) != slicesPerMember {
		t.Errorf("planned %+v for %d unowned slices", a, slicesPerMember)
	}
}

// TestFailoverSpreads guards against one successor, such as a member that has just joined, that receives all slices of
// a lost member, and against successors in the lost member's data centre, which may be lost as a whole.
func TestFailoverSpreads(t *testing.T) {
	c := newCluster(t)
	p := Policy{SliceCount: 53 * slicesPerMember}
	c.joinMany(53)
	c.assign(orders, p)
	c.joinMany(1)
	lost := c.Members[10]
	received := map[ledger.Incarnation]int{}
	for _, n := range PlanFailover(c.State, 10, nil, func(keyspace.Group) Policy { return p }) {
		received[n.Owner]++
		if c.Members[n.Owner].DataCentre == lost.DataCentre {
			t.Errorf("%v goes to %d in the same data centre", n.Slice, n.Owner)
		}
	}
	if len(received) != slicesPerMember {
		t.Errorf("%d slices went to %d members", slicesPerMember, len(received))
	}
}

// TestFailoverStaysBalanced guards against a failover that gives a member far more than its share of the slices.
func TestFailoverStaysBalanced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, p := drawCluster(t)
		lost := c.drawMember(t, "lost").Incarnation
		owned, ownedOrders := len(c.Owned(lost)), len(ownedIndexes(c.Groups[orders], lost))
		eligible, weight := 0, 0.0
		for i, m := range c.Members {
			if i == lost {
				continue
			}
			weight += float64(m.Weight)
			if c.mayOwn(ordersHome, p, i) {
				eligible++
			}
		}
		// Without another member in the home region, its slices become unowned.
		if got := c.end(lost, p); eligible > 0 && got != owned {
			t.Fatalf("%d successors for %d slices", got, owned)
		}
		for i, m := range c.Members {
			more := 0
			for _, f := range c.Owned(i) {
				if f.Slice.Group == orders && f.Fence == c.Offset {
					more++
				}
			}
			// The slices are shared by at least minOutsideShare of the weight, and maxShareFactor allows twice the
			// share.
			if bound := 1 + 2*3*float64(ownedOrders)*float64(m.Weight)/weight; float64(more) > bound {
				t.Fatalf("member %d received %d of %d slices, more than %.1f", i, more, ownedOrders, bound)
			}
		}
	})
}

// TestDrainMovesEachSliceOnce guards against a drain that does not finish, leaves slices behind or moves one twice.
func TestDrainMovesEachSliceOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, p := drawCluster(t)
		from := c.drawMember(t, "from").Incarnation
		p.Draining[from] = true
		owned := len(c.Owned(from))
		moved := 0
		for {
			plan := PlanDrain(c.State, from, 4, func(keyspace.Group) Policy { return p })
			if len(plan) == 0 {
				break
			}
			moved += c.applyFirstMove(plan)
		}
		left := 0
		for _, f := range c.Owned(from) {
			if !slices.ContainsFunc(c.sortedMembers(), func(m *ledger.Member) bool { return c.mayOwn(f.Slice.Group, p, m.Incarnation) }) {
				left++
				continue
			}
			t.Fatalf("%v was not moved", f.Slice)
		}
		if moved != owned-left {
			t.Fatalf("moved %d slices, of %d", moved, owned)
		}
	})
}

// TestRebalanceConverges guards against slices that move back and forth.
func TestRebalanceConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, p := drawCluster(t)
		for i := range rapid.IntRange(1, 4).Draw(t, "joins") {
			c.join(fmt.Sprintf("r%d", i%3), fmt.Sprintf("r%d-a", i%3), 100)
		}
		before := Imbalance(c.State, orders, p)
		if records, moved := c.rebalance(orders, p); moved > 64 {
			t.Fatalf("moved %d of 64 slices in %d records", moved, records)
		}
		if after := Imbalance(c.State, orders, p); after > before {
			t.Fatalf("imbalance rose from %.2f to %.2f", before, after)
		}
	})
}

// moduloChurn returns how many of count slices change their owner when the number of members changes from before to
// after and slices are assigned by index modulo members. It is the baseline for the measured plans.
func moduloChurn(count, before, after int) int {
	changed := 0
	for i := range count {
		if i%before != i%after {
			changed++
		}
	}
	return changed
}

// TestChurn guards against plans that move more slices than necessary when a member joins, leaves or is lost.
func TestChurn(t *testing.T) {
	for _, n := range []int{5, 53, 210} {
		count := n * slicesPerMember
		p := Policy{SliceCount: uint32(count), Draining: map[ledger.Incarnation]bool{}}
		fresh := func() *cluster {
			c := newCluster(t)
			c.joinMany(n)
			c.assign(orders, p)
			return c
		}
		c := fresh()
		c.joinMany(1)
		records, moved := c.rebalance(orders, p)
		least := count / (n + 1)
		t.Logf("%d members, join: moved %d in %d records, least for full balance %d, imbalance %.3f, modulo %d of %d",
			n, moved, records, least, Imbalance(c.State, orders, p), moduloChurn(count, n, n+1), count)
		if moved > least {
			t.Errorf("a join moved %d slices, the least is %d", moved, least)
		}
		c = fresh()
		moved = c.end(1, p)
		_, more := c.rebalance(orders, p)
		t.Logf("%d members, loss: moved %d and then %d, least %d, imbalance %.3f, modulo %d of %d",
			n, moved, more, slicesPerMember, Imbalance(c.State, orders, p), moduloChurn(count, n, n-1), count)
		if moved != slicesPerMember || more > slicesPerMember {
			t.Errorf("a loss moved %d and then %d slices, the least is %d", moved, more, slicesPerMember)
		}
		c = fresh()
		p.Draining[1] = true
		moved, records = 0, 0
		for plan := PlanDrain(c.State, 1, 4, func(keyspace.Group) Policy { return p }); len(plan) > 0; {
			moved += c.applyFirstMove(plan)
			records++
			plan = PlanDrain(c.State, 1, 4, func(keyspace.Group) Policy { return p })
		}
		_, more = c.rebalance(orders, p)
		t.Logf("%d members, leave: moved %d in %d records and then %d, least %d, imbalance %.3f",
			n, moved, records, more, slicesPerMember, Imbalance(c.State, orders, p))
		if moved != slicesPerMember || more != 0 {
			t.Errorf("a leave moved %d and then %d slices, the least is %d", moved, more, slicesPerMember)
		}
	}
}

// TestPlannerRank guards against a group for which no node plans, and against two nodes that plan at the same time
// because their ranks are equal.
func TestPlannerRank(t *testing.T) {
	c := newCluster(t)
	c.joinMany(30)
	ranks := map[int]bool{}
	for i, m := range c.Members {
		rank, ok := PlannerRank(c.State, ordersHome, i)
		if ok != (m.Region == "r1") {
			t.Errorf("member %d in region %s may plan: %t", i, m.Region, ok)
		}
		if ok {
			ranks[rank] = true
		}
	}
	if len(ranks) != 10 || !ranks[0] || !ranks[9] {
		t.Errorf("the 10 planners have the ranks %v", ranks)
	}
}

// BenchmarkPlan measures each plan for one group with 16 slices per member.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{53, 210, 840} {
		c := newCluster(b)
		p := Policy{SliceCount: uint32(n * slicesPerMember)}
		policies := func(keyspace.Group) Policy { return p }
		c.joinMany(n)
		b.Run(fmt.Sprintf("assign/%d", n), func(b *testing.B) {
			for b.Loop() {
				PlanAssign(c.State, orders, p)
			}
		})
		c.assign(orders, p)
		b.Run(fmt.Sprintf("nothing/%d", n), func(b *testing.B) {
			for b.Loop() {
				PlanAssign(c.State, orders, p)
				PlanRebalance(c.State, orders, p, DefaultRebalanceLimits)
			}
		})
		b.Run(fmt.Sprintf("failover/%d", n), func(b *testing.B) {
			for b.Loop() {
				PlanFailover(c.State, 1, nil, policies)
			}
		})
		b.Run(fmt.Sprintf("drain/%d", n), func(b *testing.B) {
			for b.Loop() {
				PlanDrain(c.State, 1, 4, policies)
			}
		})
		b.Run(fmt.Sprintf("rank/%d", n), func(b *testing.B) {
			for b.Loop() {
				PlannerRank(c.State, orders, 1)
			}
		})
		c.joinMany(1)
		b.Run(fmt.Sprintf("rebalance/%d", n), func(b *testing.B) {
			for b.Loop() {
				PlanRebalance(c.State, orders, p, DefaultRebalanceLimits)
			}
		})
	}
}

// TestDataCentreLossDoesNotHerd guards against claimants that plan at the same time from the same state and all choose
// the few members with the least load, and against successors in the lost data centre.
func TestDataCentreLossDoesNotHerd(t *testing.T) {
	c := newCluster(t)
	p := Policy{SliceCount: 800 * slicesPerMember}
	c.joinMany(800)
	c.assign(orders, p)
	c.joinMany(40)
	stale := c.Clone()
	for _, m := range stale.Members {
		if m.DataCentre != "r0-a" {
			continue
		}
		plan := PlanFailover(stale, m.Incarnation, nil, func(keyspace.Group) Policy { return p })
		e := &ledger.End{Incarnation: m.Incarnation, SetVersion: m.WitnessSet.Version, Successors: plan}
		c.apply(ledger.Record{Kind: ledger.KindEnd, End: e})
	}
	if a := PlanAssign(c.State, orders, p); a != nil {
		t.Errorf("%d slices are unowned", len(a.Placements))
	}
	got := Imbalance(c.State, orders, p)
	t.Logf("%d members remain, imbalance %.2f", len(c.Members), got)
	if got > 1.5 {
		t.Errorf("imbalance %.2f", got)
	}
}

// clusterWithLoads returns a cluster whose members own the given numbers of slices.
func clusterWithLoads(t *testing.T, owned ...int) *cluster {
	c := newCluster(t)
	a := &ledger.Assign{Group: orders}
	for i, n := range owned {
		c.joinMany(1)
		for range n {
			a.Placements = append(a.Placements, ledger.Placement{Index: a.Count, Owner: ledger.Incarnation(i + 1)})
			a.Count++
		}
	}
	c.apply(ledger.Record{Kind: ledger.KindAssign, Assign: a})
	return c
}

// TestRebalanceThreshold guards against moves that gain too little to justify the interruption, against a large gap
// that stays, and against a record that moves several slices to one receiver, which may be cold.
func TestRebalanceThreshold(t *testing.T) {
	for _, c := range []struct{ high, low, moved int }{{17, 16, 0}, {18, 16, 0}, {19, 16, 1}, {24, 16, 3}} {
		records, moved := clusterWithLoads(t, c.high, c.low).rebalance(orders, Policy{})
		if moved != c.moved || records != moved {
			t.Errorf("%d and %d slices: moved %d in %d records, want %d, one a record", c.high, c.low, moved, records, c.moved)
		}
	}
}

// TestPlansLeaveUnsettledSlices guards against plans that repeat moves of unsettled slices, which the log rejects until
// the slices are settled.
func TestPlansLeaveUnsettledSlices(t *testing.T) {
	c := clusterWithLoads(t, 16, 0)
	m := &ledger.Move{Group: orders, From: 1}
	for i := range uint32(16) {
		m.Slices = append(m.Slices, ledger.MovedSlice{Index: i, Fence: c.Groups[orders].Slices[i].Fence, To: 2})
	}
	c.apply(ledger.Record{Kind: ledger.KindMove, Move: m})
	plan := PlanRebalance(c.State, orders, Policy{}, DefaultRebalanceLimits)
	plan = append(plan, PlanDrain(c.State, 2, 4, func(keyspace.Group) Policy { return Policy{} })...)
	if len(plan) != 0 {
		t.Errorf("planned %+v although no slice is settled", plan)
	}
}
