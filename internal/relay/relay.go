// Package relay calls the platform's store through other nodes while this node cannot reach it itself.
//
// The other node makes the call after it was asked and passes on the answer, so that an answer proves as much as one of
// the store: a read shows the topic as it was no earlier than when the call began, and an append keeps its condition.
// Nodes do not pass on calls that were passed on to them.
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
	// directInterval is how often the store is tried directly while it is away.
	directInterval = 700 * time.Millisecond
	// mostNodes bounds the nodes that are asked for one call. While the store is down for all, each call costs so many more.
	mostNodes = 3
	// answerTime is how long the other node has for its call beyond the wait of a read. It is above the time after which
	// that node gives up itself.
	answerTime = 1800 * time.Millisecond
)

// Nodes calls the store through other nodes.
type Nodes interface {
	// Addresses returns the nodes to ask, the best one first.
	Addresses() []string
	// StoreCall makes the call at the node at address. Errors are those of registry.Store.
	StoreCall(ctx context.Context, address string, c registry.Call) (registry.Page, error)
}

// Store is a registry.Store that goes through other nodes while the direct one fails. It is safe for concurrent use.
type Store struct {
	direct registry.Store
	nodes  Nodes
	events *eventlog.Logger
	// away is set while direct calls fail, and tried is when the last one began, in Unix nanoseconds.
	away  atomic.Bool
	tried atomic.Int64
	// last is the node that made the last call; empty if it failed.
	last atomic.Pointer[string]
}

var _ registry.Store = (*Store)(nil)

// New returns a store.
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

// Away reports whether the last direct call failed.
func (s *Store) Away() bool { return s.away.Load() }

func (s *Store) do(ctx context.Context, c registry.Call) (registry.Page, error) {
	if s.due(time.Now()) {
		direct := c
		if s.away.Load() {
			// Only whether the store answers is asked; the wait would delay the way through another node.
			direct.Wait = 0
		}
		page, err := direct.Do(ctx, s.direct)
		if !s.failed(ctx, err) || !mayRelay(c, err) {
			return page, err
		}
	}
	return s.relay(ctx, c)
}

// due reports whether a call goes to the store directly: always while that works, and at intervals while it does not.
func (s *Store) due(now time.Time) bool {
	if !s.away.Load() {
		return true
	}
	last := s.tried.Load()
	return now.UnixNano()-last > int64(directInterval) && s.tried.CompareAndSwap(last, now.UnixNano())
}

// failed notes what a direct call shows of the way to the store, and reports whether it failed for want of one.
func (s *Store) failed(ctx context.Context, err error) bool {
	switch problem.KindOf(err) {
	case problem.Unavailable, problem.NotSent, problem.Overloaded:
	default:
		if err == nil && s.away.Swap(false) {
			s.events.Emit(eventlog.StoreDirect)
		}
		return false
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return false
	}
	s.tried.Store(time.Now().UnixNano())
	if !s.away.Swap(true) {
		s.events.Emit(eventlog.StoreRelayed, eventlog.Cause(err))
	}
	return true
}

// mayRelay reports whether a call that failed directly may be made again at once. An append that may still take effect
// is left to its caller, who reads what became of it.
func mayRelay(c registry.Call, err error) bool {
	return c.Operation != registry.OperationAppend || problem.KindOf(err) != problem.Unavailable
}

// relay makes the call through other nodes.
func (s *Store) relay(ctx context.Context, c registry.Call) (registry.Page, error) {
	addresses := s.nodes.Addresses()
	if last := s.last.Load(); last != nil && slices.Contains(addresses, *last) {
		i := slices.Index(addresses, *last)
		addresses = slices.Concat([]string{*last}, addresses[:i], addresses[i+1:])
	}
	if len(addresses) > mostNodes {
		addresses = addresses[:mostNodes]
	}
	err := problem.New(problem.NotSent, "check the platform's store and the route to it", "the store is away and no other node is known")
	for _, address := range addresses {
		var page registry.Page
		if page, err = s.ask(ctx, address, c); err == nil {
			s.last.Store(&address)
			return page, nil
		}
		s.last.Store(nil)
		kind := problem.KindOf(err)
		if kind == problem.Conflict || kind == problem.Forgotten || ctx.Err() != nil || !mayRelay(c, err) {
			return registry.Page{}, err
		}
	}
	return registry.Page{}, err
}

func (s *Store) ask(ctx context.Context, address string, c registry.Call) (registry.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Wait+answerTime)
	defer cancel()
	return s.nodes.StoreCall(ctx, address, c)
}
