package wirefields_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"heatherreel/internal/problem"
	"heatherreel/internal/routed"
	"heatherreel/internal/wirefields"
	"heatherreel/platform/header"
)

var table = header.PackedTable

// message is what one packed sequence of these tests holds.
type message struct {
	texts  []string
	host   string
	fields []routed.Field
}

func pack(m message, known wirefields.Known) ([]byte, wirefields.Recent, bool) {
	w := table.NewWriter(16, known)
	for _, s := range m.texts {
		w.Text(s)
	}
	w.Slot(wirefields.RecentHost, m.host)
	w.Fields(m.fields)
	packed, ok := w.Bytes()
	return packed, w.Recent(), ok
}

func unpack(packed []byte, texts int, known wirefields.Known) (message, wirefields.Recent, error) {
	r := table.NewReader(packed, known)
	m := message{texts: make([]string, texts)}
	for i := range m.texts {
		m.texts[i] = r.Text()
	}
	m.host = r.Slot(wirefields.RecentHost)
	m.fields = r.Fields()
	return m, r.Recent(), r.Close()
}

func (m message) equal(n message) bool {
	return slices.Equal(m.texts, n.texts) && m.host == n.host && slices.Equal(m.fields, n.fields)
}

var names = rapid.OneOf(
	rapid.SampledFrom([]string{"Heatherreel-Request-Id", header.ShardKey, header.ResponseSignature, "User-Agent", "user-agent", "Content-Type", "X-Content-Type-Options", "Accept", "ACCEPT", "Cookie", ""}),
	rapid.StringMatching(`[A-Za-z-]{1,70}`), anyBytes())

var texts = rapid.OneOf(
	rapid.SampledFrom([]string{"", "GET", "*/*", "identity", "id-1", "52174", "5", "sdk-client/1.9.3", "host.example", "application/octet-stream", strings.Repeat("h", 65), "0", "0.0", ".", "-", "0-0.0", "00-00-"}),
	rapid.StringMatching(`[0-9a-f]{1,33}`), rapid.StringMatching(`[0-9a-f]{1,33}(\.[0-9a-f]{0,33}){0,6}`),
	rapid.StringMatching(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`), rapid.StringMatching(`[0-9a-fA-F.-]{0,40}`), anyBytes())

func anyBytes() *rapid.Generator[string] {
	return rapid.Map(rapid.SliceOfN(rapid.Byte(), 0, 300), func(b []byte) string { return string(b) })
}

// Guards against a name or value that is changed, moved, dropped or doubled between two nodes, also by a reference to an
// earlier sequence of the connection.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent, received wirefields.Recent
		for range rapid.IntRange(1, 4).Draw(t, "sequences") {
			known := wirefields.Known{ID: texts.Draw(t, "id"), Key: rapid.SampledFrom([]string{"", "5", "52174"}).Draw(t, "key")}
			m := message{texts: rapid.SliceOfN(texts, 0, 6).Draw(t, "texts"), host: texts.Draw(t, "host"), fields: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) routed.Field {
				return routed.Field{Name: names.Draw(t, "name"), Value: texts.Draw(t, "value")}
			}), 0, 12).Draw(t, "fields")}
			known.Recent = sent
			packed, next, ok := pack(m, known)
			if !ok {
				t.Fatalf("%+v exceeds a limit", m)
			}
			sent = next
			known.Recent = received
			got, next, err := unpack(packed, len(m.texts), known)
			if err != nil || !got.equal(m) {
				t.Fatalf("sent %+v, received %+v, %v", m, got, err)
			}
			if received = next; received != sent {
				t.Fatalf("the sender keeps %q, the receiver %q", sent, received)
			}
		}
	})
}

// Guards against the reader of a malformed sequence that ends the process, takes memory without bound or returns another
// error than a typed one.
func FuzzPackedFields(f *testing.F) {
	known := wirefields.Known{ID: "id-1", Key: "52174"}
	known.Recent[wirefields.RecentHost] = "host.example"
	packed, _, _ := pack(message{texts: []string{"43.10a.258.0.0df103854dfc272c", "id-1", "GET"}, host: "host.example", fields: []routed.Field{
		{Name: "Heatherreel-Shard-Key", Value: "52174"}, {Name: "X-Other", Value: "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"}, {Name: "Accept", Value: "text/plain"}}}, known)
	f.Add(packed)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Add([]byte{0, 0, 0, 0, 0xff, 0x1f})
	f.Fuzz(func(t *testing.T, packed []byte) {
		m, _, err := unpack(packed, 3, known)
		if err != nil {
			if !errors.Is(err, problem.Malformed) {
				t.Fatalf("error %v", err)
			}
			return
		}
		again, _, ok := pack(m, known)
		if !ok {
			t.Fatalf("%+v was received but exceeds a limit", m)
		}
		if got, _, err := unpack(again, 3, known); err != nil || !got.equal(m) {
			t.Fatalf("sent %+v, received %+v, %v", m, got, err)
		}
	})
}

// Guards against sequences that are accepted although a reference, a length or an index in them is wrong: the request would
// run with another head.
func TestMalformedSequences(t *testing.T) {
	varint := func(v ...uint64) (b []byte) {
		for _, x := range v {
			b = binary.AppendUvarint(b, x)
		}
		return b
	}
	for name, packed := range map[string][]byte{
		"empty":                  {},
		"text over the end":      varint(9 << 3),
		"length of a gigabyte":   varint(1<<30<<3, 1),
		"endless number":         bytes.Repeat([]byte{0x80}, 20),
		"unknown kind":           varint(7, 0, 0),
		"unknown value":          varint(200<<3|1, 0, 0),
		"unknown text":           varint(5<<3|2, 0, 0),
		"no id":                  varint(0<<3|2, 0, 0),
		"no key":                 varint(1<<3|2, 0, 0),
		"text without a slot":    varint(2<<3|2, 0, 0),
		"group over the end":     append(varint(1<<3|3), 0x50, 0, 0),
		"group code at the end":  append(varint(2<<3|3), 0x11, 0x01, 0, 0),
		"no host before":         varint(0, 2<<3|2, 0),
		"more fields than bytes": varint(0, 0, 3, 0, 0),
		"more fields than limit": append(varint(0, 0, wirefields.MaxFields+1), make([]byte, 3*wirefields.MaxFields)...),
		"unknown name":           varint(0, 0, 1, 1000),
		"usual value of no name": varint(0, 0, 1, 1, 0),
		"name over the end":      varint(0, 0, 1, 0, 9),
		"no agent before":        varint(0, 0, 1, 10<<1|1),
		"no id for the field":    varint(0, 0, 1, 8<<1|1),
		"no key for the field":   varint(0, 0, 1, 1<<1|1),
		"no usual value":         varint(0, 0, 1, 3<<1|1),
		"bytes after the end":    varint(0, 0, 0, 0),
		"over the maximum size":  make([]byte, wirefields.MaxSize+1),
	} {
		if m, _, err := unpack(packed, 1, wirefields.Known{}); !errors.Is(err, problem.Malformed) {
			t.Errorf("%s: %+v, error %v", name, m, err)
		}
	}
}

// Guards against a sender that packs what no receiver accepts.
func TestOverLimitIsNotPacked(t *testing.T) {
	for name, m := range map[string]message{
		"fields": {fields: make([]routed.Field, wirefields.MaxFields+1)},
		"size":   {host: strings.Repeat("x", wirefields.MaxSize)},
	} {
		if _, _, ok := pack(m, wirefields.Known{}); ok {
			t.Errorf("%s: packed", name)
		}
	}
}

// Guards against groups of digits that take more bytes than their text.
func TestSizeOfDigits(t *testing.T) {
	for text, want := range map[string]int{
		"43.10a.258.0.0df103854dfc272c":                           17,
		"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01": 30,
		"0f8fad5b-d9cb-469f-a165-70867728950e":                    21,
		"52174":                                                   4,
		"7":                                                       2,
	} {
		w := table.NewWriter(0, wirefields.Known{})
		w.Text(text)
		if packed, _ := w.Bytes(); len(packed) > want {
			t.Errorf("%s takes %d bytes, want at most %d", text, len(packed), want)
		}
	}
}
