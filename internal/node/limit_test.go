package node_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"heatherreel/internal/node"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
)

// maxMessageBytes is the maximum size of a message between nodes.
const maxMessageBytes = 16 << 20

// bodyService answers each request with a body of size bytes.
type bodyService struct {
	node.RouterService
	node.Service
	size int
}

func (s *bodyService) Dispatch(context.Context, routed.Request, node.DispatchProgress) routed.Answer {
	return routed.Answer{Outcome: request.Done, Status: 200, Body: make([]byte, s.size), ReachedServer: true, Instance: "i-1", Revision: 7}
}

func (s *bodyService) Forward(context.Context, node.ForwardedRequest) request.Answer {
	return request.Answer{Outcome: request.Done, Status: 200, Body: make([]byte, s.size)}
}

// serveNode runs a server until the test ends and returns its address.
func serveNode(t *testing.T, server *node.Server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		serving.Wait()
	})
	return listener.Addr().String()
}

// Guards against a connection between nodes that breaks because the answer of a backend server is larger than a message
// may be; the answer must be a typed one instead.
func TestAnswerOverMessageLimitIsTyped(t *testing.T) {
	for _, c := range []struct {
		size int
		want request.Outcome
	}{{8 << 20, request.Done}, {maxMessageBytes - 256<<10, request.Done}, {maxMessageBytes - 1, request.Unknown}, {maxMessageBytes, request.Unknown}, {2 * maxMessageBytes, request.Unknown}} {
		service := &bodyService{size: c.size}
		routerServer, err := node.NewRouterServer(service)
		if err != nil {
			t.Fatal(err)
		}
		nodeServer, err := node.NewServer(service)
		if err != nil {
			t.Fatal(err)
		}
		client := node.NewClient()
		deadline := time.Now().Add(5 * time.Second)
		ctx, cancel := context.WithDeadline(t.Context(), deadline)
		routedAnswer, err := client.Dispatch(ctx, serveNode(t, routerServer), routed.Request{ID: "r", Idempotent: true, Deadline: deadline}, nil)
		if err != nil || routedAnswer.Outcome != c.want || (c.want == request.Unknown) != (routedAnswer.Reason == request.AnswerTooLarge) ||
			routedAnswer.Instance != "i-1" || routedAnswer.Revision != 7 || !routedAnswer.ReachedServer {
			t.Errorf("Dispatch, %d bytes: %v %q of instance %q, error %v", c.size, routedAnswer.Outcome, routedAnswer.Reason, routedAnswer.Instance, err)
		}
		if c.want == request.Done && len(routedAnswer.Body) != c.size {
			t.Errorf("Dispatch, %d bytes: %d bytes arrived", c.size, len(routedAnswer.Body))
		}
		answer, err := client.Forward(ctx, serveNode(t, nodeServer), node.ForwardedRequest{Request: request.Request{ID: "r", Idempotent: true, Deadline: deadline}})
		if err != nil || answer.Outcome != c.want || (c.want == request.Unknown) != (answer.Reason == request.AnswerTooLarge) {
			t.Errorf("Forward, %d bytes: %v %q, error %v", c.size, answer.Outcome, answer.Reason, err)
		}
		if c.want == request.Done && len(answer.Body) != c.size {
			t.Errorf("Forward, %d bytes: %d bytes arrived", c.size, len(answer.Body))
		}
		cancel()
		_ = client.Close()
	}
}
