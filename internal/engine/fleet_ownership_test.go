package engine

import (
	"time"

	"heatherreel/internal/config"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/scenario"
	"heatherreel/internal/serving"
)

// ownerCheckInterval is how often Advance checks that no slice has two owners.
const ownerCheckInterval = 10 * time.Millisecond

// Advance implements scenario.Environment. Meanwhile it checks regularly that no slice has two owners.
func (f *fleet) Advance(d time.Duration) {
	end := time.Now().Add(d)
	for {
		f.checkOwners()
		remaining := time.Until(end)
		if remaining <= 0 {
			return
		}
		<-time.After(min(remaining, ownerCheckInterval))
	}
}

// checkOwners fails the test if two nodes would serve one slice. After a change of home regions it also checks keys.
func (f *fleet) checkOwners() {
	for id, owners := range f.nodesBySlice() {
		if len(owners) > 1 {
			f.t.Errorf("slice %s is served by %v", id, owners)
		}
	}
	if f.homeRegionsChanged {
		f.checkKeyOwners()
	}
}

// nodesBySlice returns the names of the nodes that would serve each slice now.
func (f *fleet) nodesBySlice() map[keyspace.SliceID][]string {
	nodes := map[keyspace.SliceID][]string{}
	for _, n := range f.liveNodes() {
		for _, id := range n.servableSlices() {
			nodes[id] = append(nodes[id], n.Name)
		}
	}
	return nodes
}

// servableSlices returns the slices that a node would serve now. A paused node counts as long as its lease holds,
// because it would serve them if it were resumed now.
func (n *fleetNode) servableSlices() []keyspace.SliceID {
	if n.host.Killed() {
		return nil
	}
	if _, owns := n.engine.leases.owns(time.Now()); !owns {
		return nil
	}
	var servable []keyspace.SliceID
	n.engine.serving.withLock(func(t *serving.Table) {
		for _, g := range t.Grants() {
			if state, _, _ := t.StateOf(g.Slice); state == serving.Serving {
				servable = append(servable, g.Slice)
			}
		}
	})
	return servable
}

// Ownership implements scenario.Environment.
func (f *fleet) Ownership(service string) (scenario.Ownership, error) {
	var ownership scenario.Ownership
	owningNodes := map[string]bool{}
	served := 0
	for id, owners := range f.nodesBySlice() {
		if id.Service != service {
			continue
		}
		served++
		if len(owners) > 1 {
			ownership.MultiplyOwned++
		}
		for _, name := range owners {
			owningNodes[name] = true
		}
	}
	ownership.Owners = len(owningNodes)
	ownership.Slices = f.sliceCount(service)
	ownership.Unserved = ownership.Slices - served
	return ownership, nil
}

// sliceCount returns the number of slices of a service in all its groups, as known to the first node that knows any.
func (f *fleet) sliceCount(service string) int {
	for _, n := range f.liveNodes() {
		count := 0
		n.engine.ledger.read(func(s *ledger.State, _ *config.Configuration) {
			for id, g := range s.Groups {
				if id.Service == service {
					count += len(g.Slices)
				}
			}
		})
		if count > 0 {
			return count
		}
	}
	return 0
}
