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
	"sync"
	"sync/atomic"
	"time"

	"heatherreel/internal/eventlog"
	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
)

const (
	// directInterval is the interval at which the store is tried directly while it is unreachable. It is longer than
	// probeTimeout.
	directInterval = 700 * time.Millisecond
	// maxNodes bounds the nodes that are tried for one call. While no node reaches the store, each call causes up to
	// this many further calls.
	maxNodes = 3
	// probeTimeout bounds a probe of the unreachable store. The store counts as reachable if it is 60 times slower than
	// usual, at 4 ms.
	probeTimeout = 600 * time.Millisecond
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
	// scheduleProbe schedules a call of Probe after a delay.
	scheduleProbe func(time.Duration)
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
	// regainedAt is when the store was last found reachable again, in Unix nanoseconds.
	regainedAt atomic.Int64
	// nextRead is the read that continues the last completed one; nil before the first.
	nextRead atomic.Pointer[registry.Call]

	// mu guards detours. No other lock of this process's tables is acquired while it is held.
	mu sync.Mutex
	// detours are the reads in progress that began while the store was unreachable. They end when it is reachable again.
	detours map[*detour]struct{}
}

// detour is a read that is given up for a direct one once the store is reachable, unless its answer already arrives.
type detour struct {
	giveUp   context.CancelCauseFunc
	transfer *registry.Transfer
}

// errReachable is the cause of the end of a detour.
var errReachable = errors.New("the store is reachable")

var _ registry.Store = (*Store)(nil)

// New returns a Store that calls direct, or the nodes while direct calls fail. scheduleProbe schedules a call of Probe; it
// must not block.
func New(direct registry.Store, nodes Nodes, events *eventlog.Logger, scheduleProbe func(time.Duration)) *Store {
	return &Store{direct: direct, nodes: nodes, events: events, scheduleProbe: scheduleProbe, detours: map[*detour]struct{}{}}
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

// do makes a call directly if the store is reachable or a new attempt is due, and through other nodes otherwise. It
// begins a read again if the store has become reachable meanwhile.
func (s *Store) do(ctx context.Context, c registry.Call) (registry.Page, error) {
	for {
		page, err := s.doOnce(ctx, c)
		if errors.Is(err, errReachable) && ctx.Err() == nil {
			continue
		}
		if err == nil && c.Operation != registry.OperationAppend {
			s.nextRead.Store(&registry.Call{Operation: registry.OperationRead, Topic: c.Topic, From: page.End})
		}
		return page, err
	}
}

// doOnce makes a call. The error of a read that is to begin again is errReachable.
func (s *Store) doOnce(ctx context.Context, c registry.Call) (registry.Page, error) {
	if s.tryDirect(time.Now()) {
		direct, started := c, time.Now()
		callCtx, end := ctx, func() {}
		if s.unreachable.Load() {
			// This call only checks whether the store is reachable; waiting would delay the relayed call.
			direct.Wait = 0
			callCtx, end = s.beginDetour(ctx, c)
		}
		page, err := direct.Do(callCtx, s.direct)
		end()
		if err != nil && context.Cause(callCtx) == errReachable {
			return registry.Page{}, errReachable
		}
		if !s.recordDirect(ctx, started, err) {
			return page, err
		}
		s.lastTried.Store(time.Now().UnixNano())
		if !mayRepeat(c, err) {
			return page, err
		}
	}
	return s.relay(ctx, c)
}

// Probe makes a short direct call if the store is unreachable, and schedules the next one. While all readers wait for
// other nodes, no other call finds out that the store is reachable again.
func (s *Store) Probe(ctx context.Context) {
	if !s.unreachable.Load() {
		return
	}
	started := time.Now()
	defer func() { s.scheduleProbe(time.Until(started.Add(directInterval))) }()
	read := s.nextRead.Load()
	if read == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := read.Do(ctx, s.direct)
	s.recordDirect(ctx, started, err)
}

// beginDetour returns the context of a call that begins while the store is unreachable. It ends with the cause
// errReachable when the store is reachable again, except for an append, which must not be repeated. end must be called
// after the call.
func (s *Store) beginDetour(ctx context.Context, c registry.Call) (callCtx context.Context, end func()) {
	if c.Operation == registry.OperationAppend {
		return ctx, func() {}
	}
	ctx, transfer := registry.TrackTransfer(ctx)
	ctx, giveUp := context.WithCancelCause(ctx)
	d := &detour{giveUp, transfer}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.unreachable.Load() {
		giveUp(errReachable)
		return ctx, func() {}
	}
	s.detours[d] = struct{}{}
	return ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.detours, d)
		giveUp(nil)
	}
}

// endDetours ends the detours of whose answers nothing has arrived.
func (s *Store) endDetours() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for d := range s.detours {
		if d.transfer.Received() == 0 {
			d.giveUp(errReachable)
		}
	}
}

// tryDirect reports whether a call goes to the store directly: always while the store is reachable. While it is not,
// probes find out when it is again. Before the first completed read there is nothing to probe with, and one call per
// directInterval does so.
func (s *Store) tryDirect(now time.Time) bool {
	if !s.unreachable.Load() {
		return true
	}
	if s.nextRead.Load() != nil {
		return false
	}
	previous := s.lastTried.Load()
	return now.UnixNano()-previous > int64(directInterval) && s.lastTried.CompareAndSwap(previous, now.UnixNano())
}

// isSlow reports whether a call failed because its answer, which was arriving, took too long. It would not arrive faster
// at another node.
func isSlow(ctx context.Context, err error) bool {
	return ctx.Err() == nil && problem.KindOf(err) == problem.Unavailable && errors.Is(err, context.DeadlineExceeded)
}

// recordDirect updates the reachability of the store after a direct call that began at started, and reports whether the
// store was unreachable.
func (s *Store) recordDirect(ctx context.Context, started time.Time, err error) bool {
	switch kind := problem.KindOf(err); {
	case kind == problem.Unavailable || kind == problem.NotSent || kind == problem.Overloaded:
	case err != nil && kind != problem.Conflict && kind != problem.PastRetention:
		return false
	default:
		if s.unreachable.Swap(false) {
			s.regainedAt.Store(time.Now().UnixNano())
			s.events.Emit(eventlog.StoreDirect)
			s.endDetours()
		}
		return false
	}
	if errors.Is(ctx.Err(), context.Canceled) || isSlow(ctx, err) {
		return false
	}
	if s.regainedAt.Load() > started.UnixNano() {
		// This call was lost in an outage that has ended.
		return false
	}
	if !s.unreachable.Swap(true) {
		s.events.Emit(eventlog.StoreRelayed, eventlog.Cause(err))
		s.scheduleProbe(directInterval)
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
		if errors.Is(err, errReachable) {
			return registry.Page{}, err
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
	ctx, end := s.beginDetour(ctx, c)
	defer end()
	ctx, cancel := context.WithTimeout(ctx, c.Wait+timeout)
	defer cancel()
	page, err = s.nodes.StoreCall(ctx, address, c)
	if err != nil && context.Cause(ctx) == errReachable {
		return registry.Page{}, false, errReachable
	}
	return page, err != nil && ctx.Err() != nil && problem.KindOf(err) != problem.NotSent, err
}
