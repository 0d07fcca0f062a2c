package main

import (
	"fmt"
	"math/rand/v2"

	"github.com/google/uuid"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/placement"
	"heatherreel/internal/platformlog"
)

// The target size of the fleet.
const (
	targetMembers   = 840
	serviceCount    = 12
	regionCount     = 3
	slicesPerMember = 16
)

// memberCounts lists the fleet sizes that are measured, up to the target size.
var memberCounts = []int{53, 210, targetMembers}

// recordCounts counts appended records, their encoded bytes, and the records of each kind.
type recordCounts struct {
	records, bytes int
	byKind         map[ledger.Kind]int
}

// simulatedFleet is the state of a fleet without running nodes; its methods apply the records that nodes would append.
// The members of each service are spread evenly over three regions with two data centres each, and each service has one
// group.
type simulatedFleet struct {
	state           *ledger.State
	appended        recordCounts
	random          *rand.Rand
	slicesPerMember int
	// history holds all encoded records; the first has offset 1.
	history [][]byte
	// recordIDs generates the ids of records from the seed.
	recordIDs *rand.ChaCha8
}

// newSimulatedFleet returns a fleet in which all slices are assigned, with slicesEach slices per member.
func newSimulatedFleet(memberCount, slicesEach int, seed uint64) (*simulatedFleet, error) {
	sim := &simulatedFleet{
		state:           ledger.NewState(),
		random:          rand.New(rand.NewPCG(seed, 0)),
		slicesPerMember: slicesEach,
		recordIDs:       rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8), byte(seed >> 16), byte(seed >> 24)}),
	}
	sim.appended.byKind = map[ledger.Kind]int{}
	for i := range memberCount {
		if _, err := sim.addMember(i); err != nil {
			return nil, err
		}
	}
	// The first members joined when there were not enough other members to choose witnesses from.
	if err := sim.replaceWitnesses(nil); err != nil {
		return nil, err
	}
	for s := range serviceCount {
		if err := sim.assignSlices(serviceGroup(s)); err != nil {
			return nil, err
		}
	}
	return sim, nil
}

// serviceGroup returns the group of the service with the number.
func serviceGroup(service int) keyspace.Group {
	return keyspace.Group{Service: fmt.Sprintf("service-%02d", service%serviceCount)}
}

// policy returns a placement policy that allows every member. A new group gets slicesPerMember slices for each member
// of its service.
func (sim *simulatedFleet) policy(id keyspace.Group) placement.Policy {
	members := 0
	for _, m := range sim.state.Members {
		if m.Service == id.Service {
			members++
		}
	}
	return placement.Policy{SliceCount: uint32(members * sim.slicesPerMember)}
}

// setRecordID sets the next id from recordIDs on the record.
func (sim *simulatedFleet) setRecordID(r *ledger.Record) error {
	id, err := uuid.NewRandomFromReader(sim.recordIDs)
	r.ID = id.String()
	return err
}

// apply encodes, counts and replays a record. It returns an error if the record is rejected.
func (sim *simulatedFleet) apply(r *ledger.Record) error {
	if err := sim.setRecordID(r); err != nil {
		return err
	}
	data, err := platformlog.Encode(r)
	if err != nil {
		return err
	}
	sim.history = append(sim.history, data)
	sim.appended.records++
	sim.appended.bytes += len(data)
	sim.appended.byKind[r.Kind]++
	if rejection := sim.state.Apply(sim.state.Offset+1, r); rejection != ledger.Accepted {
		return fmt.Errorf("a %s record was rejected: %s", r.Kind, rejection)
	}
	return nil
}

// memberLocation returns the region and data centre of the instance with the number.
func memberLocation(number int) (region, dataCentre string) {
	region = fmt.Sprintf("region-%d", number%regionCount)
	return region, fmt.Sprintf("%s-%c", region, 'a'+number/regionCount%2)
}

// placementSelf returns the instance with the number as the planning functions of package placement expect it.
func placementSelf(number int, incarnation ledger.Incarnation) placement.Self {
	region, dataCentre := memberLocation(number)
	return placement.Self{
		Incarnation: incarnation, Instance: fmt.Sprintf("instance-%04d", number), DataCentre: dataCentre, Region: region,
	}
}

// addMember lets the instance with the number join, and returns its incarnation.
func (sim *simulatedFleet) addMember(number int) (ledger.Incarnation, error) {
	self := placementSelf(number, 0)
	address := func(port int) string { return fmt.Sprintf("10.%d.%d.%d:%d", number%6, number/250, number%250, port) }
	err := sim.apply(&ledger.Record{Kind: ledger.KindJoin, Join: &ledger.Join{
		Instance: self.Instance, DataCentre: self.DataCentre, Region: self.Region,
		Addresses: ledger.Addresses{
			Nodes: address(7401), Leases: address(7402), Callers: address(7400), Operators: address(7404),
		},
		// Six consecutive instances are in the six data centres, so that each service has members in all of them.
		Service: serviceGroup(number / 6).Service, Weight: 100,
		Witnesses: placement.ChooseWitnesses(sim.state, self, nil),
	}})
	return ledger.Incarnation(sim.state.Offset), err
}

// publishConfiguration applies a configuration record with the document.
func (sim *simulatedFleet) publishConfiguration(document string) error {
	return sim.apply(&ledger.Record{Kind: ledger.KindConfiguration, Configuration: &ledger.Configuration{
		Base: sim.state.Revision(), Document: document, Author: "operator-17", Note: "limit of one tenant",
	}})
}

// assignSlices assigns all unowned slices of a group to members.
func (sim *simulatedFleet) assignSlices(id keyspace.Group) error {
	a := placement.PlanAssign(sim.state, id, sim.policy(id))
	if a == nil {
		return nil
	}
	return sim.apply(&ledger.Record{Kind: ledger.KindAssign, Assign: a})
}

// instanceNumber returns the number in the instance name of a member.
func instanceNumber(m *ledger.Member) int {
	var number int
	_, _ = fmt.Sscanf(m.Instance, "instance-%d", &number)
	return number
}

// randomMember returns a member that is chosen with the seeded random source.
func (sim *simulatedFleet) randomMember() *ledger.Member {
	list := sim.sortedMembers()
	return list[sim.random.IntN(len(list))]
}
