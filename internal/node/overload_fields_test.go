package node

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/routed"
)

// Guards against calls and measured slots that are lost between nodes, and against bytes for either in the messages of
// deployments that have none.
func TestCallsAndMeasuredSlotsReachTheOtherNode(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	r := routed.Request{Deadline: now.Add(time.Second)}
	plain := encodeDispatch(r, now, sendTimes{})
	r.Call = true
	marked := encodeDispatch(r, now, sendTimes{})
	if decodeDispatch(plain, now, 0).Call || !decodeDispatch(marked, now, 0).Call {
		t.Error("the mark of a call is not kept")
	}
	if load := (routed.Load{MeasuredSlots: 7}); decodeLoad(encodeLoad(load)).MeasuredSlots != 7 {
		t.Error("the measured slots are not kept")
	}
	if proto.Size(plain) >= proto.Size(marked) || proto.Size(encodeLoad(routed.Load{})) != proto.Size(&nodepb.Load{}) {
		t.Error("a message without calls and measured slots is larger")
	}
}
