package node_test

import (
	"context"
	"testing"
	"time"

	"heatherreel/internal/feed"
	"heatherreel/internal/node"
	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/problem"
	"heatherreel/internal/quota"
	"heatherreel/internal/registry"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"

	"google.golang.org/protobuf/proto"
)

// notUTF8 are bytes that no UTF-8 text contains.
const notUTF8 = "caf\xe9\xff"

// bytesRouter answers requests with header fields that are not UTF-8, and store calls with an error that is not.
type bytesRouter struct {
	echoRouter
	got routed.Request
}

// Dispatch implements node.RouterService.
func (b *bytesRouter) Dispatch(_ context.Context, r routed.Request, _ node.DispatchProgress) routed.Answer {
	b.got = r
	return routed.Answer{Outcome: request.Done, Status: 200, Header: []routed.Field{{Name: "X-Name", Value: notUTF8}}}
}

// ReadTopic implements node.RouterService.
func (b *bytesRouter) ReadTopic(context.Context, feed.Request) (feed.Answer, error) {
	return feed.Answer{Page: registry.Page{End: 2, Records: []registry.Record{{Key: notUTF8, Value: []byte("odd")}, {Key: "good", Value: []byte("v")}}}}, nil
}

// StoreCall implements node.RouterService.
func (b *bytesRouter) StoreCall(context.Context, registry.Call) (registry.Page, error) {
	return registry.Page{}, problem.New(problem.Conflict, "r", "record %s", notUTF8)
}

// Guards against one record of another writer, or one header field, that is not UTF-8 and ends the exchange between two
// nodes: followers would read no further record, and requests would be lost.
func TestBytesThatAreNotUTF8PassBetweenNodes(t *testing.T) {
	router := &bytesRouter{}
	server, err := node.NewRouterServer(router)
	requireNoError(t, err)
	f := newFixtureFor(t, server.Serve)
	answer, err := f.client.ReadTopic(t.Context(), f.relay.Address(), feed.Request{Topic: "members", From: 1, Wait: time.Second})
	requireNoError(t, err)
	if len(answer.Page.Records) != 2 || answer.Page.Records[0].Key != notUTF8 || answer.Page.Records[1].Key != "good" {
		t.Errorf("records %+v", answer.Page.Records)
	}
	sent := routed.Request{ID: notUTF8, Method: "GET", Host: "h" + notUTF8, Path: "/" + notUTF8, Header: []routed.Field{{Name: "X-A", Value: notUTF8}},
		Traceparent: notUTF8, Deadline: time.Now().Add(time.Second)}
	got, err := f.client.Dispatch(t.Context(), f.relay.Address(), sent, nil)
	requireNoError(t, err)
	if r := router.got; r.ID != sent.ID || r.Host != sent.Host || r.Path != sent.Path || len(r.Header) != 1 || r.Header[0] != sent.Header[0] || r.Traceparent != sent.Traceparent {
		t.Errorf("the request arrived as %+v", r)
	}
	if len(got.Header) != 1 || got.Header[0].Value != notUTF8 {
		t.Errorf("the answer arrived as %+v", got)
	}
	if _, err := f.client.StoreCall(t.Context(), f.relay.Address(), registry.Call{Operation: registry.OperationAppend, Topic: "members", Record: registry.Record{Key: notUTF8}}); problem.KindOf(err) != problem.Conflict {
		t.Errorf("a refused call: %v", err)
	}
}

// Guards against a node that ends, or uses an endless time, because of a message of a node of another version or of bytes
// that are no message.
func FuzzMessagesOfNodes(f *testing.F) {
	seed, err := proto.Marshal(&nodepb.TopicResponse{End: 7, Records: []*nodepb.StoreRecord{{Value: []byte("v"), CompressedValue: []byte{1}}}})
	requireNoErrorF(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var dispatch nodepb.DispatchRequest
		if proto.Unmarshal(data, &dispatch) == nil {
			if r := node.DecodeDispatch(&dispatch, time.Now(), 0); r.Deadline.After(time.Now().Add(2 * time.Hour)) {
				t.Errorf("the deadline is %v", r.Deadline)
			}
			if r, err := node.DecodePackedDispatch(&dispatch, time.Now()); err == nil && r.Deadline.After(time.Now().Add(2*time.Hour)) {
				t.Errorf("the deadline in a packed call is %v", r.Deadline)
			}
		}
		var topic nodepb.TopicResponse
		if proto.Unmarshal(data, &topic) == nil {
			if answer, err := node.DecodeTopicAnswer(&topic); err == nil && len(answer.Page.Records) != len(topic.Records) {
				t.Errorf("%d of %d records", len(answer.Page.Records), len(topic.Records))
			}
		}
		var response nodepb.DispatchResponse
		if proto.Unmarshal(data, &response) == nil {
			node.DecodeDispatchAnswer(&response)
			_, _ = node.DecodePackedAnswer(&response, &routed.Request{ID: "id", Keyed: true, Key: 7})
		}
	})
}

func requireNoErrorF(f *testing.F, err error) {
	f.Helper()
	if err != nil {
		f.Fatal(err)
	}
}

// Lend implements node.RouterService.
func (*bytesRouter) Lend(string, []quota.Ask) []quota.Grant { return nil }
