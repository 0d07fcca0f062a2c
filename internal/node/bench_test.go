package node_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkForward measures a request on a working connection: the latency, and the payload and number of writes in
// each direction, with a request id and a body of 36 bytes each. Each write costs at least one packet with its headers,
// on a link that is billed by volume.
func BenchmarkForward(b *testing.B) {
	f := newFixture(b)
	f.fillPool(b, 1)
	toTarget, toClient := f.relay.Traffic()
	for i := range b.N {
		_, _, err := f.send(fmt.Sprintf("%036d", i), false, callTimeout)
		requireNoError(b, err)
	}
	to, from := f.relay.Traffic()
	perCall := func(after, before int) float64 { return float64(after-before) / float64(b.N) }
	b.ReportMetric(perCall(to.Bytes, toTarget.Bytes), "B-out/op")
	b.ReportMetric(perCall(from.Bytes, toClient.Bytes), "B-in/op")
	b.ReportMetric(perCall(to.Writes, toTarget.Writes), "pieces-out/op")
	b.ReportMetric(perCall(from.Writes, toClient.Writes), "pieces-in/op")
}

// BenchmarkForwardAfterIdle measures a request that is not idempotent on an idle connection, which is pinged first.
func BenchmarkForwardAfterIdle(b *testing.B) {
	f := newFixture(b)
	f.fillPool(b, 1)
	var total time.Duration
	toTarget, toClient := f.relay.Traffic()
	for i := range b.N {
		<-time.After(idleBeforePing)
		_, took, err := f.send(fmt.Sprintf("%036d", i), false, callTimeout)
		requireNoError(b, err)
		total += took
	}
	to, from := f.relay.Traffic()
	b.ReportMetric(float64(total.Microseconds())/float64(b.N), "µs-call/op")
	b.ReportMetric(float64(to.Bytes-toTarget.Bytes)/float64(b.N), "B-out/op")
	b.ReportMetric(float64(from.Bytes-toClient.Bytes)/float64(b.N), "B-in/op")
}
