package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"heatherreel/internal/keyrange"
	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
	"heatherreel/internal/routed"
)

// mostRelayed bounds the calls of the store that are in progress for other nodes. A node that does not reach the store has
// three reads open, so that a few such nodes are served.
const mostRelayed = 24

// StoreCall implements node.RouterService. The call goes to the store itself and never to a third node.
func (g *Gateway) StoreCall(ctx context.Context, c registry.Call) (registry.Page, error) {
	if g.relayed.Add(1) > mostRelayed || g.store.Away() {
		g.relayed.Add(-1)
		return registry.Page{}, problem.New(problem.Overloaded, "ask another node", "this node calls the store for no other one at the moment")
	}
	defer g.relayed.Add(-1)
	return c.Do(ctx, g.deps.Store)
}

// storeNodes are the nodes through which the store can be called.
type storeNodes struct{ g *Gateway }

// Addresses implements relay.Nodes: the nodes of the region first, in random order.
func (n storeNodes) Addresses() []string {
	near, far := n.g.members.reachable(time.Now())
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return append(near, far...)
}

// StoreCall implements relay.Nodes.
func (n storeNodes) StoreCall(ctx context.Context, address string, c registry.Call) (registry.Page, error) {
	return n.g.deps.Peers.StoreCall(ctx, address, c)
}

// currentAge is the age of the last read of the ownership up to which a node counts as current: its poll and the time of
// an answer.
const currentAge = leasePoll + 500*time.Millisecond

// report returns the load of the backend server, and whether the node can take over keys.
func (g *Gateway) report() routed.Load {
	l := g.server.load(time.Now())
	l.Current = g.ranges.leaseLeft(g.deps.Now()) > keyrange.LeaseTime-currentAge
	return l
}
