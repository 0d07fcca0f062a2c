package gateway

import (
	"context"
	"time"

	"heatherreel/internal/feed"
	"heatherreel/internal/registry"
	"heatherreel/internal/routed"
	"heatherreel/internal/storeera"
)

// skipBatchDelay ends the batch delay of the reader of a topic, and makes it and its feed skip further ones, until release
// is called. Reading from the store instead would take each version of the ownership over the link between the regions
// once for each node with waiting requests.
func (g *Gateway) skipBatchDelay(topic string) (release func()) {
	for _, tr := range g.topicReaders {
		if tr.topic != topic {
			continue
		}
		tr.waiters.Add(1)
		tr.endBatchDelay()
		if p := tr.poll.Load(); p != nil && p.feed != "" && !p.urgent {
			// The feed may be in a batch delay.
			p.interrupt(errBecameUrgent)
		}
		return func() { tr.waiters.Add(-1) }
	}
	return func() {}
}

// endBatchDelay ends a batch delay in progress.
func (tr *topicReader) endBatchDelay() {
	if cancel := tr.cancelDelay.Load(); cancel != nil {
		(*cancel)()
	}
}

// refreshTopic makes the reader of a topic ask the store at once, unless the store already answers.
func (g *Gateway) refreshTopic(topic string) {
	for _, tr := range g.topicReaders {
		if tr.topic == topic {
			tr.interrupt()
		}
	}
}

// interruptReaders makes all readers but one ask the store at once, after that one found it available again.
func (g *Gateway) interruptReaders(except *topicReader) {
	for _, tr := range g.topicReaders {
		if tr != except {
			tr.interrupt()
		}
	}
}

// interrupt makes the reader ask the store again, unless the store already answers: it ends a poll of whose answer
// nothing has arrived. Any other read returns the newest records soon, and beginning it again would transfer them twice.
func (tr *topicReader) interrupt() {
	tr.endBatchDelay()
	tr.poll.Load().interrupt(context.Canceled)
}

// needRecords makes the reader of a topic read up to an end that the topic is known to have, through its feed if it has
// one.
func (g *Gateway) needRecords(topic string, end int64) {
	for _, tr := range g.topicReaders {
		if tr.topic == topic {
			tr.need(end)
		}
	}
}

// need makes the reader read up to an end that the topic is known to have.
func (tr *topicReader) need(end int64) {
	if end <= tr.readEnd.Load() {
		return
	}
	for needed := tr.needed.Load(); needed < end && !tr.needed.CompareAndSwap(needed, end); needed = tr.needed.Load() {
	}
	tr.endBatchDelay()
	tr.refresh(false)
}

// refresh does what is due to get the needed records. awaited is feed.Reader.Awaited.
func (tr *topicReader) refresh(awaited bool) {
	p := tr.poll.Load()
	reader := feed.Reader{End: tr.readEnd.Load(), Needed: tr.needed.Load(), Polling: p != nil, Follows: p != nil && p.feed != "", Awaited: awaited}
	switch reader.Next() {
	case feed.RefreshThroughFeed:
		p.interrupt(errNeedsRecords)
	case feed.RefreshFromStore:
		p.interrupt(context.Canceled)
	case feed.RefreshAwaited:
		if tr.checksAnswer.CompareAndSwap(false, true) {
			tr.g.controlPool.After(feed.PollAnswerTime, func() {
				tr.checksAnswer.Store(false)
				tr.refresh(tr.poll.Load() == p)
			})
		}
	case feed.RefreshNotNeeded:
	}
}

// minRefreshInterval bounds the rate of reads that are caused by other nodes.
const minRefreshInterval = 400 * time.Millisecond

// refreshTopicLimited does the same as refreshTopic, at most once per minRefreshInterval. It is called when the answer
// of another node shows that this node may have missed records of the topic.
func (g *Gateway) refreshTopicLimited(topic string) {
	now := time.Now().UnixNano()
	for _, tr := range g.topicReaders {
		last := tr.lastRefreshNS.Load()
		if tr.topic == topic && now-last > int64(minRefreshInterval) && tr.lastRefreshNS.CompareAndSwap(last, now) {
			tr.interrupt()
		}
	}
}

// answerDelay is how long a node waits for the answer to its poll after another node reported a newer revision. The
// answer is usually on its way, behind those to other nodes if they share a link: the first 64 KB for each of 45 nodes
// take 400 ms at 60 Mbit/s.
const answerDelay = 500 * time.Millisecond

// noteRevision compares the revision in force at another node with the one here. A newer one is read again after
// answerDelay: the store may have missed the poll of this node, or the answer may be lost.
func (g *Gateway) noteRevision(revision uint64) {
	if revision <= g.routes.revision() {
		return
	}
	g.proof.update(func(p *storeera.Revisions) { p.RecordReported(revision) })
	for _, tr := range g.topicReaders {
		if tr.topic == g.deps.OperatorTopic && tr.isOutdated(answerDelay) {
			g.refreshTopicLimited(tr.topic)
		}
	}
}

// isOutdated records that another node has a newer record, and reports whether one first had it longer ago than the given
// time and no read has completed since.
func (tr *topicReader) isOutdated(after time.Duration) bool {
	now := time.Now().UnixNano()
	if tr.outdatedSinceNS.CompareAndSwap(0, now) {
		return false
	}
	since := tr.outdatedSinceNS.Load()
	return since > 0 && now-since > int64(after)
}

// noteNotOwner makes the node read the range tables again if a refusal shows that it has missed a change. A request whose
// owner the refusal names needs no newer table, so that the change is then awaited for the longest batch delay.
func (g *Gateway) noteNotOwner(a routed.Answer) {
	if a.RangesEnd <= 0 || a.RangesEra != g.era.current.Load() {
		// The other node runs an earlier version, or its offset is one of another era.
		g.refreshTopicLimited(registry.RangesTopic)
		return
	}
	for _, tr := range g.topicReaders {
		if tr.topic == registry.RangesTopic && a.RangesEnd > tr.readEnd.Load() && (a.Owner == "" || tr.isOutdated(ingressBatchDelay)) {
			tr.need(a.RangesEnd)
		}
	}
}
