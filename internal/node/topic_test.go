package node_test

import (
	"bytes"
	"context"
	"slices"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"heatherreel/internal/feed"
	"heatherreel/internal/node"
	"heatherreel/internal/node/nodepb"
	"heatherreel/internal/problem"
	"heatherreel/internal/quota"
	"heatherreel/internal/registry"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
)

// feedRouter answers reads of topics with an answer, or an error.
type feedRouter struct {
	echoRouter
	answer  feed.Answer
	err     error
	request feed.Request
}

// ReadTopic implements node.RouterService.
func (f *feedRouter) ReadTopic(_ context.Context, r feed.Request) (feed.Answer, error) {
	f.request = r
	return f.answer, f.err
}

// Guards against records, removals or the age of an answer that change on their way, in particular an answer that seems
// to reflect a later read of the store.
func TestTopicAnswerArrivesUnchanged(t *testing.T) {
	router := &feedRouter{}
	server, err := node.NewRouterServer(router)
	requireNoError(t, err)
	f := newFixtureFor(t, server.Serve)
	want := feed.Request{Topic: "operators", From: -1, Wait: 1200 * time.Millisecond, Urgent: true, Needed: 12}
	for _, offset := range []time.Duration{-1499999 * time.Nanosecond, 0, 700*time.Millisecond + 1} {
		router.answer = feed.Answer{Snapshot: true, ReadOffset: offset, Page: registry.Page{End: 7,
			Records: []registry.Record{{Key: "config", Value: []byte("v")}, {Key: "gone"}, {Key: "large", Value: bytes.Repeat([]byte("route "), 40<<10)}}}}
		got, err := f.client.ReadTopic(t.Context(), f.relay.Address(), want)
		requireNoError(t, err)
		if router.request != want {
			t.Errorf("request %+v, want %+v", router.request, want)
		}
		records := slices.EqualFunc(got.Page.Records, router.answer.Page.Records, func(a, b registry.Record) bool { return a.Key == b.Key && string(a.Value) == string(b.Value) })
		if !records || got.Page.End != 7 || !got.Snapshot {
			t.Errorf("answer %+v", got)
		}
		if late := got.ReadOffset - offset; late > 0 || late < -2*time.Microsecond {
			t.Errorf("the read offset %v arrived as %v", offset, got.ReadOffset)
		}
	}
	router.err = problem.New(problem.Overloaded, "read from the store", "no feed")
	if _, err := f.client.ReadTopic(t.Context(), f.relay.Address(), want); problem.KindOf(err) != problem.Overloaded {
		t.Errorf("refused: %v", err)
	}
}

// Guards against a node of an earlier version that is taken for a feed, or that breaks later calls.
func TestNodeWithoutTopicsIsNoFeed(t *testing.T) {
	mux := drpcmux.New()
	requireNoError(t, nodepb.DRPCRegisterNode(mux, &nodepb.DRPCNodeUnimplementedServer{}))
	server := drpcserver.New(mux)
	f := newFixtureFor(t, server.Serve)
	for range 3 {
		if _, err := f.client.ReadTopic(t.Context(), f.relay.Address(), feed.Request{Topic: "operators", Wait: time.Second}); problem.KindOf(err) != problem.Unavailable {
			t.Errorf("got %v", err)
		}
	}
}

// Guards against a node that waits for a silent feed until the call times out.
func TestSilentFeedIsGivenUp(t *testing.T) {
	const wait, limit = 500 * time.Millisecond, 1500 * time.Millisecond
	server, err := node.NewRouterServer(&feedRouter{})
	requireNoError(t, err)
	f := newFixtureFor(t, server.Serve)
	_, err = f.client.ReadTopic(t.Context(), f.relay.Address(), feed.Request{Topic: "operators", Wait: wait})
	requireNoError(t, err)
	f.relay.SilenceToClientAfter(0)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	started := time.Now()
	if _, err := f.client.ReadTopic(ctx, f.relay.Address(), feed.Request{Topic: "operators", Wait: wait}); problem.KindOf(err) != problem.Unavailable {
		t.Errorf("got %v", err)
	}
	if took := time.Since(started); took < wait || took > limit {
		t.Errorf("given up after %v", took)
	}
}

// Guards against feeds whose links are full for seconds, because they send a large configuration to each follower.
func TestLargeRecordsAreCompressed(t *testing.T) {
	router := &feedRouter{}
	server, err := node.NewRouterServer(router)
	requireNoError(t, err)
	f := newFixtureFor(t, server.Serve)
	value := bytes.Repeat([]byte(`"r-1a2b":{"host":"h.example","service":"s"},`), 6000)
	router.answer = feed.Answer{Page: registry.Page{End: 7, Records: []registry.Record{{Key: "config", Value: value}}}}
	got, err := f.client.ReadTopic(t.Context(), f.relay.Address(), feed.Request{Topic: "operators", From: 1, Wait: time.Second})
	requireNoError(t, err)
	if len(got.Page.Records) != 1 || !bytes.Equal(got.Page.Records[0].Value, value) {
		t.Errorf("%d records arrived, want the one that was sent", len(got.Page.Records))
	}
	if _, toClient := f.relay.Traffic(); toClient.Bytes > len(value)/5 {
		t.Errorf("%d bytes were sent for a record of %d", toClient.Bytes, len(value))
	}
}

// Lend implements node.RouterService.
func (*feedRouter) Lend(string, []quota.Ask) []quota.Grant { return nil }

// refusingRouter refuses each request because it does not own the key.
type refusingRouter struct{ echoRouter }

// Dispatch implements node.RouterService.
func (*refusingRouter) Dispatch(context.Context, routed.Request, node.DispatchProgress) routed.Answer {
	a := routed.NotRun(request.NotOwner, 0)
	a.Owner, a.RangesEnd, a.RangesEra = "i-2", 41, 3
	return a
}

// Guards against a refusal that does not name the end of the ownership records on its way: the node that gets it would read
// them again although it has them.
func TestRefusalNamesEndOfOwnershipRecords(t *testing.T) {
	server, err := node.NewRouterServer(&refusingRouter{})
	requireNoError(t, err)
	f := newFixtureFor(t, server.Serve)
	got, err := f.client.Dispatch(t.Context(), f.relay.Address(), routed.Request{ID: "r", Deadline: time.Now().Add(5 * time.Second)}, nil)
	requireNoError(t, err)
	if got.Owner != "i-2" || got.RangesEnd != 41 || got.RangesEra != 3 {
		t.Errorf("answer %+v", got)
	}
}
