package ledger

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"heatherreel/internal/problem"
)

// roundTrip encodes and decodes the record, as between a writer and a reader of the log.
func roundTrip(t rapid.TB, r *Record) *Record {
	t.Helper()
	data, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	var read Record
	if err := json.Unmarshal(data, &read); err != nil {
		t.Fatal(err)
	}
	return &read
}

// checkpointOf returns a checkpoint record of the state, as a reader of the log decodes it.
func checkpointOf(t rapid.TB, s *State, atUnixMS int64) *Record {
	t.Helper()
	taken := &Checkpoint{Offset: s.Offset, AtUnixMS: atUnixMS, State: s.Clone()}
	return roundTrip(t, &Record{Kind: KindCheckpoint, ID: "c", Checkpoint: taken})
}

// packed returns a checkpoint record whose compressed state is the given text.
func packed(offset Offset, text []byte) *Record {
	var data bytes.Buffer
	w, _ := flate.NewWriter(&data, flate.BestSpeed)
	_, _ = w.Write(text)
	_ = w.Close()
	return &Record{Kind: KindCheckpoint, Checkpoint: &Checkpoint{Offset: offset, packed: data.Bytes()}}
}

// TestCheckpointIsRecordedByReaders guards against a checkpoint that changes the state of a reader which has replayed
// all records, and against an older checkpoint replacing a newer one in LastCheckpoint.
func TestCheckpointIsRecordedByReaders(t *testing.T) {
	s := newTestState(t)
	late, early := checkpointOf(t, s, 7000), checkpointOf(t, newTestState(t), 6000)
	early.Checkpoint.Offset = 5
	before := encode(t, s)
	if got := s.Apply(7, late); got != Accepted {
		t.Fatal(got)
	}
	if want := (LastCheckpoint{Record: 7, Covers: 6, AtUnixMS: 7000}); *s.LastCheckpoint != want {
		t.Fatalf("recorded %+v, want %+v", *s.LastCheckpoint, want)
	}
	for _, r := range []*Record{early, late} {
		if got := s.Apply(s.Offset+1, r); got != OutdatedCheckpoint || s.LastCheckpoint.Record != 7 {
			t.Fatalf("after a checkpoint that covers no more: %q, recorded %+v", got, s.LastCheckpoint)
		}
	}
	s.LastCheckpoint, s.Offset = nil, 6
	if after := encode(t, s); after != before {
		t.Fatalf("the checkpoint changed the state:\n%s\n%s", before, after)
	}
}

// TestInvalidCheckpointIsNotAdopted guards against a late reader that adopts a state which replay cannot have produced,
// which exhausts its memory, or which leaves a gap before the records that the log retains.
func TestInvalidCheckpointIsNotAdopted(t *testing.T) {
	good := newTestState(t)
	changed := func(change func(s *State)) *Record {
		s := newTestState(t)
		change(s)
		return checkpointOf(t, s, 0)
	}
	otherOffset, future, older := checkpointOf(t, good, 0), checkpointOf(t, good, 0), checkpointOf(t, good, 0)
	otherOffset.Checkpoint.Offset, future.Checkpoint.Offset = 7, 30
	older.Checkpoint.Offset = 3
	for name, r := range map[string]*Record{
		"no state":                    {Kind: KindCheckpoint, Checkpoint: &Checkpoint{Offset: 6}},
		"not compressed":              {Kind: KindCheckpoint, Checkpoint: &Checkpoint{Offset: 6, packed: []byte("{}")}},
		"not a state":                 packed(6, []byte("[1, 2")),
		"null member":                 packed(6, []byte(`{"offset":6,"members":[null]}`)),
		"larger than the limit":       packed(6, append([]byte(encode(t, good)), bytes.Repeat([]byte(" "), maxStateSize)...)),
		"another offset":              otherOffset,
		"offset after the record":     future,
		"older than retained records": older,
		"owner that is not a member":  changed(func(s *State) { s.Groups[orders].Slices[0].Owner = 5 }),
		"source that is not a member": changed(func(s *State) { s.Groups[orders].Slices[0].Sources = []Incarnation{5} }),
		"fence after the state":       changed(func(s *State) { s.Groups[orders].Slices[0].Fence = 9 }),
		"revision after the state":    changed(func(s *State) { s.Configuration.Revision = 9 }),
		"member after the state":      changed(func(s *State) { s.Members[9] = &Member{Incarnation: 9} }),
		"witness listed twice":        changed(func(s *State) { s.Members[3].WitnessSet.Members = []Incarnation{2, 2} }),
	} {
		t.Run(name, func(t *testing.T) {
			late := NewReplay(7)
			before := encode(t, late.State())
			if _, restored := late.Add(20, r); restored || late.Complete() {
				t.Fatal("adopted")
			}
			if after := encode(t, late.State()); after != before {
				t.Fatalf("the state changed:\n%s\n%s", before, after)
			}
			if got, restored := late.Add(21, checkpointOf(t, good, 0)); !restored {
				t.Fatalf("the valid checkpoint after it was not adopted: %q", got)
			}
		})
	}
}

// TestUnpackStopsAtSizeLimit guards against a small record whose decompression exhausts the memory of every late
// reader.
func TestUnpackStopsAtSizeLimit(t *testing.T) {
	const bombSize, maxAllocated = 4 * maxStateSize, 6 * maxStateSize
	bomb := packed(6, bytes.Repeat([]byte(" "), bombSize))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := bomb.Checkpoint.Unpack()
	runtime.ReadMemStats(&after)
	if !errors.Is(err, problem.TooLarge) {
		t.Errorf("err = %v, want %s", err, string(problem.TooLarge))
	}
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxAllocated {
		t.Errorf("a record of %d bytes made the reader allocate %d", len(bomb.Checkpoint.packed), allocated)
	}
}

// TestOversizedCheckpointIsNotWritten guards against writing a checkpoint whose state no reader would decompress.
func TestOversizedCheckpointIsNotWritten(t *testing.T) {
	s := NewState()
	s.Apply(1, &Record{Kind: KindConfiguration, Configuration: &Configuration{Document: strings.Repeat("x", maxStateSize)}})
	if _, err := json.Marshal(&Checkpoint{Offset: 1, State: s}); !errors.Is(err, problem.TooLarge) {
		t.Fatalf("err = %v, want %s", err, string(problem.TooLarge))
	}
}

// TestMissingRecordsDoNotAdvanceOffset guards against a reader that advances its offset on malformed records and
// outdated checkpoints while earlier records are missing, and so later treats the missing records as applied.
func TestMissingRecordsDoNotAdvanceOffset(t *testing.T) {
	r := NewReplay(1)
	for i := range Offset(3) {
		r.Add(i+1, &Record{Kind: KindJoin, ID: string(rune('a' + i)), Join: &Join{}})
	}
	outdated := checkpointOf(t, r.State(), 0)
	r.SetEarliest(10)
	for i, record := range []*Record{nil, outdated, {Kind: KindLeave, ID: "l", Leave: &Leave{Incarnation: 1}}} {
		if r.Add(Offset(10+i), record); r.Complete() || r.State().Offset != 3 || len(r.State().Members) != 3 {
			t.Fatalf("after record %d: complete %t, state %s", 10+i, r.Complete(), encode(t, r.State()))
		}
	}
	stale, fresh := newTestState(t), newTestState(t)
	stale.Offset, fresh.Offset = 8, 9
	if r.Adopt(stale) || !r.Adopt(fresh) || !r.Complete() {
		t.Fatal("adopted a snapshot that leaves a gap, or refused one that leaves none")
	}
}

// TestLateReaderReachesSameState guards against records that are lost or applied twice when retention has removed the
// oldest records of the log. It varies the history, the earliest retained record and the progress of retention while
// the reader reads.
func TestLateReaderReachesSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log, covering := drawHistory(t)
		first := NewReplay(1)
		for i, r := range log {
			first.Add(Offset(i+1), r)
		}
		earliest := Offset(rapid.IntRange(1, int(covering)+1).Draw(t, "earliest"))
		late := NewReplay(earliest)
		for next := earliest; int(next) <= len(log); {
			if rapid.IntRange(0, 9).Draw(t, "retention") == 0 {
				earliest = Offset(rapid.IntRange(int(earliest), int(covering)+1).Draw(t, "next earliest"))
				late.SetEarliest(earliest)
				next = max(next, earliest)
				continue
			}
			_, restored := late.Add(next, log[next-1])
			next++
			if restored {
				next = late.State().Offset + 1
			}
		}
		if !late.Complete() {
			t.Fatal("no checkpoint was adopted")
		}
		if a, b := encode(t, first.State()), encode(t, late.State()); a != b {
			t.Fatalf("the late reader differs:\n%s\n%s", a, b)
		}
	})
}

// drawHistory draws records, some of them malformed and some of them checkpoints of older states. One record is a
// checkpoint of the state at its own time; covering is the offset that it covers.
func drawHistory(t *rapid.T) (log []*Record, covering Offset) {
	state := NewState()
	views := []*State{state.Clone()}
	next := 0
	for len(log) < 40 {
		view := rapid.SampledFrom(views[max(0, len(views)-4):]).Draw(t, "view")
		var r *Record
		if rapid.IntRange(0, 9).Draw(t, "malformed") > 0 {
			r = roundTrip(t, (&recordGenerator{t: t, view: view, next: &next}).record())
		}
		if len(log) == 30 {
			r, covering = checkpointOf(t, state, 0), state.Offset
		}
		log = append(log, r)
		if r == nil {
			state.Skip(Offset(len(log)))
		} else {
			state.Apply(Offset(len(log)), r)
		}
		views = append(views, state.Clone())
	}
	return log, covering
}
