package node_test

import (
	"testing"

	"heatherreel/internal/node"
)

// BenchmarkDispatch measures a typical request between two nodes, in the form that nodes of all versions accept and in a
// packed call: time, memory and bytes, with both ends in one process.
func BenchmarkDispatch(b *testing.B) {
	for name, packed := range map[string]bool{"old form": false, "packed": true} {
		b.Run(name, func(b *testing.B) {
			f, _ := newHeadFixture(b)
			r := typicalRequest("r-0123456789")
			r.Repetition = 0
			call := func() {
				if !packed {
					f.client.ForgetPacking(f.relay.Address())
				}
				if _, err := f.client.Dispatch(b.Context(), f.relay.Address(), r, nil); err != nil {
					b.Fatal(err)
				}
			}
			call()
			toBefore, fromBefore := f.relay.Traffic()
			b.ReportAllocs()
			for b.Loop() {
				call()
			}
			to, from := f.relay.Traffic()
			b.ReportMetric(float64(to.Bytes-toBefore.Bytes)/float64(b.N), "B-out/op")
			b.ReportMetric(float64(from.Bytes-fromBefore.Bytes)/float64(b.N), "B-in/op")
		})
	}
}

// BenchmarkDispatchMessages measures the encoding and decoding of a typical request and its answer alone.
func BenchmarkDispatchMessages(b *testing.B) {
	r, a := typicalRequest("r-0123456789"), typicalAnswer("r-0123456789")
	for name, exchange := range map[string]func() error{
		"old form": node.ExchangeMessages(r, a), "packed": node.ExchangePackedMessages(r, a),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := exchange(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
