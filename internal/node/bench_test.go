package node_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkForward measures the ordinary case: the latency, and the payload and pieces in each direction for a request
// with a 36 byte id and body. Each piece costs a packet with its headers on a link that is billed by volume.
func BenchmarkForward(b *testing.B) {
	bench := newBench(b)
	bench.fill(b, 1)
	toTarget, toClient := bench.relay.Traffic()
	for i := range b.N {
		_, _, err := bench.send(fmt.Sprintf("%036d", i), false, callDeadline)
		requireNoError(b, err)
	}
	to, from := bench.relay.Traffic()
	per := func(after, before int) float64 { return float64(after-before) / float64(b.N) }
	b.ReportMetric(per(to.Bytes, toTarget.Bytes), "B-out/op")
	b.ReportMetric(per(from.Bytes, toClient.Bytes), "B-in/op")
	b.ReportMetric(per(to.Writes, toTarget.Writes), "pieces-out/op")
	b.ReportMetric(per(from.Writes, toClient.Writes), "pieces-in/op")
}

// BenchmarkForwardAfterIdle measures what the ping adds to a write on a connection that was idle.
func BenchmarkForwardAfterIdle(b *testing.B) {
	bench := newBench(b)
	bench.fill(b, 1)
	var total time.Duration
	toTarget, toClient := bench.relay.Traffic()
	for i := range b.N {
		<-time.After(idleTime)
		_, took, err := bench.send(fmt.Sprintf("%036d", i), false, callDeadline)
		requireNoError(b, err)
		total += took
	}
	to, from := bench.relay.Traffic()
	b.ReportMetric(float64(total.Microseconds())/float64(b.N), "µs-call/op")
	b.ReportMetric(float64(to.Bytes-toTarget.Bytes)/float64(b.N), "B-out/op")
	b.ReportMetric(float64(from.Bytes-toClient.Bytes)/float64(b.N), "B-in/op")
}
