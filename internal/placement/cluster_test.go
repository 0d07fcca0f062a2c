package placement

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
)

// TestMain sets a fixed seed for the property tests unless one is given, so that ordinary runs are repeatable.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

const slicesPerMember = 16

var (
	orders     = keyspace.Group{Service: "orders"}
	ordersHome = keyspace.Group{Service: "orders", Home: "r1"}
)

// cluster applies records to a state and fails the test if one is not accepted.
type cluster struct {
	rapid.TB
	*ledger.State
	joined int
}

func newCluster(tb rapid.TB) *cluster { return &cluster{TB: tb, State: ledger.NewState()} }

func (c *cluster) apply(r ledger.Record) {
	c.Helper()
	if got := c.Apply(c.Offset+1, &r); got != ledger.Accepted {
		c.Fatalf("%s record: %s", r.Kind, got)
	}
}

// join adds a member with the witnesses that ChooseWitnesses returns for it.
func (c *cluster) join(region, dataCentre string, weight uint32) ledger.Incarnation {
	c.Helper()
	c.joined++
	self := Self{Instance: fmt.Sprintf("i-%d", c.joined), Region: region, DataCentre: dataCentre}
	j := &ledger.Join{Instance: self.Instance, Region: region, DataCentre: dataCentre, Service: "orders", Weight: weight}
	j.Witnesses = ChooseWitnesses(c.State, self, nil)
	c.apply(ledger.Record{Kind: ledger.KindJoin, ID: self.Instance, Join: j})
	return ledger.Incarnation(c.Offset)
}

// joinMany adds members round robin over three regions with two data centres each.
func (c *cluster) joinMany(n int) {
	c.Helper()
	for range n {
		region := c.joined % 3
		c.join(fmt.Sprintf("r%d", region), fmt.Sprintf("r%d-%c", region, 'a'+c.joined/3%2), 100)
	}
}

func (c *cluster) assign(id keyspace.Group, p Policy) {
	c.Helper()
	if a := PlanAssign(c.State, id, p); a != nil {
		c.apply(ledger.Record{Kind: ledger.KindAssign, Assign: a})
	}
}

// applyFirstMove applies the first move of a plan, settles its slices and returns their number.
func (c *cluster) applyFirstMove(plan []ledger.Move) int {
	c.Helper()
	m := plan[0]
	c.apply(ledger.Record{Kind: ledger.KindMove, Move: &m})
	for _, n := range m.Slices {
		fence := ledger.SliceFence{Slice: keyspace.SliceID{Group: m.Group, Index: n.Index}, Fence: c.Groups[m.Group].Slices[n.Index].Fence}
		settled := &ledger.Settled{Incarnation: n.To, Slices: []ledger.SliceFence{fence}}
		c.apply(ledger.Record{Kind: ledger.KindSettled, Settled: settled})
	}
	return len(m.Slices)
}

// rebalance applies moves until PlanRebalance returns none, and returns the number of records and moved slices.
func (c *cluster) rebalance(id keyspace.Group, p Policy) (records, moved int) {
	c.Helper()
	for {
		plan := PlanRebalance(c.State, id, p, DefaultRebalanceLimits)
		if len(plan) == 0 {
			return records, moved
		}
		records++
		moved += c.applyFirstMove(plan)
	}
}

// end ends a member with the successors of PlanFailover, and returns the number of these.
func (c *cluster) end(i ledger.Incarnation, p Policy) int {
	c.Helper()
	plan := PlanFailover(c.State, i, nil, func(keyspace.Group) Policy { return p })
	e := &ledger.End{Incarnation: i, SetVersion: c.Members[i].WitnessSet.Version, Successors: plan}
	c.apply(ledger.Record{Kind: ledger.KindEnd, End: e})
	return len(plan)
}

func (c *cluster) sortedMembers() []*ledger.Member {
	var list []*ledger.Member
	for _, m := range c.Members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *ledger.Member) int { return int(a.Incarnation) - int(b.Incarnation) })
	return list
}

// replaceWitnesses runs ReplaceWitnesses once for each member, one after the other, and returns how many sets changed.
func (c *cluster) replaceWitnesses() int {
	c.Helper()
	changed := 0
	for _, m := range c.sortedMembers() {
		set, changes := ReplaceWitnesses(c.State, selfOf(m), m.WitnessSet.Members, nil)
		if changes {
			changed++
			w := &ledger.Witnesses{Incarnation: m.Incarnation, Base: m.WitnessSet.Version, Witnesses: set}
			c.apply(ledger.Record{Kind: ledger.KindWitnesses, Witnesses: w})
		}
	}
	return changed
}

func selfOf(m *ledger.Member) Self {
	return Self{Incarnation: m.Incarnation, Instance: m.Instance, DataCentre: m.DataCentre, Region: m.Region}
}

// witnessLoads returns the lowest, highest and mean number of holders per member.
func (c *cluster) witnessLoads() (low, high int, mean float64) {
	load := map[ledger.Incarnation]int{}
	total := 0
	for _, m := range c.Members {
		for _, w := range m.WitnessSet.Members {
			load[w]++
			total++
		}
	}
	low = total
	for i := range c.Members {
		low, high = min(low, load[i]), max(high, load[i])
	}
	return low, high, float64(total) / float64(len(c.Members))
}
