package gateway

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"heatherreel/internal/eventlog"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
)

// Waits of the readers. A read that the store has lost, or that misses a record, ends only after its wait. The operators'
// topic has the shorter one: a configuration must be in force 2 s after its acknowledgement.
const (
	operatorPoll = 1500 * time.Millisecond
	memberPoll   = 10 * time.Second
)

// memberRest gathers the changes of members in one read: all nodes announce themselves within a second after a start, and
// each read of each node is a call of the store. Other nodes learn that one stops 400 ms before it does.
const memberRest = 200 * time.Millisecond

func operatorWait() time.Duration { return operatorPoll }

func memberWait() time.Duration { return memberPoll }

// Pauses of a reader after a failed call: the store is loaded by all nodes at once when it returns.
const (
	leastPause = 100 * time.Millisecond
	mostPause  = 500 * time.Millisecond
)

// follower applies the records of one topic in order.
type follower struct {
	g     *Gateway
	topic string
	// wait is how long the next read may take, and rest the pause after a read that returned records.
	wait func() time.Duration
	rest func() time.Duration
	// begin is called before the newest records of all keys are applied, apply for each record, and synced after each
	// answer of the store, with the time at which it was asked.
	begin  func()
	apply  func(registry.Record)
	synced func(sent keyrange.Instant, end int64)
	// reading ends the read in progress, and interrupted is when it was last ended so, in Unix nanoseconds.
	reading     atomic.Pointer[context.CancelFunc]
	interrupted atomic.Int64
	// waiters counts the requests that wait for a record; the reader does not rest meanwhile. resting ends its rest.
	waiters atomic.Int64
	resting atomic.Pointer[context.CancelFunc]
}

// run reads until ctx ends.
func (f *follower) run(ctx context.Context) {
	from, lost, rest, atOnce := int64(-1), false, leastPause, false
	for ctx.Err() == nil {
		sent := f.g.deps.Now()
		page, err := f.read(ctx, from, atOnce)
		atOnce = false
		switch {
		case err == nil:
			if from < 0 {
				f.begin()
			}
			for _, r := range page.Records {
				f.apply(r)
			}
			from = page.End
			f.synced(sent, page.End)
			if lost {
				f.g.interruptReaders(f)
				f.g.events.Emit(eventlog.StoreRegained, eventlog.Name("topic", f.topic))
			}
			lost, rest = false, leastPause
			if len(page.Records) > 0 {
				f.takeRest(ctx)
			}
			continue
		case problem.KindOf(err) == problem.Forgotten:
			from = -1
			continue
		case ctx.Err() != nil:
			return
		case errors.Is(err, context.Canceled):
			// The read was interrupted. The next one does not wait for records: reads that are interrupted one after the
			// other would never be answered, and the lease would run out.
			atOnce = true
			continue
		case !lost:
			f.g.events.Emit(eventlog.StoreLost, eventlog.Name("topic", f.topic), eventlog.Cause(err))
			lost = true
		}
		pause(ctx, rest/2+rand.N(rest))
		rest = min(2*rest, mostPause)
	}
}

// read reads the next records, or the newest ones of all keys if from is negative. It waits for records unless atOnce is
// set.
func (f *follower) read(ctx context.Context, from int64, atOnce bool) (registry.Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.reading.Store(&cancel)
	if from < 0 {
		return f.g.store.Newest(ctx, f.topic)
	}
	wait := f.wait()
	if atOnce {
		wait = 0
	}
	return f.g.store.Read(ctx, f.topic, from, wait)
}

// takeRest pauses, so that records which come together are read together. An interrupt ends the pause.
func (f *follower) takeRest(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.resting.Store(&cancel)
	if f.waiters.Load() == 0 {
		pause(ctx, f.rest())
	}
}

// hurry keeps the reader of a topic from resting until release is called.
func (g *Gateway) hurry(topic string) (release func()) {
	for _, f := range g.followers {
		if f.topic != topic {
			continue
		}
		f.waiters.Add(1)
		f.endRest()
		return func() { f.waiters.Add(-1) }
	}
	return func() {}
}

// endRest ends the rest in progress.
func (f *follower) endRest() {
	if cancel := f.resting.Load(); cancel != nil {
		(*cancel)()
	}
}

// readNow makes the reader of a topic ask the store at once.
func (g *Gateway) readNow(topic string) {
	for _, f := range g.followers {
		if f.topic == topic {
			f.interrupt()
		}
	}
}

// interruptReaders makes the other readers ask again, after one of them found that the store is back.
func (g *Gateway) interruptReaders(except *follower) {
	for _, f := range g.followers {
		if f != except {
			f.interrupt()
		}
	}
}

// interrupt ends the read in progress, so that the store is asked again.
func (f *follower) interrupt() {
	f.endRest()
	if cancel := f.reading.Load(); cancel != nil {
		(*cancel)()
	}
}

// askAgainPause bounds the reads that other nodes' news cause.
const askAgainPause = 400 * time.Millisecond

// askAgain reads a topic again after another node showed that it knows more than this one.
func (g *Gateway) askAgain(topic string) {
	now := time.Now().UnixNano()
	for _, f := range g.followers {
		last := f.interrupted.Load()
		if f.topic == topic && now-last > int64(askAgainPause) && f.interrupted.CompareAndSwap(last, now) {
			f.interrupt()
		}
	}
}

// heard takes the revision that another node has in force. A newer one is read at once: the store may have answered this
// node's read a moment before the record came, and the next read may be lost.
func (g *Gateway) heard(revision uint64) {
	if revision > g.routes.revision() {
		g.askAgain(g.deps.OperatorTopic)
	}
}

// applyOperator takes a record of the operators.
func (g *Gateway) applyOperator(r registry.Record) {
	word, ok, err := g.deps.DecodeOperator(r)
	if err != nil {
		g.events.Emit(eventlog.OperatorRecordRefused, eventlog.Name("key", r.Key), eventlog.Cause(err))
		return
	}
	if !ok {
		return
	}
	if word.Table == nil {
		g.routes.evacuate(word.DataCentre, !word.Ended)
		g.events.Emit(eventlog.EvacuationChanged, eventlog.Name("data_centre_named", word.DataCentre),
			eventlog.Count("ended", boolCount(word.Ended)))
		return
	}
	if g.routes.put(word.Table) {
		g.deps.Metrics.SetServices(slices.Sorted(maps.Keys(word.Table.Services)))
		g.events.Emit(eventlog.RoutesInForce, eventlog.Count("revision", int(word.Table.Revision)),
			eventlog.Count("routes", word.Table.Routes()))
	}
}

func boolCount(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (g *Gateway) operatorSynced(keyrange.Instant, int64) {
	g.applySlots()
	g.upkeep.Fire()
}

// applyMember takes the record of an instance.
func (g *Gateway) applyMember(r registry.Record) {
	if len(r.Value) == 0 {
		g.members.drop(r.Key)
		return
	}
	m, err := registry.DecodeMember(r)
	if err != nil {
		g.events.Emit(eventlog.MemberRecordRefused, eventlog.Name("key", r.Key), eventlog.Cause(err))
		return
	}
	g.members.putStored(m)
	if m.Instance == g.self.Instance && m.Incarnation < g.self.Incarnation {
		g.server.inherit(m.Server, g.deps.Now())
	}
}

func (g *Gateway) membersSynced(_ keyrange.Instant, end int64) {
	g.members.endSnapshot(end)
	g.upkeep.Fire()
}

// applyRanges takes the ownership of one service.
func (g *Gateway) applyRanges(r registry.Record) {
	t, err := registry.DecodeRanges(r)
	if err != nil {
		g.events.Emit(eventlog.RangesRecordRefused, eventlog.Name("key", r.Key), eventlog.Cause(err))
		return
	}
	g.ranges.put(t, g.deps.Now())
}

// rangesSynced extends the lease: the store has answered a read that was sent at the time, and what it answered is applied.
func (g *Gateway) rangesSynced(sent keyrange.Instant, end int64) {
	g.ranges.confirm(g.self, sent, end)
	g.upkeep.Fire()
}

// leasePoll is the wait of the reader that keeps the lease; the lease is that much shorter when the store goes away.
const leasePoll = 1500 * time.Millisecond

// rangesWait is short on nodes that need the lease.
func (g *Gateway) rangesWait() time.Duration {
	if g.keyed() {
		return leasePoll
	}
	return memberPoll
}

// Rests of the reader of the ownership of keys. Changes come from all owners, and each read of each node is a call of the
// store; those whom a change concerns are told (Gateway.notify), and a former owner names the new one.
const (
	ownerRest   = 500 * time.Millisecond
	ingressRest = time.Second
)

func (g *Gateway) rangesRest() time.Duration {
	if g.keyed() {
		return ownerRest
	}
	return ingressRest
}

// keyed reports whether the service of the instance holds each key on one backend server.
func (g *Gateway) keyed() bool {
	t := g.routes.current()
	return t != nil && t.Services[g.self.Service].Keyed
}
