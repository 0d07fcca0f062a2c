package registry

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"heatherreel/internal/keyrange"
	"heatherreel/internal/problem"
)

// tableWithMoves returns a table with moves, handover tokens, a suspicion and a lost instance.
func tableWithMoves() *keyrange.Table {
	t := &keyrange.Table{Service: "orders", Suspicions: map[string]keyrange.Suspicion{}, Lost: map[string]bool{}}
	var all []keyrange.Candidate
	for _, name := range []string{"sidecar-west-a-1", "sidecar-west-b-1", "sidecar-central-a-1", "sidecar-central-b-1"} {
		all = append(all, keyrange.Candidate{Owner: keyrange.Owner{Instance: name, Server: "i-" + name, StartedUnixMS: 1769827204538}, Weight: 9})
	}
	t.Initialize(all)
	for i := range 24 {
		from := uint16(i * 2500)
		t.Move(t.Ranges[0].Owner.Instance, all[1+i%3].Owner.Instance, from, from+200)
	}
	t.HandOver(all[0].Owner.Instance, 2500, 2700, "5c0e7a21d94b36f8", func(string) (keyrange.Owner, bool) { return all[1].Owner, true })
	t.Unassign(all[3].Owner.Instance)
	t.Suspect(all[2].Owner.Instance, all[0].Owner.Instance)
	t.Lost[all[3].Owner.Instance] = true
	return t
}

// Guards against a table that changes when it is stored and read again, and against records that take too much of the
// bandwidth between regions.
func TestRangesRoundTrip(t *testing.T) {
	want := tableWithMoves()
	record, err := EncodeRanges(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeRanges(record)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, %v\nwant %+v", got, err, want)
	}
	if perRange := len(record.Value) / len(want.Ranges); perRange > 60 {
		t.Errorf("%d bytes per range", perRange)
	}
	more := want.Clone()
	more.Move(more.Ranges[30].Owner.Instance, "", more.Ranges[30].From, more.Ranges[30].From+1)
	longer, err := EncodeRanges(more)
	if err != nil || len(more.Ranges) != len(want.Ranges)+1 {
		t.Fatalf("%d ranges after a split, %v", len(more.Ranges), err)
	}
	if grown := len(longer.Value) - len(record.Value); grown > 20 {
		t.Errorf("one more range takes %d bytes", grown)
	}
}

// Guards against malformed records, such as those of another writer, that take effect.
func TestMalformedRecordsAreRejected(t *testing.T) {
	good, err := EncodeRanges(tableWithMoves())
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]string{
		"bytes":        "\xff\xfe",
		"other key":    `{"service":"other"}`,
		"unordered":    `{"service":"orders","ranges":"10,1;10,1;65535,1"}`,
		"incomplete":   `{"service":"orders","ranges":"10,1"}`,
		"no owner":     `{"service":"orders","ranges":"65535,1,3"}`,
		"few fields":   `{"service":"orders","ranges":"65535"}`,
		"large key":    `{"service":"orders","ranges":"65536,1"}`,
		"old format":   `{"service":"orders","ranges":"0,65535,1,,,"}`,
		"wrong number": strings.Replace(string(good.Value), `"ranges":"`, `"ranges":"x`, 1),
	} {
		if _, err := DecodeRanges(Record{Key: "orders", Value: []byte(value)}); !errors.Is(err, problem.Malformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := DecodeMember(Record{Key: "i-1", Value: []byte(`{"Instance":"i-2","Address":"a"}`)}); !errors.Is(err, problem.Malformed) {
		t.Errorf("a member under another key: %v", err)
	}
}

// Guards against a renamed field that changes the stored form of a member, which other versions read.
func TestStoredFieldNames(t *testing.T) {
	full := Member{
		Instance: "i-1", Incarnation: 4, Address: "10.0.0.1:7400", DataCentre: "west-a", Region: "west", Service: "orders",
		Server:   Server{ID: "s-1", StartedUnixMS: 1769827204538, Ready: true, Draining: true, Slots: 12, WorkPercent: 110},
		Stopping: true,
	}
	withoutWorkPercent := full
	withoutWorkPercent.Server.WorkPercent = 0
	for want, m := range map[string]Member{
		`{"Instance":"i-1","Incarnation":4,"Address":"10.0.0.1:7400","DataCentre":"west-a","Region":"west","Service":"orders","Server":{"ID":"s-1","Born":1769827204538,"Ready":true,"Draining":true,"Slots":12,"WorkPercent":110},"Stopping":true}`: full,
		`{"Instance":"i-1","Incarnation":4,"Address":"10.0.0.1:7400","DataCentre":"west-a","Region":"west","Service":"orders","Server":{"ID":"s-1","Born":1769827204538,"Ready":true,"Draining":true,"Slots":12},"Stopping":true}`:                   withoutWorkPercent,
	} {
		r, err := EncodeMember(m)
		if err != nil || r.Key != m.Instance || string(r.Value) != want {
			t.Errorf("member is stored as %q: %s, %v; want %s", r.Key, r.Value, err, want)
		}
		if got, err := DecodeMember(r); err != nil || got != m {
			t.Errorf("decoded %+v, %v; want %+v", got, err, m)
		}
	}
}
