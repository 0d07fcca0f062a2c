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

// The target size and the sizes that lead to it.
const (
	targetMembers   = 840
	serviceCount    = 12
	regionCount     = 3
	slicesPerMember = 16
)

var memberCounts = []int{53, 210, targetMembers}

// journal counts the records that a sequence of events appends.
type journal struct {
	records, bytes int
	byKind         map[ledger.Kind]int
}

// population is the replayed state of a fleet: services spread evenly over three regions with two data centres each,
// and one group per service.
type population struct {
	state           *ledger.State
	journal         journal
	random          *rand.Rand
	slicesPerMember int
	// history holds the encoded records from offset 1 on.
	history [][]byte
	// recordIDs yields the ids of records from the seed.
	recordIDs *rand.ChaCha8
}

// newPopulation returns a fleet of n members whose slices are assigned.
func newPopulation(n, slicesEach int, seed uint64) (*population, error) {
	p := &population{
		state:           ledger.NewState(),
		random:          rand.New(rand.NewPCG(seed, 0)),
		slicesPerMember: slicesEach,
		recordIDs:       rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8), byte(seed >> 16), byte(seed >> 24)}),
	}
	p.journal.byKind = map[ledger.Kind]int{}
	for i := range n {
		if _, err := p.join(i); err != nil {
			return nil, err
		}
	}
	// The first members had nobody to choose from.
	if err := p.replaceWitnesses(nil); err != nil {
		return nil, err
	}
	for s := range serviceCount {
		if err := p.assign(groupOf(s)); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// groupOf returns the group of a service.
func groupOf(service int) keyspace.Group {
	return keyspace.Group{Service: fmt.Sprintf("service-%02d", service%serviceCount)}
}

// policy allows every member and gives new groups the slices of the members that they have.
func (p *population) policy(id keyspace.Group) placement.Policy {
	members := 0
	for _, m := range p.state.Members {
		if m.Service == id.Service {
			members++
		}
	}
	return placement.Policy{SliceCount: uint32(members * p.slicesPerMember)}
}

// identify gives the record an id.
func (p *population) identify(r *ledger.Record) error {
	id, err := uuid.NewRandomFromReader(p.recordIDs)
	r.ID = id.String()
	return err
}

// apply encodes a record, counts it and replays it. The record must take effect.
func (p *population) apply(r *ledger.Record) error {
	if err := p.identify(r); err != nil {
		return err
	}
	data, err := platformlog.Encode(r)
	if err != nil {
		return err
	}
	p.history = append(p.history, data)
	p.journal.records++
	p.journal.bytes += len(data)
	p.journal.byKind[r.Kind]++
	if rejection := p.state.Apply(p.state.Offset+1, r); rejection != ledger.Accepted {
		return fmt.Errorf("a %s record was rejected: %s", r.Kind, rejection)
	}
	return nil
}

// place returns the region and data centre of the instance with the number.
func place(number int) (region, dataCentre string) {
	region = fmt.Sprintf("region-%d", number%regionCount)
	return region, fmt.Sprintf("%s-%c", region, 'a'+number/regionCount%2)
}

// self describes an instance for the choice of witnesses.
func self(number int, incarnation ledger.Incarnation) placement.Self {
	region, dataCentre := place(number)
	return placement.Self{
		Incarnation: incarnation, Instance: fmt.Sprintf("instance-%04d", number), DataCentre: dataCentre, Region: region,
	}
}

// join adds the instance with the number.
func (p *population) join(number int) (ledger.Incarnation, error) {
	s := self(number, 0)
	address := func(port int) string { return fmt.Sprintf("10.%d.%d.%d:%d", number%6, number/250, number%250, port) }
	err := p.apply(&ledger.Record{Kind: ledger.KindJoin, Join: &ledger.Join{
		Instance: s.Instance, DataCentre: s.DataCentre, Region: s.Region,
		Addresses: ledger.Addresses{
			Nodes: address(7401), Leases: address(7402), Callers: address(7400), Operators: address(7404),
		},
		// Six instances in a row are in the six data centres, so that each service is in all of them.
		Service: groupOf(number / 6).Service, Weight: 100,
		Witnesses: placement.ChooseWitnesses(p.state, s, nil),
	}})
	return ledger.Incarnation(p.state.Offset), err
}

// publish puts a configuration in force.
func (p *population) publish(document string) error {
	return p.apply(&ledger.Record{Kind: ledger.KindConfiguration, Configuration: &ledger.Configuration{
		Base: p.state.Revision(), Document: document, Author: "operator-17", Note: "limit of one tenant",
	}})
}

// assign gives all unowned slices of a group to owners.
func (p *population) assign(id keyspace.Group) error {
	a := placement.PlanAssign(p.state, id, p.policy(id))
	if a == nil {
		return nil
	}
	return p.apply(&ledger.Record{Kind: ledger.KindAssign, Assign: a})
}

// numberOf returns the number of the instance of a member.
func numberOf(m *ledger.Member) int {
	var number int
	_, _ = fmt.Sscanf(m.Instance, "instance-%d", &number)
	return number
}

// anyMember returns a member that the seed chooses.
func (p *population) anyMember() *ledger.Member {
	list := p.sorted()
	return list[p.random.IntN(len(list))]
}
