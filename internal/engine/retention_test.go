package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"heatherreel/internal/fake"
	"heatherreel/internal/ledger"
	"heatherreel/internal/operator"
	"heatherreel/internal/platformlog"
	"heatherreel/internal/request"
)

// startPair publishes a configuration and starts two nodes that join.
func (f *retentionFleet) startPair() (a, b *retentionNode) {
	f.publish("first", 0)
	a, b = f.start("a", true), f.start("b", true)
	f.advance(20*time.Second, false)
	if a.incarnation() == 0 || b.incarnation() == 0 {
		f.t.Fatal("the nodes did not join")
	}
	return a, b
}

// runInVirtualTime runs a test on a new fleet in a synctest bubble.
func runInVirtualTime(t *testing.T, test func(f *retentionFleet)) {
	synctest.Test(t, func(t *testing.T) { test(newRetentionFleet(t)) })
}

// Guards against state that is lost when the log drops old records while a fleet runs, and against more than one
// checkpoint per checkpoint interval.
func TestStateSurvivesLogRetention(t *testing.T) {
	runInVirtualTime(t, func(f *retentionFleet) {
		a, _ := f.startPair()
		f.advance(15*time.Minute, true)
		late := f.start("late", false)
		f.advance(15*time.Second, true)
		f.requireFullState(a)
		f.requireFullState(late)
		// One checkpoint is written after the start, then one every 2.5 minutes.
		if n := f.countCheckpoints(); n < 5 || n > 7 {
			t.Errorf("%d checkpoints in 15 minutes", n)
		}
	})
}

// Guards against a checkpoint that is written repeatedly because the reply to its append was lost.
func TestCheckpointWithLostReplyIsWrittenOnce(t *testing.T) {
	runInVirtualTime(t, func(f *retentionFleet) {
		a, _ := f.startPair()
		f.log.SetFaults(fake.LogFaults{LostReplies: 1})
		a.proposeCheckpoint()
		f.advance(30*time.Second, false)
		if n := f.countCheckpoints(); n != 1 || a.proposals.isOpen(purposeCheckpoint) {
			t.Errorf("%d checkpoints, proposal open: %t", n, a.proposals.isOpen(purposeCheckpoint))
		}
	})
}

// Guards against two members that write checkpoints concurrently and disturb each other or later readers, and against a
// checkpoint record that cannot be decoded and prevents later readers from loading a valid one.
func TestConcurrentAndInvalidCheckpoints(t *testing.T) {
	runInVirtualTime(t, func(f *retentionFleet) {
		a, b := f.startPair()
		a.proposeCheckpoint()
		b.proposeCheckpoint()
		f.advance(15*time.Second, false)
		invalidRecord := []byte(`{"kind":"checkpoint","id":"x","checkpoint":{"offset":3,"at_unix_ms":1,"packed":"AAAA"}}`)
		before := ledger.Offset(f.log.Len())
		f.dropAllRecords()
		if _, err := f.log.AppendBytes(f.ctx, invalidRecord); err != nil {
			t.Fatal(err)
		}
		f.publish("second", a.ledger.revision())
		f.advance(2*time.Minute, false)
		late := f.start("late", false)
		f.advance(15*time.Second, false)
		if late.ledger.offset() <= before {
			t.Fatalf("the late reader is at %d", late.ledger.offset())
		}
		f.requireFullState(late)
		f.requireFullState(b)
	})
}

// Guards against a checkpoint from each member after an outage of the log during which a checkpoint became due.
func TestOneCheckpointAfterLogOutage(t *testing.T) {
	runInVirtualTime(t, func(f *retentionFleet) {
		f.startPair()
		f.advance(3*time.Minute, false)
		before := f.countCheckpoints()
		f.log.SetFaults(fake.LogFaults{Down: true})
		f.advance(10*time.Minute, false)
		f.log.SetFaults(fake.LogFaults{})
		f.advance(time.Minute, false)
		if n := f.countCheckpoints() - before; before != 1 || n != 1 {
			t.Errorf("%d checkpoints before the outage, %d in the minute after it", before, n)
		}
	})
}

// Guards against a log that drops records earlier than the setting for its retention says: the members must detect it
// and write a checkpoint.
func TestLogRetentionShorterThanSetting(t *testing.T) {
	runInVirtualTime(t, func(f *retentionFleet) {
		f.startPair()
		f.dropAllRecords()
		f.advance(90*time.Second, false)
		late := f.start("late", false)
		f.advance(15*time.Second, false)
		f.requireFullState(late)
	})
}

// Guards against a member that was cut off while the log dropped records, and that then skips the missing records,
// reports itself as current, or recovers only after a restart.
func TestMemberBehindRetention(t *testing.T) {
	runInVirtualTime(t, func(f *retentionFleet) {
		a, b := f.startPair()
		b.cutFromLog.Store(true)
		f.publish("second", a.ledger.revision())
		f.advance(15*time.Second, false)
		f.dropAllRecords()
		// There is no way to recover yet: the log has no checkpoint, and the other node does not answer.
		a.logReadOnly.Store(true)
		a.cutFromPeers.Store(true)
		b.cutFromLog.Store(false)
		f.publish("third", a.ledger.revision())
		if _, err := f.log.AppendBytes(f.ctx, []byte("{")); err != nil {
			t.Fatal(err)
		}
		f.advance(5*time.Second, false)
		if position := b.position(); position.Freshness != operator.FreshnessUnknown || position.Offset >= a.ledger.revision() {
			t.Errorf("while records are missing, the node reports %+v", position)
		}
		a.logReadOnly.Store(false)
		a.cutFromPeers.Store(false)
		f.advance(3*time.Minute, false)
		f.requireFullState(b)
		if position := b.position(); position.Freshness != operator.FreshnessCurrent {
			t.Errorf("after the checkpoint, the node reports %+v", position)
		}
	})
}

// Guards against a node that waits for a checkpoint, which no member can write, although a peer has the state.
func TestSnapshotWithoutCheckpoint(t *testing.T) {
	runInVirtualTime(t, func(f *retentionFleet) {
		a, b := f.startPair()
		a.logReadOnly.Store(true)
		b.logReadOnly.Store(true)
		f.dropAllRecords()
		late := f.start("late", false, "a")
		f.advance(30*time.Second, false)
		if f.countCheckpoints() != 0 {
			t.Fatal("a checkpoint was written")
		}
		f.requireFullState(late)
	})
}

// Guards against a node that keeps an ended incarnation, and so stays without a lease, because the log dropped the end
// record before the node read it.
func TestNodeEndedInDroppedRecordsRejoins(t *testing.T) {
	runInVirtualTime(t, func(f *retentionFleet) {
		_, b := f.startPair()
		before := b.incarnation()
		b.cutFromLog.Store(true)
		b.cutFromPeers.Store(true)
		f.advance(time.Minute, false)
		f.dropAllRecords()
		f.advance(2*time.Minute, false)
		b.cutFromPeers.Store(false)
		b.cutFromLog.Store(false)
		f.advance(30*time.Second, false)
		if after := b.incarnation(); after == before || after == 0 {
			t.Errorf("incarnation %d, before the cut %d", after, before)
		}
		f.requireFullState(b)
	})
}

// Guards against a record of this node that counts as rejected because earlier records are missing: a holder would drop
// a witness set that may be in force.
func TestOwnProposalStaysOpenWhileRecordsAreMissing(t *testing.T) {
	runInVirtualTime(t, func(f *retentionFleet) {
		n := f.start("n", false)
		record := &ledger.Record{Kind: ledger.KindWitnesses, ID: "own", Witnesses: &ledger.Witnesses{Incarnation: 1}}
		completed := func(o ledger.Offset, r ledger.Rejection) { t.Errorf("the proposal completed at %d: %q", o, r) }
		n.proposals.open(&proposal{purpose: purposeWitnesses, record: record, done: completed})
		n.ledger.setEarliestKept(10)
		n.recordReplayed(n.ledger.apply(platformlog.Entry{Offset: 10, Record: record}, time.Now()), time.Now())
		if !n.proposals.isOpen(purposeWitnesses) {
			t.Error("the proposal was closed")
		}
	})
}

// Guards against a new owner that serves slices without delay although their previous owner was lost, because it did
// not read the record of the loss.
func TestUnreadLossesCountFromSnapshotLoad(t *testing.T) {
	runInVirtualTime(t, func(f *retentionFleet) {
		n := f.start("n", false)
		s := ledger.NewState()
		group := &ledger.Group{Version: 4, Slices: []ledger.Slice{{Fence: 4, Lost: 4, LostUnixMS: 1}}}
		s.Groups[group.ID], s.Offset = group, 9
		if !n.loadSnapshot(s) {
			t.Fatal("the snapshot was not loaded")
		}
		if read := n.ledger.lossReadTimes[4]; !read.Equal(time.Now()) {
			t.Errorf("the loss counts from %s", read)
		}
	})
}

// Guards against two faults of a member that has loaded a snapshot in place of unread records: it checks every few
// milliseconds for a holder that ended in those records, or it never claims a holder that stopped renewing through the
// log in them.
func TestClaimsAfterSnapshotLoad(t *testing.T) {
	runInVirtualTime(t, func(f *retentionFleet) {
		n := f.start("n", false)
		n.logReadOnly.Store(true)
		n.leases.join(2, ledger.WitnessSet{Version: 2, Members: []ledger.Incarnation{1}}, time.Now())
		endedHolder := &ledger.Member{Incarnation: 3, WitnessSet: ledger.WitnessSet{Version: 3, Members: []ledger.Incarnation{2}}}
		n.leases.observeWitnessSets([]*ledger.Member{endedHolder}, time.Now())
		s := ledger.NewState()
		s.Members[1] = &ledger.Member{Incarnation: 1, WitnessSet: ledger.WitnessSet{Version: 1}}
		s.Members[2] = &ledger.Member{Incarnation: 2, WitnessSet: ledger.WitnessSet{Version: 2, Members: []ledger.Incarnation{1}}}
		s.Offset = 9
		if !n.loadSnapshot(s) {
			t.Fatal("the snapshot was not loaded")
		}
		if !n.leases.witness.NextOverdue().IsZero() {
			t.Error("the ended holder is still witnessed")
		}
		f.advance(20*time.Second, false)
		if !n.proposals.isOpen(endPurpose(1)) {
			t.Error("there is no claim against the holder that does not renew")
		}
	})
}

// Guards against a node that, when started during an outage of the log, does not forward requests, joins or reports
// itself as current during the outage, or does not read the log after it.
func TestStartWhileLogIsDown(t *testing.T) {
	runInVirtualTime(t, func(f *retentionFleet) {
		a, _ := f.startPair()
		f.log.SetFaults(fake.LogFaults{Down: true})
		late := f.start("late", true, "a")
		f.advance(30*time.Second, false)
		deadline := time.Now().Add(time.Second)
		r := request.Request{Service: "s", Key: "k", Idempotent: true, Method: "GET", Deadline: deadline}
		if answer := late.Serve(f.ctx, r); answer.Outcome != request.Done {
			t.Errorf("answer during the outage: %+v", answer)
		}
		if late.proposals.isOpen(purposeJoin) || late.incarnation() != 0 || late.position().Freshness != operator.FreshnessUnknown {
			t.Errorf("incarnation %d, position %+v", late.incarnation(), late.position())
		}
		f.log.SetFaults(fake.LogFaults{})
		f.publish("second", a.ledger.revision())
		f.advance(30*time.Second, false)
		if late.incarnation() == 0 {
			t.Error("the node did not join after the outage")
		}
		f.requireFullState(late)
	})
}
