package registry

import (
	"testing"

	"heatherreel/internal/keyrange"
)

// Guards against a record of another writer that ends the process, or is taken over although it breaks what the decisions
// rely on: keys covered once, fences below the last one, and numbers whose products do not wrap around.
func FuzzRecords(f *testing.F) {
	good, err := EncodeRanges(tableWithMoves())
	if err != nil {
		f.Fatal(err)
	}
	f.Add("orders", good.Value)
	f.Add("i-1", []byte(`{"Instance":"i-1","Incarnation":4,"Address":"10.0.0.1:7400","Service":"orders","Server":{"ID":"s","Born":1,"Slots":12,"WorkPercent":110}}`))
	f.Add("k", []byte(`{"service":"k","last_fence":18446744073709551615,"ranges":"65535,1"}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		r := Record{Key: key, Value: value}
		if m, err := DecodeMember(r); err == nil {
			if product := m.Server.Slots * 100 * 100 * 100; product < 0 || m.Server.WorkPercent*m.Server.WorkPercent < 0 || m.Instance != key {
				t.Errorf("member %+v", m)
			}
		}
		table, err := DecodeRanges(r)
		if err != nil {
			return
		}
		next := 0
		for _, span := range table.Ranges {
			if int(span.From) != next || span.To < span.From || span.Fence > table.LastFence {
				t.Fatalf("range %+v after key %d, last fence %d", span, next, table.LastFence)
			}
			next = int(span.To) + 1
		}
		if len(table.Ranges) > 0 && next != keyrange.KeyCount || table.LastFence+1 == 0 {
			t.Errorf("the table ends at key %d with fence %d", next, table.LastFence)
		}
	})
}
