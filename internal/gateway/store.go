package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"heatherreel/internal/eventlog"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/node"
	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
	"heatherreel/internal/routed"
	"heatherreel/internal/telemetry"
)

// observedStore counts the bytes of the store's answers, and reports the calls that end without a complete answer.
type observedStore struct {
	store   registry.Store
	events  *eventlog.Logger
	metrics *telemetry.Metrics
}

var _ registry.Store = observedStore{}

// Newest implements registry.Store.
func (s observedStore) Newest(ctx context.Context, topic string) (registry.Page, error) {
	return s.do(ctx, registry.Call{Operation: registry.OperationNewest, Topic: topic})
}

// Read implements registry.Store.
func (s observedStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) (registry.Page, error) {
	return s.do(ctx, registry.Call{Operation: registry.OperationRead, Topic: topic, From: from, Wait: wait})
}

// Append implements registry.Store.
func (s observedStore) Append(ctx context.Context, topic string, at int64, r registry.Record) (int64, error) {
	page, err := s.do(ctx, registry.Call{Operation: registry.OperationAppend, Topic: topic, At: at, Record: r})
	return page.End, err
}

// do makes the call.
func (s observedStore) do(ctx context.Context, c registry.Call) (registry.Page, error) {
	ctx, transfer := registry.TrackTransfer(ctx)
	started := time.Now()
	page, err := c.Do(ctx, s.store)
	received := transfer.Reset()
	kind := problem.KindOf(err)
	answered := err == nil || kind == problem.Conflict || kind == problem.PastRetention
	s.metrics.CountStoreAnswer(received, !answered)
	if answered {
		return page, err
	}
	ended := eventlog.ConstantText("ended", "failed")
	var netErr net.Error
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		ended = eventlog.ConstantText("ended", "interrupted")
	case errors.As(err, &netErr) && netErr.Timeout():
		ended = eventlog.ConstantText("ended", "timed_out")
	}
	s.events.Emit(eventlog.StoreCallEnded, eventlog.Name("operation", c.Operation.String()), eventlog.Name("topic", c.Topic), ended,
		eventlog.Count("received_bytes", received), eventlog.Duration("took", time.Since(started)), eventlog.Cause(err))
	return page, err
}

// maxRelayedCalls bounds the store calls that are in progress for other nodes. A node that cannot reach the store has
// three reads open, so that a few such nodes can be served.
const maxRelayedCalls = 24

// StoreCall implements node.RouterService. The call goes to the store directly and never to a third node.
func (g *Gateway) StoreCall(ctx context.Context, c registry.Call) (registry.Page, error) {
	if g.relayedCalls.Add(1) > maxRelayedCalls || g.store.Unreachable() {
		g.relayedCalls.Add(-1)
		return registry.Page{}, problem.New(problem.Overloaded, "ask another node", "this node calls the store for no other one at the moment")
	}
	defer g.relayedCalls.Add(-1)
	return c.Do(ctx, g.deps.Store)
}

// relayNodes are the nodes through which the store can be called.
type relayNodes struct{ g *Gateway }

// Addresses implements relay.Nodes. It returns the nodes of the region first, in random order.
func (n relayNodes) Addresses() []string {
	near, far := n.g.members.reachable(time.Now())
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return append(near, far...)
}

// StoreCall implements relay.Nodes. A node that has stopped responding is not called again for a while.
func (n relayNodes) StoreCall(ctx context.Context, address string, c registry.Call) (registry.Page, error) {
	if err := n.g.sendableInEra(ctx); err != nil {
		return registry.Page{}, err
	}
	page, err := n.g.deps.Peers.StoreCall(ctx, address, c)
	err = n.g.checkEra(page, err, n.g.observePeerEra)
	if state := node.PeerStateOf(err); state == node.PeerSilent || state == node.PeerRefuses {
		n.g.members.recordFailureAt(address, time.Now())
	}
	return page, err
}

// maxOwnershipAge is the age of the last read of the range tables up to which a node may take over keys: the poll
// timeout plus the time for an answer.
const maxOwnershipAge = leasePollTimeout + 500*time.Millisecond

// loadReport returns the load of the local backend server, and whether the node has read the range tables recently
// enough to take over keys.
func (g *Gateway) loadReport() routed.Load {
	l := g.server.load(time.Now())
	l.OwnershipCurrent = g.ranges.leaseRemaining(g.deps.Now()) > keyrange.LeaseDuration-maxOwnershipAge
	return l
}
