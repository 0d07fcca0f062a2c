package node_test

import (
	"context"
	"net"
	"testing"
	"time"

	"heatherreel/internal/feed"
	"heatherreel/internal/node"
	"heatherreel/internal/quota"
	"heatherreel/internal/registry"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
)

// doneRouter answers each request at once.
type doneRouter struct{}

// Dispatch implements node.RouterService.
func (doneRouter) Dispatch(_ context.Context, r routed.Request, _ node.DispatchProgress) routed.Answer {
	return routed.Answer{Outcome: request.Done, Status: 200, Body: r.Body}
}

// Probe implements node.RouterService.
func (doneRouter) Probe(int64) (string, routed.Load) { return "", routed.Load{} }

// ReadTopic implements node.RouterService.
func (doneRouter) ReadTopic(context.Context, feed.Request) (feed.Answer, error) {
	return feed.Answer{}, nil
}

// StoreCall implements node.RouterService.
func (doneRouter) StoreCall(context.Context, registry.Call) (registry.Page, error) {
	return registry.Page{}, nil
}

// blockingListener accepts connections whose writes block until unblock is closed. started receives a value when a write
// begins.
type blockingListener struct {
	net.Listener
	started, unblock chan struct{}
}

// Accept implements net.Listener.
func (l *blockingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &blockingConn{Conn: conn, listener: l}, err
}

type blockingConn struct {
	net.Conn
	listener *blockingListener
}

// Write implements net.Conn.
func (c *blockingConn) Write(p []byte) (int, error) {
	select {
	case c.listener.started <- struct{}{}:
	default:
	}
	<-c.listener.unblock
	return c.Conn.Write(p)
}

// Guards against a process that exits before an answer that is ready has been written to the connection.
func TestServerIsBusyUntilAnswerIsWritten(t *testing.T) {
	server, err := node.NewRouterServer(doneRouter{})
	requireNoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	requireNoError(t, err)
	blocking := &blockingListener{Listener: listener, started: make(chan struct{}, 1), unblock: make(chan struct{})}
	client := node.NewClient()
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, blocking) }()
	defer func() {
		client.Close()
		stop()
		<-served
	}()
	type result struct {
		answer routed.Answer
		err    error
	}
	results := make(chan result, 1)
	go func() {
		answer, err := client.Dispatch(ctx, listener.Addr().String(), routed.Request{ID: "r", Body: []byte("body"), Deadline: time.Now().Add(callTimeout)}, nil)
		results <- result{answer, err}
	}()
	<-blocking.started
	ended, cancel := context.WithCancel(ctx)
	cancel()
	if server.AwaitIdle(ended) {
		t.Error("the server is idle while the write of an answer blocks")
	}
	close(blocking.unblock)
	if r := <-results; r.err != nil || string(r.answer.Body) != "body" {
		t.Errorf("answer %q, error %v", r.answer.Body, r.err)
	}
	if !server.AwaitIdle(ctx) {
		t.Error("the server is not idle after the answer")
	}
}

// Lend implements node.RouterService.
func (doneRouter) Lend(string, []quota.Ask) []quota.Grant { return nil }
