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
	"heatherreel/internal/storeera"
	"heatherreel/internal/telemetry"
)

// Poll timeouts of the readers. A read whose answer is lost, or that misses a record, ends only after this time. The
// operators' topic has the shorter one: a configuration must be in force 2 s after its acknowledgement.
const (
	operatorPollTimeout = 1500 * time.Millisecond
	memberPollTimeout   = 10 * time.Second
)

// memberBatchDelay collects changes of members into one read: all nodes announce themselves within a second after a
// start of the fleet, and each read by each node is a call of the store. It is shorter than stopAnnounceTime, the
// 400 ms by which a planned stop is announced before the node stops accepting requests.
const memberBatchDelay = 200 * time.Millisecond

func operatorWait() time.Duration { return operatorPollTimeout }

func memberWait() time.Duration { return memberPollTimeout }

// Backoff of a reader after a failed call. It is randomized, because otherwise all nodes would call the store at once
// when it becomes available again.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// topicReader reads one topic and applies its records in order.
type topicReader struct {
	g      *Gateway
	topic  string
	served *servedTopic
	// ownRecords is set if nodes write to the topic. The first read then goes to the store: it must show what an earlier
	// process of this instance wrote, and a feed may have read before that.
	ownRecords bool
	// wait returns the poll timeout of the next read, and batchDelay the delay after a read that returned records.
	wait       func() time.Duration
	batchDelay func() time.Duration
	// onSnapshot is called before the newest records of all keys are applied, apply for each record, and synced after
	// each answer with asOf: when the last read was sent whose records are all applied.
	onSnapshot func()
	apply      func(registry.Record)
	synced     func(asOf keyrange.Instant, end int64)
	// era is the era of the store of the records that were applied last; only the reader uses it. restarted is set
	// when it has changed after the first completed read: a feed then has the records of this instance, too.
	era       uint64
	restarted bool
	// poll is the read in progress that waits for records; nil if there is none. lastRefreshNS is when
	// refreshTopicLimited last ended one, and outdatedSinceNS when another node first reported a newer record after the
	// last completed read, zero if none did; both in Unix nanoseconds.
	poll atomic.Pointer[poll]
	// readEnd is the end up to which the topic is read, and needed an end that it is known to have, zero if that is read.
	// checksAnswer is set while awaitPollAnswer waits.
	readEnd, needed atomic.Int64
	checksAnswer    atomic.Bool
	lastRefreshNS   atomic.Int64
	outdatedSinceNS atomic.Int64
	// waiters counts the requests, and the urgent reads of followers, that wait for a record; the reader skips its batch
	// delay meanwhile. cancelDelay ends a batch delay in progress.
	waiters     atomic.Int64
	cancelDelay atomic.Pointer[context.CancelFunc]
	// delayed is the batch delay after the last completed read; only the reader uses it.
	delayed time.Duration
}

// poll is a read that waits for records.
type poll struct {
	cancel   context.CancelCauseFunc
	transfer *registry.Transfer
	// feed is the instance through which the topic is read, empty for the store. urgent is feed.Request.Urgent.
	feed   string
	urgent bool
}

// interrupt ends the poll with the cause, unless its answer is arriving.
func (p *poll) interrupt(cause error) {
	if p != nil && p.transfer.Received() == 0 {
		p.cancel(cause)
	}
}

// topicRead is a completed read.
type topicRead struct {
	page registry.Page
	// snapshot is set if the page holds the newest records of all keys.
	snapshot bool
	// asOf is when the read was sent to the store, and followed is set if a feed had sent it. through is the instance of
	// the feed.
	asOf     keyrange.Instant
	followed bool
	through  string
}

// readMode is how the next records are read.
type readMode int

const (
	// readWaiting waits for new records. readNeeded gets those up to topicReader.needed through the feed, if there is one.
	readWaiting readMode = iota
	readNeeded
	// readDirect goes to the store and does not wait: its answer holds what the store had when it was sent.
	readDirect
)

// run reads until ctx ends.
func (tr *topicReader) run(ctx context.Context) {
	defer tr.served.stop()
	if !tr.ownRecords {
		tr.awaitMembers(ctx)
	}
	from, storeLost, backoff, mode := int64(-1), false, minBackoff, readWaiting
	var asOf keyrange.Instant
	for ctx.Err() == nil {
		started := time.Now()
		if era := tr.g.era.current.Load(); era != tr.era {
			// Offsets of an earlier era name other records, and a proof of it has ended.
			tr.restarted = tr.restarted || from >= 0
			from, asOf, tr.era, mode = -1, 0, era, readWaiting
			tr.readEnd.Store(-1)
			tr.needed.Store(0)
		}
		needed := tr.needed.Load()
		if mode == readWaiting && from >= 0 && needed > from {
			mode = readNeeded
		}
		read, err := tr.read(ctx, from, mode)
		again, neededRead := mode == readDirect, mode != readWaiting
		mode = readWaiting
		switch {
		case err == nil && (read.page.Era != tr.g.era.current.Load() || read.page.Era != tr.era && !read.snapshot):
			// The page begins at an offset of another era, or is not of the newest one any more.
			continue
		case err == nil:
			tr.era = read.page.Era
			tr.readEnd.Store(read.page.End)
			if !read.page.Partial && (neededRead || read.page.End >= needed) {
				// An end that the store does not have is one of another era.
				tr.needed.CompareAndSwap(needed, 0)
			}
			tr.logRecords(read, again, time.Since(started))
			// Followers need not wait until this node has decoded the records.
			tr.served.apply(read)
			if read.snapshot {
				tr.onSnapshot()
			}
			for _, r := range read.page.Records {
				tr.apply(r)
			}
			from = read.page.End
			if !read.page.Partial {
				asOf = max(asOf, read.asOf)
			}
			tr.outdatedSinceNS.Store(0)
			tr.synced(asOf, from)
			if storeLost {
				tr.g.interruptReaders(tr)
				tr.g.events.Emit(eventlog.StoreRegained, eventlog.Name("topic", tr.topic))
			}
			storeLost, backoff, tr.delayed = false, minBackoff, 0
			if len(read.page.Records) > 0 && !read.page.Partial && !read.followed {
				tr.delayForBatch(ctx)
			}
			continue
		case ctx.Err() != nil:
			return
		case errors.Is(err, errBecameUrgent) || errors.Is(err, errNeedsRecords):
			continue
		case errors.Is(err, errNotFollowed) || errors.Is(err, context.Canceled):
			// The feed failed, or the read was interrupted. The next one goes to the store and does not wait for records:
			// reads that are interrupted one after the other would never complete, and the lease would expire.
			mode = readDirect
			continue
		case problem.KindOf(err) == problem.PastRetention:
			from = -1
			continue
		}
		tr.served.recordFailure()
		if !storeLost {
			tr.g.events.Emit(eventlog.StoreLost, eventlog.Name("topic", tr.topic), eventlog.Cause(err))
			storeLost = true
		}
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// logRecords logs a read of the operators' topic that returned records. again is set if it followed one that failed or was
// interrupted.
func (tr *topicReader) logRecords(r topicRead, again bool, took time.Duration) {
	if tr.topic != tr.g.deps.OperatorTopic || len(r.page.Records) == 0 {
		return
	}
	tr.g.events.Emit(eventlog.OperatorRecordsRead, eventlog.Name("peer_instance", r.through), eventlog.Count("records", len(r.page.Records)),
		eventlog.Count("again", boolCount(again)), eventlog.Duration("took", took))
}

// maxMembersWait is how long the first read of a topic waits until the feeds are known. It is many times the duration of
// a read between regions.
const maxMembersWait = 500 * time.Millisecond

// awaitMembers waits until the members are read, so that a new process does not read a large record from the store that
// another node of its region has.
func (tr *topicReader) awaitMembers(ctx context.Context) {
	timer := time.NewTimer(maxMembersWait)
	defer timer.Stop()
	select {
	case <-tr.g.members.firstSync.happened:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// errBecameUrgent is the cause of the end of a read through a feed that begins again as an urgent one.
var errBecameUrgent = errors.New("requests wait for a record")

// errNeedsRecords is the cause of the end of a read that begins again as one of the records that are needed.
var errNeedsRecords = errors.New("the topic has newer records")

// errNotFollowed means that a read through a feed failed, which is recorded.
var errNotFollowed = errors.New("the feed failed")

// read reads the next records, or the newest records of all keys if from is negative, through a feed or from the store.
func (tr *topicReader) read(ctx context.Context, from int64, mode readMode) (topicRead, error) {
	f, found := tr.chooseFeed()
	if !found || mode == readDirect || from < 0 && tr.ownRecords && !tr.restarted {
		return tr.readStore(ctx, from, mode == readDirect)
	}
	read, err := topicRead{}, error(nil)
	if mode == readNeeded {
		read, err = tr.followNeeded(ctx, f, from, tr.needed.Load())
	} else {
		read, err = tr.follow(ctx, f, from)
	}
	if err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, errBecameUrgent) && !errors.Is(err, errNeedsRecords) {
		return topicRead{}, errNotFollowed
	}
	return read, err
}

// readStore reads the next records from the store.
func (tr *topicReader) readStore(ctx context.Context, from int64, noWait bool) (topicRead, error) {
	read := topicRead{snapshot: from < 0, asOf: tr.g.deps.Now()}
	var err error
	switch {
	case from < 0:
		read.page, err = tr.g.store.Newest(ctx, tr.topic)
	case noWait:
		read.page, err = tr.g.store.Read(ctx, tr.topic, from, 0)
	default:
		ctx, transfer := registry.TrackTransfer(ctx)
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		tr.poll.Store(&poll{cancel: cancel, transfer: transfer})
		defer tr.poll.Store(nil)
		wait := tr.wait()
		if tr.served.hasFollowers(time.Now()) {
			wait = tr.g.feedTimes(tr.topic).pollAfter(tr.delayed)
		}
		if tr.topic == tr.g.deps.OperatorTopic && hasTenants(tr.g.routes.current()) {
			wait = min(wait, tenantPollTimeout)
		}
		read.page, err = tr.g.store.Read(ctx, tr.topic, from, wait)
	}
	if err == nil {
		tr.g.deps.Metrics.CountTopicRead(telemetry.FromStore)
	}
	return read, err
}

// delayForBatch waits, so that records that arrive close together are read together. An interrupt ends the delay.
func (tr *topicReader) delayForBatch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tr.cancelDelay.Store(&cancel)
	if tr.waiters.Load() > 0 {
		return
	}
	delay := tr.batchDelay()
	if tr.served.hasFollowers(time.Now()) {
		delay = tr.g.feedTimes(tr.topic).batchDelay
	}
	began := time.Now()
	sleep(ctx, delay)
	tr.delayed = min(delay, time.Since(began))
}

// applyOperator applies a record of the operators.
func (g *Gateway) applyOperator(r registry.Record) {
	decoded, ok, err := g.deps.DecodeOperator(r)
	if err != nil {
		g.events.Emit(eventlog.OperatorRecordRefused, eventlog.Name("key", r.Key), eventlog.Cause(err))
		return
	}
	if !ok {
		return
	}
	if decoded.Table == nil {
		g.routes.setEvacuated(decoded.DataCentre, !decoded.Ended)
		g.events.Emit(eventlog.EvacuationChanged, eventlog.Name("data_centre_named", decoded.DataCentre),
			eventlog.Count("ended", boolCount(decoded.Ended)))
		return
	}
	g.proof.update(func(p *storeera.Revisions) { p.RecordShown(decoded.Table.Revision) })
	if g.routes.put(decoded.Table) {
		g.applyQuotas(decoded.Table)
		g.deps.Metrics.SetServices(slices.Sorted(maps.Keys(decoded.Table.Services)))
		g.events.Emit(eventlog.RoutesInForce, eventlog.Count("revision", int(decoded.Table.Revision)),
			eventlog.Count("routes", decoded.Table.RouteCount()))
	}
}

func boolCount(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (g *Gateway) operatorSynced(asOf keyrange.Instant, _ int64) {
	g.extendProof(asOf)
	g.applyServiceLimits()
	g.reconcileTrigger.Fire()
}

// applyMember applies the member record of an instance.
func (g *Gateway) applyMember(r registry.Record) {
	if len(r.Value) == 0 {
		g.members.remove(r.Key)
		return
	}
	m, err := registry.DecodeMember(r)
	if err != nil {
		g.events.Emit(eventlog.MemberRecordRefused, eventlog.Name("key", r.Key), eventlog.Cause(err))
		return
	}
	g.members.putStored(m)
	if m.Instance != g.self.Instance {
		return
	}
	if m.Incarnation > g.incarnation.Load() {
		// The time of day has jumped back since an earlier process started.
		g.incarnation.Store(m.Incarnation + 1)
	}
	if m.Incarnation < g.incarnation.Load() {
		g.server.restoreDeparture(m.Server, g.deps.Now())
	}
}

func (g *Gateway) membersSynced(_ keyrange.Instant, end int64) {
	g.members.confirmRead(end)
	g.members.splitRetryFloor(time.Now())
	g.quotas.setMembers(g.members.names(), g.deps.Now())
	g.reconcileTrigger.Fire()
}

// applyRanges applies the range table of one service.
func (g *Gateway) applyRanges(r registry.Record, era uint64) {
	if r.Key == registry.SettlingKey {
		return
	}
	t, err := registry.DecodeRanges(r)
	if err != nil {
		g.events.Emit(eventlog.RangesRecordRefused, eventlog.Name("key", r.Key), eventlog.Cause(err))
		g.ranges.putUnreadable(r.Key)
		return
	}
	g.ranges.put(t, era, g.deps.Now())
}

// rangesSynced extends the lease: the store has answered a read that was sent at the time asOf, and its records are
// applied.
func (g *Gateway) rangesSynced(era uint64, asOf keyrange.Instant, end int64) {
	g.ranges.confirmRead(g.self, era, asOf, g.deps.Now(), end)
	g.observeLending()
	if g.grantsByCalls() {
		g.grantTrigger.Fire()
	}
	g.reconcileTrigger.Fire()
}

// leasePollTimeout is the poll timeout of the reader that extends the lease. The lease is shorter by up to that time
// when the store becomes unavailable.
const leasePollTimeout = 1500 * time.Millisecond

// rangesWait returns a short poll timeout on nodes that need the lease.
func (g *Gateway) rangesWait() time.Duration {
	if g.serviceKeyed() {
		return leasePollTimeout
	}
	return memberPollTimeout
}

// Batch delays of the reader of the range tables. Changes come from all owners, and each read by each node is a call of
// the store. Instances that a change concerns are notified (Gateway.notifyOwners), and a former owner redirects
// requests to the new one.
const (
	ownerBatchDelay   = 500 * time.Millisecond
	ingressBatchDelay = time.Second
)

func (g *Gateway) rangesBatchDelay() time.Duration {
	if g.serviceKeyed() {
		return ownerBatchDelay
	}
	return ingressBatchDelay
}

// serviceKeyed reports whether the service of the instance has exclusive owners for its keys.
func (g *Gateway) serviceKeyed() bool {
	t := g.routes.current()
	return t != nil && t.Services[g.self.Service].Keyed
}
