// Package relay sends calls of the platform's store through other nodes while this node cannot reach the store.
//
// The other node calls the store after it received the request and returns the answer. A relayed answer therefore has
// the same guarantees as a direct one: a read returns the topic as of the start of the call or later, and an append
// keeps its condition. Nodes do not relay calls that were relayed to them.
package relay

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"heatherreel/internal/eventlog"
	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
)

const (
	// directInterval is the interval at which the store is tried directly while it is unreachable.
	directInterval = 700 * time.Millisecond
	// maxNodes bounds the nodes that are tried for one call. While no node reaches the store, each call causes up to
	// this many further calls.
	maxNodes = 3
	// relayTimeout is the timeout of a relayed call, in addition to the wait of a read. It is longer than the time after
	// which the other node's own call ends if the store is silent.
	relayTimeout = 1800 * time.Millisecond
	// maxTimeoutDoublings bounds how often the timeout doubles while relayed reads exceed it: the answers may be large
	// and arrive slowly, and a read that is given up begins again.
	maxTimeoutDoublings = 3
)

// Nodes makes calls of the store through other nodes.
type Nodes interface {
	// Addresses returns the addresses of the nodes to try, in order of preference.
	Addresses() []string
	// StoreCall makes the call through the node at address. It returns the errors of registry.Store.
	StoreCall(ctx context.Context, address string, c registry.Call) (registry.Page, error)
}

// Store is a registry.Store that relays calls through other nodes while direct calls fail. It is safe for concurrent
// use.
type Store struct {
	direct registry.Store
	nodes  Nodes
	events *eventlog.Logger
	// unreachable is set while direct calls fail. lastTried is the time of the last attempt to reach the store
	// directly, in Unix nanoseconds.
	unreachable atomic.Bool
	lastTried   atomic.Int64
	// lastNode is the address of the node that made the last relayed call; nil if that call failed.
	lastNode atomic.Pointer[string]
	// slowNode is the address of the node that last exceeded the timeout of a read; it is tried last. timeouts counts
	// the reads in a row that exceeded theirs.
	slowNode atomic.Pointer[string]
	timeouts atomic.Int32
}

var _ registry.Store = (*Store)(nil)

// New returns a Store that calls direct, or the nodes while direct calls fail.
func New(direct registry.Store, nodes Nodes, events *eventlog.Logger) *Store {
	return &Store{direct: direct, nodes: nodes, events: events}
}

// Newest implements registry.Store.
func (s *Store) Newest(ctx context.Context, topic string) (registry.Page, error) {
	return s.do(ctx, registry.Call{Operation: registry.OperationNewest, Topic: topic})
}

// Read implements registry.Store.
func (s *Store) Read(ctx context.Context, topic string, from int64, wait time.Duration) (registry.Page, error) {
	return s.do(ctx, registry.Call{Operation: registry.OperationRead, Topic: topic, From: from, Wait: wait})
}

// Append implements registry.Store.
func (s *Store) Append(ctx context.Context, topic string, at int64, r registry.Record) (int64, error) {
	page, err := s.do(ctx, registry.Call{Operation: registry.OperationAppend, Topic: topic, At: at, Record: r})
	return page.End, err
}

// Unreachable reports whether the last direct call failed.
func (s *Store) Unreachable() bool { return s.unreachable.Load() }

// do makes a call directly if the store is reachable or a new attempt is due, and through other nodes otherwise.
func (s *Store) do(ctx context.Context, c registry.Call) (registry.Page, error) {
	if s.tryDirect(time.Now()) {
		direct := c
		if s.unreachable.Load() {
			// This call only checks whether the store is reachable; waiting would delay the relayed call.
			direct.Wait = 0
		}
		page, err := direct.Do(ctx, s.direct)
		if !s.recordDirect(ctx, err) || !mayRepeat(c, err) {
			return page, err
		}
	}
	return s.relay(ctx, c)
}

// tryDirect reports whether a call goes to the store directly: always while the store is reachable, and once per
// directInterval while it is not.
func (s *Store) tryDirect(now time.Time) bool {
	if !s.unreachable.Load() {
		return true
	}
	previous := s.lastTried.Load()
	return now.UnixNano()-previous > int64(directInterval) && s.lastTried.CompareAndSwap(previous, now.UnixNano())
}

// isSlow reports whether a call failed because its answer, which was arriving, took too long. It would not arrive faster
// at another node.
func isSlow(ctx context.Context, err error) bool {
	return ctx.Err() == nil && problem.KindOf(err) == problem.Unavailable && errors.Is(err, context.DeadlineExceeded)
}

// recordDirect updates the reachability of the store after a direct call, and reports whether the store was
// unreachable.
func (s *Store) recordDirect(ctx context.Context, err error) bool {
	switch problem.KindOf(err) {
	case problem.Unavailable, problem.NotSent, problem.Overloaded:
	default:
		if err == nil && s.unreachable.Swap(false) {
			s.events.Emit(eventlog.StoreDirect)
		}
		return false
	}
	if errors.Is(ctx.Err(), context.Canceled) || isSlow(ctx, err) {
		return false
	}
	s.lastTried.Store(time.Now().UnixNano())
	if !s.unreachable.Swap(true) {
		s.events.Emit(eventlog.StoreRelayed, eventlog.Cause(err))
	}
	return true
}

// mayRepeat reports whether a failed call may be repeated at once. An append that may still take effect is not
// repeated; its caller must read the topic to learn the outcome.
func mayRepeat(c registry.Call, err error) bool {
	return c.Operation != registry.OperationAppend || problem.KindOf(err) != problem.Unavailable
}

// relay makes the call through other nodes.
func (s *Store) relay(ctx context.Context, c registry.Call) (registry.Page, error) {
	addresses := s.orderedAddresses()
	if len(addresses) > maxNodes {
		addresses = addresses[:maxNodes]
	}
	err := problem.New(problem.NotSent, "check the platform's store and the route to it", "the store is away and no other node is known")
	for _, address := range addresses {
		var page registry.Page
		var timedOut bool
		if page, timedOut, err = s.callNode(ctx, address, c); err == nil {
			s.lastNode.Store(&address)
			s.timeouts.Store(0)
			return page, nil
		}
		s.lastNode.Store(nil)
		kind := problem.KindOf(err)
		if kind == problem.Conflict || kind == problem.PastRetention || ctx.Err() != nil || !mayRepeat(c, err) {
			return registry.Page{}, err
		}
		if timedOut {
			// The node may still read the records; another one would read them over the same link.
			s.slowNode.Store(&address)
			s.timeouts.Add(1)
			return registry.Page{}, err
		}
	}
	return registry.Page{}, err
}

// orderedAddresses returns the addresses of the nodes: the one that made the last call first, a slow one last.
func (s *Store) orderedAddresses() []string {
	addresses := slices.Clone(s.nodes.Addresses())
	move := func(address *string, position int) {
		if address == nil {
			return
		}
		if i := slices.Index(addresses, *address); i >= 0 {
			addresses = slices.Insert(slices.Delete(addresses, i, i+1), min(position, len(addresses)-1), *address)
		}
	}
	move(s.slowNode.Load(), len(addresses))
	move(s.lastNode.Load(), 0)
	return addresses
}

// callNode makes a call through the node at address. timedOut reports whether the node was reached but did not answer
// in time.
func (s *Store) callNode(ctx context.Context, address string, c registry.Call) (page registry.Page, timedOut bool, err error) {
	timeout := relayTimeout
	if c.Operation != registry.OperationAppend {
		timeout <<= min(s.timeouts.Load(), maxTimeoutDoublings)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Wait+timeout)
	defer cancel()
	page, err = s.nodes.StoreCall(ctx, address, c)
	return page, err != nil && ctx.Err() != nil && problem.KindOf(err) != problem.NotSent, err
}
