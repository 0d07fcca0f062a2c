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

// revision returns a configuration record.
func revision(id string, base ledger.Offset, text string) *ledger.Record {
	return &ledger.Record{Kind: ledger.KindConfiguration, ID: id,
		Configuration: &ledger.Configuration{Base: base, Document: text, Author: "author of " + id, Note: "note"}}
}

// decoded returns the decoded text.
func decoded(t rapid.TB, text string) *config.Configuration {
	c, err := config.Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against a verdict that differs from what the replay of every node says, in any order of rivals, copies of the
// own record and malformed bytes.
func TestVerdictAgreesWithReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replay := NewReplay(1)
		replay.Add(1, revision("first", 0, document))
		own := revision("own", 1, document)
		p, err := New(replay, own, decoded(t, document))
		if err != nil {
			t.Fatal(err)
		}
		other := ledger.NewState()
		other.Apply(1, revision("first", 0, document))
		verdict, ownTook, rivalTook := Pending, false, false
		for i := range rapid.IntRange(0, 6).Draw(t, "records") {
			offset := ledger.Offset(i + 2)
			var r *ledger.Record
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				r = own
			case 1:
				r = revision("rival", rapid.SampledFrom([]ledger.Offset{0, 1, 2, 3}).Draw(t, "base"), document)
			case 2:
				r = &ledger.Record{Kind: "later", ID: "x"}
			}
			verdict = p.Add(offset, r)
			if r == nil {
				other.Skip(offset)
				continue
			}
			if other.Apply(offset, r) == ledger.Accepted && !ownTook && !rivalTook {
				ownTook, rivalTook = r.ID == "own", r.ID != "own"
			}
		}
		want := Pending
		if ownTook {
			want = Published
		} else if rivalTook {
			want = Lost
		}
		if verdict != want {
			t.Fatalf("verdict %d, want %d", verdict, want)
		}
	})
}

// Guards against publishing over a revision that the operator has not seen, and against changing fixed slice counts.
func TestNewRefuses(t *testing.T) {
	replay := NewReplay(1)
	replay.Add(1, revision("first", 0, document))
	group := keyspace.Group{Service: "s"}
	replay.Add(2, &ledger.Record{Kind: ledger.KindAssign, ID: "a", Assign: &ledger.Assign{Group: group, Count: 256}})
	_, err := New(replay, revision("own", 0, document), decoded(t, document))
	if !errors.Is(err, problem.Conflict) || !strings.Contains(err.Error(), `revision 1 by "author of first"`) {
		t.Errorf("outdated base: %v", err)
	}
	resliced := strings.Replace(document, "any", "any, slices: 8", 1)
	if _, err := New(replay, revision("own", 1, resliced), decoded(t, resliced)); !errors.Is(err, problem.Invalid) {
		t.Errorf("changed slices: %v", err)
	}
	if _, err := New(NewReplay(1), revision("own", 4, document), decoded(t, document)); !errors.Is(err, problem.Conflict) {
		t.Errorf("base that does not exist: %v", err)
	}
}

// Guards against deciding from a stream whose beginning is gone, and against losing records that come between the
// state of a checkpoint and its record.
func TestReplayNeedsCheckpoint(t *testing.T) {
	state := ledger.NewState()
	state.Apply(1, revision("first", 0, document))
	state.Skip(10)
	replay := NewReplay(9)
	replay.Add(9, nil)
	replay.Add(10, &ledger.Record{Kind: "later", ID: "x"})
	replay.Add(11, revision("second", 1, document))
	if _, err := New(replay, revision("own", 11, document), decoded(t, document)); !errors.Is(err, problem.Forgotten) {
		t.Errorf("without a checkpoint: %v", err)
	}
	replay.Add(12, &ledger.Record{Kind: ledger.KindCheckpoint, ID: "c", Checkpoint: &ledger.Checkpoint{Offset: 10, State: state}})
	if !replay.Complete() || replay.State().Revision() != 11 || replay.State().Offset != 12 {
		t.Errorf("after the checkpoint: complete %v, revision %d, offset %d", replay.Complete(), replay.State().Revision(), replay.State().Offset)
	}
	gap := NewReplay(20)
	gap.Add(20, &ledger.Record{Kind: ledger.KindCheckpoint, ID: "c", Checkpoint: &ledger.Checkpoint{Offset: 10, State: state}})
	if gap.Complete() {
		t.Error("a checkpoint that leaves a gap completed the state")
	}
}
