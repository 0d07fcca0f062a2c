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

// pair starts two members that own slices.
func (w *retentionWorld) pair() (a, b *retentionNode) {
	w.publish("first", 0)
	a, b = w.start("a", true), w.start("b", true)
	w.pass(20*time.Second, false)
	if a.incarnation() == 0 || b.incarnation() == 0 {
		w.t.Fatal("the nodes did not join")
	}
	return a, b
}

// inBubble runs a test on a world in virtual time.
func inBubble(t *testing.T, test func(w *retentionWorld)) {
	synctest.Test(t, func(t *testing.T) { test(newRetentionWorld(t)) })
}

// Guards against a state that is lost when the retention time passes under a running fleet, and against more than one
// checkpoint in a period.
func TestRetentionPassesUnderAFleet(t *testing.T) {
	inBubble(t, func(w *retentionWorld) {
		a, _ := w.pair()
		w.pass(15*time.Minute, true)
		late := w.start("late", false)
		w.pass(15*time.Second, true)
		w.wantWholeState(a)
		w.wantWholeState(late)
		// One follows the start, then one comes every 2.5 minutes.
		if n := w.checkpoints(); n < 5 || n > 7 {
			t.Errorf("%d checkpoints in 15 minutes", n)
		}
	})
}

// Guards against a checkpoint that is written again and again because its reply was lost.
func TestCheckpointWhoseReplyIsLost(t *testing.T) {
	inBubble(t, func(w *retentionWorld) {
		a, _ := w.pair()
		w.log.SetFaults(fake.LogFaults{LostReplies: 1})
		a.proposeCheckpoint()
		w.pass(30*time.Second, false)
		if n := w.checkpoints(); n != 1 || a.proposals.isOpen(purposeCheckpoint) {
			t.Errorf("%d checkpoints, proposal open: %t", n, a.proposals.isOpen(purposeCheckpoint))
		}
	})
}

// Guards against two writers at once that disturb each other or later readers, and against a record of a checkpoint
// that cannot be unpacked and so hides the good one from late readers.
func TestRivalCheckpoints(t *testing.T) {
	inBubble(t, func(w *retentionWorld) {
		a, b := w.pair()
		a.proposeCheckpoint()
		b.proposeCheckpoint()
		w.pass(15*time.Second, false)
		broken := []byte(`{"kind":"checkpoint","id":"x","checkpoint":{"offset":3,"at_unix_ms":1,"packed":"AAAA"}}`)
		before := ledger.Offset(w.log.Len())
		w.forgetAll()
		if _, err := w.log.AppendBytes(w.ctx, broken); err != nil {
			t.Fatal(err)
		}
		w.publish("second", a.ledger.revision())
		w.pass(2*time.Minute, false)
		late := w.start("late", false)
		w.pass(15*time.Second, false)
		if late.ledger.offset() <= before {
			t.Fatalf("the late reader is at %d", late.ledger.offset())
		}
		w.wantWholeState(late)
		w.wantWholeState(b)
	})
}

// Guards against all members that write at once when the log is back after an outage in which a checkpoint became due.
func TestOneCheckpointAfterAnOutage(t *testing.T) {
	inBubble(t, func(w *retentionWorld) {
		w.pair()
		w.pass(3*time.Minute, false)
		before := w.checkpoints()
		w.log.SetFaults(fake.LogFaults{Down: true})
		w.pass(10*time.Minute, false)
		w.log.SetFaults(fake.LogFaults{})
		w.pass(time.Minute, false)
		if n := w.checkpoints() - before; before != 1 || n != 1 {
			t.Errorf("%d checkpoints before the outage, %d in the minute after it", before, n)
		}
	})
}

// Guards against a fleet whose log forgets records sooner than the setting says: the members must notice it.
func TestShorterRetentionThanTheSetting(t *testing.T) {
	inBubble(t, func(w *retentionWorld) {
		w.pair()
		w.forgetAll()
		w.pass(90*time.Second, false)
		late := w.start("late", false)
		w.pass(15*time.Second, false)
		w.wantWholeState(late)
	})
}

// Guards against a member that takes records for read which the log forgot while the node was cut off, that says it is
// current meanwhile, or that needs a restart.
func TestMemberBehindRetention(t *testing.T) {
	inBubble(t, func(w *retentionWorld) {
		a, b := w.pair()
		b.cutFromLog.Store(true)
		w.publish("second", a.ledger.revision())
		w.pass(15*time.Second, false)
		w.forgetAll()
		// Nobody can help yet: no checkpoint is kept, and the other node does not answer.
		a.readOnly.Store(true)
		a.cutFromNodes.Store(true)
		b.cutFromLog.Store(false)
		w.publish("third", a.ledger.revision())
		if _, err := w.log.AppendBytes(w.ctx, []byte("{")); err != nil {
			t.Fatal(err)
		}
		w.pass(5*time.Second, false)
		if p := b.position(); p.Currency != operator.CurrencyUnknown || p.Offset >= a.ledger.revision() {
			t.Errorf("with records missing the node says %+v", p)
		}
		a.readOnly.Store(false)
		a.cutFromNodes.Store(false)
		w.pass(3*time.Minute, false)
		w.wantWholeState(b)
		if p := b.position(); p.Currency != operator.Current {
			t.Errorf("after the checkpoint the node says %+v", p)
		}
	})
}

// Guards against a node that waits for a checkpoint which nobody can write, although a peer has the state.
func TestSnapshotWithoutCheckpoint(t *testing.T) {
	inBubble(t, func(w *retentionWorld) {
		a, b := w.pair()
		a.readOnly.Store(true)
		b.readOnly.Store(true)
		w.forgetAll()
		late := w.start("late", false, "a")
		w.pass(30*time.Second, false)
		if w.checkpoints() != 0 {
			t.Fatal("a checkpoint was written")
		}
		w.wantWholeState(late)
	})
}

// Guards against an incarnation whose end lies in forgotten records and that stays without a lease for ever.
func TestNodeEndedInForgottenRecordsJoinsAgain(t *testing.T) {
	inBubble(t, func(w *retentionWorld) {
		_, b := w.pair()
		before := b.incarnation()
		b.cutFromLog.Store(true)
		b.cutFromNodes.Store(true)
		w.pass(time.Minute, false)
		w.forgetAll()
		w.pass(2*time.Minute, false)
		b.cutFromNodes.Store(false)
		b.cutFromLog.Store(false)
		w.pass(30*time.Second, false)
		if after := b.incarnation(); after == before || after == 0 {
			t.Errorf("incarnation %d, before the cut %d", after, before)
		}
		w.wantWholeState(b)
	})
}

// Guards against an own record that is taken for rejected because earlier records are missing: a holder would drop a
// witness set that may be in force.
func TestOwnRecordStaysOpenWhileRecordsAreMissing(t *testing.T) {
	inBubble(t, func(w *retentionWorld) {
		n := w.start("n", false)
		record := &ledger.Record{Kind: ledger.KindWitnesses, ID: "own", Witnesses: &ledger.Witnesses{Incarnation: 1}}
		decided := func(o ledger.Offset, r ledger.Rejection) { t.Errorf("decided at %d: %q", o, r) }
		n.proposals.open(&proposal{purpose: purposeWitnesses, record: record, done: decided})
		n.ledger.setEarliestKept(10)
		n.recordReplayed(n.ledger.apply(platformlog.Entry{Offset: 10, Record: record}, time.Now()), time.Now())
		if !n.proposals.isOpen(purposeWitnesses) {
			t.Error("the proposal was closed")
		}
	})
}

// Guards against a new owner that serves at once slices whose loss lies in records that it did not read.
func TestUnreadLossesCountFromTheirRestore(t *testing.T) {
	inBubble(t, func(w *retentionWorld) {
		n := w.start("n", false)
		s := ledger.NewState()
		group := &ledger.Group{Version: 4, Slices: []ledger.Slice{{Fence: 4, Lost: 4, LostUnixMS: 1}}}
		s.Groups[group.ID], s.Offset = group, 9
		if !n.loadSnapshot(s) {
			t.Fatal("not adopted")
		}
		if read := n.ledger.lossReadTimes[4]; !read.Equal(time.Now()) {
			t.Errorf("the loss counts from %s", read)
		}
	})
}

// Guards against a member that, after it took over a state, looks every few milliseconds at a holder that has ended,
// or never claims one that stopped renewing through the log in the records that it did not read.
func TestHoldersAfterRestore(t *testing.T) {
	inBubble(t, func(w *retentionWorld) {
		n := w.start("n", false)
		n.readOnly.Store(true)
		n.leases.join(2, ledger.WitnessSet{Version: 2, Members: []ledger.Incarnation{1}}, time.Now())
		endedHolder := &ledger.Member{Incarnation: 3, WitnessSet: ledger.WitnessSet{Version: 3, Members: []ledger.Incarnation{2}}}
		n.leases.observeWitnessSets([]*ledger.Member{endedHolder}, time.Now())
		s := ledger.NewState()
		s.Members[1] = &ledger.Member{Incarnation: 1, WitnessSet: ledger.WitnessSet{Version: 1}}
		s.Members[2] = &ledger.Member{Incarnation: 2, WitnessSet: ledger.WitnessSet{Version: 2, Members: []ledger.Incarnation{1}}}
		s.Offset = 9
		if !n.loadSnapshot(s) {
			t.Fatal("not adopted")
		}
		if !n.leases.witness.NextOverdue().IsZero() {
			t.Error("the ended holder is still watched")
		}
		w.pass(20*time.Second, false)
		if !n.proposals.isOpen(endPurpose(1)) {
			t.Error("the holder that does not renew is not claimed")
		}
	})
}

// Guards against a node that cannot serve when it starts during an outage of the log, that joins or counts as current
// in that time, and that does not read on when the log is back.
func TestStartWhileTheLogIsDown(t *testing.T) {
	inBubble(t, func(w *retentionWorld) {
		a, _ := w.pair()
		w.log.SetFaults(fake.LogFaults{Down: true})
		late := w.start("late", true, "a")
		w.pass(30*time.Second, false)
		deadline := time.Now().Add(time.Second)
		r := request.Request{Service: "s", Key: "k", Idempotent: true, Method: "GET", Deadline: deadline}
		if answer := late.Serve(w.ctx, r); answer.Outcome != request.Done {
			t.Errorf("answer during the outage: %+v", answer)
		}
		if late.proposals.isOpen(purposeJoin) || late.incarnation() != 0 || late.position().Currency != operator.CurrencyUnknown {
			t.Errorf("incarnation %d, position %+v", late.incarnation(), late.position())
		}
		w.log.SetFaults(fake.LogFaults{})
		w.publish("second", a.ledger.revision())
		w.pass(30*time.Second, false)
		if late.incarnation() == 0 {
			t.Error("the node did not join when the log was back")
		}
		w.wantWholeState(late)
	})
}
