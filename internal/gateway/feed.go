package gateway

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"heatherreel/internal/eventlog"
	"heatherreel/internal/feed"
	"heatherreel/internal/keyrange"
	"heatherreel/internal/lockorder"
	"heatherreel/internal/operator"
	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
	"heatherreel/internal/telemetry"
)

// Times of reads through a feed.
const (
	// feedGrace is how much longer than its poll timeout a read of a feed may take: a hundred times the usual latency of
	// the store.
	feedGrace = 400 * time.Millisecond
	// followTimeout bounds a read through a feed after its wait. A silent connection ends it earlier.
	followTimeout = 5 * time.Second
	// refusedFeedDelay is how long a feed that refuses reads is not used, and failedFeedDelay one that fails. The latter
	// doubles with each failure in a row, up to maxFailedFeedDelay: the node may be gone or run an earlier version.
	refusedFeedDelay   = time.Second
	failedFeedDelay    = 5 * time.Second
	maxFailedFeedDelay = 40 * time.Second
	// followerMemory is how long a node counts as having followers after the last one has asked.
	followerMemory = 15 * time.Second
	// maxServedReads bounds the reads that are served to other nodes at once: those of 32 nodes, each of three topics.
	// The answers to all of them may be in memory at once.
	maxServedReads = 96
)

// servedTopic is a topic as this node serves it to its followers, and the source from which the node itself reads it.
// mu guards all fields; it has rank lockorder.Feeds.
type servedTopic struct {
	mu      *lockorder.Mutex
	records feed.Topic
	// era is the era of the store that the records are of.
	era uint64
	// serving is set while the node reads the topic from the store. Otherwise it serves no records, so that no node
	// follows a follower.
	serving bool
	// reads counts the reads of the store that were completed and returned all records, and readAt is when the last one
	// was sent. current is set while there is one since serving was set, and failed if a later one failed.
	reads           int
	readAt          keyrange.Instant
	current, failed bool
	// askedAt is when a follower last asked.
	askedAt time.Time
	// changed is closed and replaced when a read may be answered or refused.
	changed chan struct{}
	// source is the instance through which the node reads the topic, empty for the store, since sourceSince.
	source      string
	sourceSince time.Time
}

func newServedTopic() *servedTopic {
	return &servedTopic{mu: lockorder.New(lockorder.Feeds), changed: make(chan struct{}), sourceSince: time.Now()}
}

// notify wakes the reads that wait. The caller holds mu.
func (s *servedTopic) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setServing sets whether records are served. The caller holds mu.
func (s *servedTopic) setServing(serving bool) {
	if serving != s.serving {
		s.serving, s.current, s.failed = serving, false, false
		s.notify()
	}
}

// setSource sets the instance through which the node reads the topic, and reports whether that is a change.
func (s *servedTopic) setSource(instance string, now time.Time) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setServing(instance == "")
	if instance == s.source {
		return false
	}
	s.source, s.sourceSince = instance, now
	return true
}

// stop refuses all reads from now on.
func (s *servedTopic) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setServing(false)
}

// apply adds the records of a completed read.
func (s *servedTopic) apply(r topicRead) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.page.Era < s.era {
		return
	}
	if r.page.Era > s.era {
		s.resetTo(r.page.Era)
	}
	s.records.Apply(r.page, r.snapshot)
	if !r.followed && !r.page.Partial {
		s.reads++
		s.readAt, s.current, s.failed = r.asOf, true, false
	}
	s.notify()
}

// resetTo forgets the records of an era earlier than the given one. The caller holds mu.
func (s *servedTopic) resetTo(era uint64) {
	if era <= s.era {
		return
	}
	s.records, s.era, s.current, s.failed = feed.Topic{}, era, false, false
	s.notify()
}

// recordFailure records that a read of the store failed. Reads that wait are refused, so that their nodes read from the
// store themselves.
func (s *servedTopic) recordFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = true
	s.notify()
}

// beginServing records that a follower asks, and returns the number of completed reads. first is set if the node serves
// the topic and had no followers.
func (s *servedTopic) beginServing(now time.Time) (reads int, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.serving {
		return s.reads, false
	}
	first = now.Sub(s.askedAt) > followerMemory
	s.askedAt = now
	return s.reads, first
}

// hasFollowers reports whether other nodes read the topic through this one.
func (s *servedTopic) hasFollowers(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.askedAt) <= followerMemory
}

// served is the result of an attempt to answer a follower.
type served int

const (
	servedLater served = iota
	servedNow
	servedNever
)

// answer returns the answer to a request that arrived after readsBefore completed reads, if there is one by now, and a
// channel that is closed when that may have changed. The records must satisfy the request (feed.Request.Satisfies), and the
// last read must not be older than maxAge.
func (s *servedTopic) answer(r feed.Request, readsBefore int, arrived, now keyrange.Instant, maxAge time.Duration) (feed.Answer, served, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from, known := r.FromInEra(s.era)
	switch end := s.records.End(); {
	case !known || !s.serving || s.failed || s.current && !s.records.Held():
		return feed.Answer{}, servedNever, nil
	case s.current && now.Sub(s.readAt) <= maxAge && r.Satisfies(from, end, s.reads-readsBefore, s.readAt >= arrived):
		page, snapshot := s.records.Since(from)
		page.Era = s.era
		return feed.Answer{Page: page, Snapshot: snapshot, ReadOffset: s.readAt.Sub(arrived)}, servedNow, nil
	default:
		return feed.Answer{}, servedLater, s.changed
	}
}

// unchanged returns the answer that the last read, which is not older than maxAge, has shown no records that are new to
// the follower. ok is false if there is no such read.
func (s *servedTopic) unchanged(r feed.Request, arrived, now keyrange.Instant, maxAge time.Duration) (a feed.Answer, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.serving || s.failed || !s.current || !s.records.Held() || s.records.End() != r.From || r.Era != s.era || now.Sub(s.readAt) > maxAge {
		return feed.Answer{}, false
	}
	return feed.Answer{Page: registry.Page{End: r.From, Era: s.era}, ReadOffset: s.readAt.Sub(arrived)}, true
}

// ReadTopic implements node.RouterService.
func (g *Gateway) ReadTopic(ctx context.Context, r feed.Request) (feed.Answer, error) {
	// A later reading of the clock only makes the answer seem older.
	arrived := g.deps.Now()
	s := g.served[r.Topic]
	if s == nil {
		return feed.Answer{}, problem.New(problem.Invalid, "run the same version with the same settings on all nodes", "topic %q is not known", r.Topic)
	}
	defer g.servedReads.Add(-1)
	if g.servedReads.Add(1) > maxServedReads || g.stopping.Load() || g.store.Unreachable() {
		return feed.Answer{}, problem.New(problem.Overloaded, "read from the store", "this node serves no records at the moment")
	}
	// A request of a later era tells this node of it. One of an earlier era is answered with the newest records.
	g.observePeerEra(r.Era)
	readsBefore, first := s.beginServing(time.Now())
	if first {
		// The poll in progress may take longer than the follower waits.
		g.refreshTopic(r.Topic)
	}
	timer := time.NewTimer(r.Wait)
	defer timer.Stop()
	switch {
	case r.Needed > 0 && r.Era == g.era.current.Load():
		// The records may be held, so that the batch delay need not end.
		g.needRecords(r.Topic, r.Needed)
	case r.Urgent:
		defer g.skipBatchDelay(r.Topic)()
	}
	for {
		answer, result, changed := s.answer(r, readsBefore, arrived, g.deps.Now(), g.feedTimes(r.Topic).maxAge())
		switch result {
		case servedNow:
			return answer, nil
		case servedNever:
			return feed.Answer{}, problem.New(problem.Overloaded, "read from the store", "this node does not read the topic from the store at the moment")
		case servedLater:
		}
		select {
		case <-changed:
		case <-timer.C:
			if r.Needed > 0 {
				return feed.Answer{}, problem.New(problem.Overloaded, "read from the store", "the records up to %d were not read in %v", r.Needed, r.Wait)
			}
			if r.Urgent {
				if answer, ok := s.unchanged(r, arrived, g.deps.Now(), g.feedTimes(r.Topic).maxAge()); ok {
					return answer, nil
				}
			}
			return feed.Answer{}, problem.New(problem.Unavailable, "read from the store", "no read of the store was completed in %v", r.Wait)
		case <-ctx.Done():
			return feed.Answer{}, problem.New(problem.Unavailable, "read from the store", "the read was given up: %w", ctx.Err())
		}
	}
}

// feedTimes are the times by which a node reads a topic from the store while others follow it: the poll timeout, the batch
// delay, and the longest time from the end of one read to the end of the next. A poll after a batch delay is the shorter.
type feedTimes struct {
	poll, batchDelay, cycle time.Duration
}

// feedRangesBatchDelay is the batch delay of a feed for the range tables. The owners that a change concerns are notified,
// requests for a moved key are redirected, and those that cannot be end the delay.
const feedRangesBatchDelay = time.Second

// A follower notices after the poll timeout that its feed has failed. It then reads the topic from the store, so that a
// configuration is in force 2 s after its acknowledgement.
const feedOperatorPollTimeout = 800 * time.Millisecond

// feedTimes returns the times for a topic.
func (g *Gateway) feedTimes(topic string) feedTimes {
	switch topic {
	case registry.MembersTopic:
		return feedTimes{memberPollTimeout, memberBatchDelay, memberPollTimeout + memberBatchDelay}
	case registry.RangesTopic:
		// Owners may be among the followers; the proof for their leases is as old as that of an owner that reads from the
		// store.
		return feedTimes{leasePollTimeout, feedRangesBatchDelay, leasePollTimeout + ownerBatchDelay}
	default:
		return feedTimes{feedOperatorPollTimeout, 0, feedOperatorPollTimeout}
	}
}

// wait returns how long a follower waits for the next read of its feed.
func (t feedTimes) wait() time.Duration { return t.cycle + feedGrace }

// pollAfter returns the poll timeout after a batch delay.
func (t feedTimes) pollAfter(delay time.Duration) time.Duration { return min(t.poll, t.cycle-delay) }

// maxAge returns the greatest age of the last completed read of a feed, counted from when it was sent.
func (t feedTimes) maxAge() time.Duration { return t.poll + t.wait() }

// follow reads the next records through a feed. An interrupted read returns context.Canceled.
func (tr *topicReader) follow(ctx context.Context, f registry.Member, from int64) (topicRead, error) {
	wait := tr.g.feedTimes(tr.topic).wait()
	if from < 0 {
		// A feed has the records already, and the node cannot serve without them.
		wait = feedGrace
	}
	urgent := tr.waiters.Load() > 0
	if urgent {
		// A feed that has failed is noticed soon.
		wait = min(wait, feedGrace)
	}
	ctx, transfer := registry.TrackTransfer(ctx)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	tr.poll.Store(&poll{cancel: cancel, transfer: transfer, feed: f.Instance, urgent: urgent})
	defer tr.poll.Store(nil)
	if !urgent && tr.waiters.Load() > 0 {
		// A request began to wait before the poll could be interrupted.
		return topicRead{}, errBecameUrgent
	}
	if from >= 0 && tr.needed.Load() > from {
		return topicRead{}, errNeedsRecords
	}
	return tr.askFeed(ctx, f, feed.Request{Topic: tr.topic, From: from, Wait: wait, Urgent: urgent, Era: tr.era})
}

// neededWait is how long a feed reads until it has the records that a follower needs. The follower reads from the store
// after feedGrace.
const neededWait = feedGrace * 3 / 4

// followNeeded reads the records up to the needed end through a feed. The read is not interrupted: reads that are
// interrupted one after the other would never complete, and the lease would expire.
func (tr *topicReader) followNeeded(ctx context.Context, f registry.Member, from, needed int64) (topicRead, error) {
	ctx, transfer := registry.TrackTransfer(ctx)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	grace := tr.g.controlPool.After(feedGrace, func() {
		if transfer.Received() == 0 {
			cancel(errFeedLate)
		}
	})
	defer grace.Stop()
	// A feed of an earlier version does not know Needed. It passes on new records at once, as for any urgent read.
	read, err := tr.askFeed(ctx, f, feed.Request{Topic: tr.topic, From: from, Wait: neededWait, Urgent: true, Needed: needed, Era: tr.era})
	if errors.Is(err, errFeedLate) {
		tr.g.recordFeedFailure(tr, f.Instance, err)
	}
	return read, err
}

// errFeedLate means that a feed has not begun to answer within feedGrace. It is not used for as long as one that refuses
// reads.
var errFeedLate = problem.New(problem.Overloaded, "read from the store", "no answer within %v", feedGrace)

// askFeed makes a read through a feed.
func (tr *topicReader) askFeed(ctx context.Context, f registry.Member, r feed.Request) (topicRead, error) {
	maxAge, from := tr.g.feedTimes(tr.topic).maxAge(), r.From
	callCtx, stop := context.WithTimeout(ctx, r.Wait+followTimeout)
	defer stop()
	sent := tr.g.deps.Now()
	answer, err := tr.g.deps.Peers.ReadTopic(callCtx, f.Address, r)
	asOf := sent.Add(answer.ReadOffset)
	switch {
	case ctx.Err() != nil:
		return topicRead{}, context.Cause(ctx)
	case err == nil && !tr.g.observePeerEra(answer.Page.Era):
		err = problem.New(problem.Unavailable, "read from the store", "records of era %d, after one of era %d", answer.Page.Era, tr.g.era.current.Load())
	case err == nil && (answer.Page.Era == tr.era && answer.Page.End < from || answer.ReadOffset < -maxAge || asOf > tr.g.deps.Now()):
		err = problem.New(problem.Malformed, "run the same version on all nodes", "records up to %d for a reader at %d, read %v after the request arrived",
			answer.Page.End, from, answer.ReadOffset)
	}
	if err != nil {
		tr.g.recordFeedFailure(tr, f.Instance, err)
		return topicRead{}, err
	}
	tr.g.members.recordFeed(f.Instance, 0, time.Now())
	tr.g.deps.Metrics.CountTopicRead(telemetry.FromNode)
	return topicRead{page: answer.Page, snapshot: answer.Snapshot, asOf: asOf, followed: true, through: f.Instance}, nil
}

// recordFeedFailure stops the use of a feed for a while, by all readers.
func (g *Gateway) recordFeedFailure(reader *topicReader, instance string, err error) {
	g.events.Emit(eventlog.FeedFailed, eventlog.Name("topic", reader.topic), eventlog.Name("peer_instance", instance), eventlog.Cause(err))
	if problem.KindOf(err) == problem.Overloaded {
		g.members.recordFeed(instance, refusedFeedDelay, time.Now())
		return
	}
	g.members.recordFeed(instance, failedFeedDelay, time.Now())
	for _, tr := range g.topicReaders {
		if p := tr.poll.Load(); tr != reader && p != nil && p.feed == instance {
			p.interrupt(context.Canceled)
		}
	}
}

// endPollsOfOtherFeeds ends the polls of topics that are read through another feed than the operators' topic, whose polls are
// the shortest: its reader notices that a feed has failed, but that of another topic would wait for its whole poll timeout.
func (g *Gateway) endPollsOfOtherFeeds(instance string) {
	for _, tr := range g.topicReaders {
		if p := tr.poll.Load(); p != nil && p.feed != "" && p.feed != instance {
			p.interrupt(context.Canceled)
		}
	}
}

// chooseFeed returns the feed for the next read; found is false if the node reads from the store.
func (tr *topicReader) chooseFeed() (f registry.Member, found bool) {
	f, found = tr.g.members.feed(time.Now())
	if tr.topic == tr.g.deps.OperatorTopic {
		tr.g.endPollsOfOtherFeeds(f.Instance)
	}
	if !tr.served.setSource(f.Instance, time.Now()) {
		return f, found
	}
	if found {
		tr.g.events.Emit(eventlog.TopicFollowed, eventlog.Name("topic", tr.topic), eventlog.Name("peer_instance", f.Instance))
	} else {
		tr.g.events.Emit(eventlog.TopicReadDirectly, eventlog.Name("topic", tr.topic))
	}
	return f, found
}

// feed returns the node through which this node reads the topics; found is false if it reads them from the store.
func (t *memberTable) feed(now time.Time) (f registry.Member, found bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var members []feed.Member
	for name, p := range t.peers {
		if p.Region == t.self.Region && !p.Stopping {
			members = append(members, feed.Member{Instance: name, DataCentre: p.DataCentre, Failed: now.Before(p.feedRetryAt)})
		}
	}
	chosen := feed.Choose(feed.Member{Instance: t.self.Instance, DataCentre: t.self.DataCentre}, members)
	if chosen == "" {
		return registry.Member{}, false
	}
	return t.peers[chosen].Member, true
}

// recordFeed records the result of a read through a feed: delay is how long the feed is not to be used, for the first
// failure in a row; zero after a completed read.
func (t *memberTable) recordFeed(instance string, delay time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[instance]
	switch {
	case p == nil:
	case delay == 0:
		p.feedFailures, p.feedRetryAt = 0, time.Time{}
	default:
		p.feedRetryAt = now.Add(min(delay<<min(p.feedFailures, 8), maxFailedFeedDelay))
		p.feedFailures++
	}
}

// addState adds the source of a topic to the state for operators.
func (s *servedTopic) addState(state *operator.GatewayState, topic string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state.Sources = append(state.Sources, operator.GatewaySource{Topic: topic, Instance: s.source, SinceMS: now.Sub(s.sourceSince).Milliseconds()})
	slices.SortFunc(state.Sources, func(a, b operator.GatewaySource) int { return cmp.Compare(a.Topic, b.Topic) })
}
