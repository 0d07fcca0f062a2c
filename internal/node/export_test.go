package node

import (
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/routed"
	"heatherreel/platform/header"
)

// Decoders for the fuzz tests.
var (
	DecodeDispatch       = decodeDispatch
	DecodeTopicAnswer    = decodeTopicAnswer
	DecodeDispatchAnswer = decodeDispatchAnswer
)

// DecodePackedDispatch decodes the first packed call of a connection.
func DecodePackedDispatch(m *nodepb.DispatchRequest, now time.Time) (routed.Request, error) {
	return decodePackedDispatch(header.PackedTable, m, now, 0, &packedState{})
}

// DecodePackedAnswer decodes the first answer to a packed call of a connection.
func DecodePackedAnswer(m *nodepb.DispatchResponse, r *routed.Request) (routed.Answer, error) {
	return decodePackedAnswer(header.PackedTable, m, r, &packedState{})
}

// PackedConn returns a connection on which Dispatch is a packed call.
func PackedConn(conn drpc.Conn) drpc.Conn { return packedConn{conn} }

// RecordPacking makes the client send requests to address in packed calls.
func (c *Client) RecordPacking(address string) { c.packingPeers.record(address, true) }

// ForgetPacking makes the client send the next request to address in the old form.
func (c *Client) ForgetPacking(address string) { c.packingPeers.record(address, false) }

// ExchangeMessages returns a function that encodes and decodes a request and its answer as the two ends of a call do.
func ExchangeMessages(r routed.Request, a routed.Answer) func() error {
	now, t := time.Now(), sendTimes{clock: 1 << 62, sent: 240 * time.Hour}
	return func() error {
		got, err := overWire(encodeDispatch(r, now, t), &nodepb.DispatchRequest{})
		if err != nil {
			return err
		}
		decodeDispatch(got, now, 0)
		answer, err := overWire(encodeDispatchAnswer(a), &nodepb.DispatchResponse{})
		decodeDispatchAnswer(answer)
		return err
	}
}

// ExchangePackedMessages returns a function that does the same for successive packed calls on one connection.
func ExchangePackedMessages(r routed.Request, a routed.Answer) func() error {
	now, t := time.Now(), sendTimes{clock: 1 << 62, sent: 240 * time.Hour}
	var sender, receiver packedState
	return func() error {
		m, next := encodePackedDispatch(header.PackedTable, r, now, t, sender)
		sender = next
		got, err := overWire(m, &nodepb.DispatchRequest{})
		if err != nil {
			return err
		}
		receiver.packedClock(got)
		request, err := decodePackedDispatch(header.PackedTable, got, now, 0, &receiver)
		if err != nil {
			return err
		}
		answer, err := overWire(encodePackedAnswer(header.PackedTable, a, &request, &receiver), &nodepb.DispatchResponse{})
		if err != nil {
			return err
		}
		_, err = decodePackedAnswer(header.PackedTable, answer, &r, &sender)
		return err
	}
}

// overWire returns the message to after it was decoded from the encoding of from.
func overWire[M proto.Message](from, to M) (M, error) {
	encoded, err := proto.Marshal(from)
	if err != nil {
		return to, err
	}
	return to, proto.Unmarshal(encoded, to)
}
