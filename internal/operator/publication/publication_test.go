package publication

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"heatherreel/internal/config"
	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/problem"
)

const document = "regions: {r: {data_centres: [d]}}\nservices: [s]\ndefaults: {home_regions: any}\n"

// configurationRecord returns a configuration record with the document text.
func configurationRecord(id string, base ledger.Offset, text string) *ledger.Record {
	return &ledger.Record{Kind: ledger.KindConfiguration, ID: id,
		Configuration: &ledger.Configuration{Base: base, Document: text, Author: "author of " + id, Note: "note"}}
}

// decode decodes a configuration document.
func decode(t rapid.TB, text string) *config.Configuration {
	c, err := config.Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against a verdict that differs from the result of the replay on every node, for any order of competing
// records, copies of the own record and malformed bytes.
func TestVerdictAgreesWithReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replay := NewReplay(1)
		replay.Add(1, configurationRecord("first", 0, document))
		own := configurationRecord("own", 1, document)
		p, err := New(replay, own, decode(t, document))
		if err != nil {
			t.Fatal(err)
		}
		reference := ledger.NewState()
		reference.Apply(1, configurationRecord("first", 0, document))
		verdict, ownAccepted, rivalAccepted := Pending, false, false
		for i := range rapid.IntRange(0, 6).Draw(t, "records") {
			offset := ledger.Offset(i + 2)
			var r *ledger.Record
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				r = own
			case 1:
				r = configurationRecord("rival", rapid.SampledFrom([]ledger.Offset{0, 1, 2, 3}).Draw(t, "base"), document)
			case 2:
				r = &ledger.Record{Kind: "later", ID: "x"}
			}
			verdict = p.Add(offset, r)
			if r == nil {
				reference.Skip(offset)
				continue
			}
			if reference.Apply(offset, r) == ledger.Accepted && !ownAccepted && !rivalAccepted {
				ownAccepted, rivalAccepted = r.ID == "own", r.ID != "own"
			}
		}
		want := Pending
		if ownAccepted {
			want = Published
		} else if rivalAccepted {
			want = Preempted
		}
		if verdict != want {
			t.Fatalf("verdict %d, want %d", verdict, want)
		}
	})
}

// Guards against replacing a revision that the operator has not seen, and against changing slice counts, which are
// fixed.
func TestNewErrors(t *testing.T) {
	replay := NewReplay(1)
	replay.Add(1, configurationRecord("first", 0, document))
	group := keyspace.Group{Service: "s"}
	replay.Add(2, &ledger.Record{Kind: ledger.KindAssign, ID: "a", Assign: &ledger.Assign{Group: group, Count: 256}})
	_, err := New(replay, configurationRecord("own", 0, document), decode(t, document))
	if !errors.Is(err, problem.Conflict) || !strings.Contains(err.Error(), `revision 1 by "author of first"`) {
		t.Errorf("outdated base: %v", err)
	}
	resliced := strings.Replace(document, "any", "any, slices: 8", 1)
	if _, err := New(replay, configurationRecord("own", 1, resliced), decode(t, resliced)); !errors.Is(err, problem.Invalid) {
		t.Errorf("changed slices: %v", err)
	}
	if _, err := New(NewReplay(1), configurationRecord("own", 4, document), decode(t, document)); !errors.Is(err, problem.Conflict) {
		t.Errorf("base that does not exist: %v", err)
	}
}

// Guards against a verdict from a log whose first records are no longer retained and that has no checkpoint, and
// against losing records between the offset that a checkpoint covers and the offset of its record.
func TestReplayNeedsCheckpoint(t *testing.T) {
	state := ledger.NewState()
	state.Apply(1, configurationRecord("first", 0, document))
	state.Skip(10)
	replay := NewReplay(9)
	replay.Add(9, nil)
	replay.Add(10, &ledger.Record{Kind: "later", ID: "x"})
	replay.Add(11, configurationRecord("second", 1, document))
	if _, err := New(replay, configurationRecord("own", 11, document), decode(t, document)); !errors.Is(err, problem.PastRetention) {
		t.Errorf("without a checkpoint: %v", err)
	}
	replay.Add(12, &ledger.Record{Kind: ledger.KindCheckpoint, ID: "c", Checkpoint: &ledger.Checkpoint{Offset: 10, State: state}})
	if !replay.Complete() || replay.State().Revision() != 11 || replay.State().Offset != 12 {
		t.Errorf("after the checkpoint: complete %v, revision %d, offset %d", replay.Complete(), replay.State().Revision(), replay.State().Offset)
	}
	gapReplay := NewReplay(20)
	gapReplay.Add(20, &ledger.Record{Kind: ledger.KindCheckpoint, ID: "c", Checkpoint: &ledger.Checkpoint{Offset: 10, State: state}})
	if gapReplay.Complete() {
		t.Error("a checkpoint that leaves a gap completed the state")
	}
}
