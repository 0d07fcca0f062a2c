package node_test

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"heatherreel/internal/node"
	"heatherreel/internal/problem"
	"heatherreel/internal/registry"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
)

// reportingRouter reports progress without a pause and never answers.
type reportingRouter struct{ node.RouterService }

func (reportingRouter) Dispatch(ctx context.Context, _ routed.Request, p node.DispatchProgress) routed.Answer {
	for ctx.Err() == nil {
		p.Report()
	}
	return routed.NotRun(request.QueueFull, 0)
}

// newFloodingPeer returns the address of a peer that sends bytes again and again, with a pause between them, on each
// connection.
func newFloodingPeer(t *testing.T, bytes string, pause time.Duration) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, conn) }()
			go func() {
				defer conn.Close()
				for err := error(nil); err == nil; {
					_, err = io.WriteString(conn, bytes)
					<-time.After(pause)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against a call to another node that does not end, or counts as not sent, because that node sends without end.
func TestNodeThatSendsWithoutEndEndsTheCall(t *testing.T) {
	const timeout, limit = 500 * time.Millisecond, time.Second
	reporting, err := node.NewRouterServer(reportingRouter{})
	if err != nil {
		t.Fatal(err)
	}
	// A data frame of drpc for the first message of the first stream, whose length is larger than a message may be.
	huge := string(binary.AppendUvarint([]byte{2 << 1, 1, 1}, 1<<40))
	for name, address := range map[string]string{
		"reports of progress": serveNode(t, reporting),
		"no protocol":         newFloodingPeer(t, strings.Repeat("\x00\xffgarbage", 1000), 0),
		"huge message":        newFloodingPeer(t, huge+strings.Repeat("x", 16<<10), 0),
		"slow":                newFloodingPeer(t, "\x00", 20*time.Millisecond),
		"slow, huge message":  newFloodingPeer(t, huge, 20*time.Millisecond),
	} {
		t.Run(name, func(t *testing.T) {
			client := node.NewClient()
			defer client.Close()
			for kind, call := range map[string]func(context.Context) error{
				"dispatch": func(ctx context.Context) error {
					_, err := client.Dispatch(ctx, address, routed.Request{ID: "r", Deadline: time.Now().Add(timeout)}, nil)
					return err
				},
				"probe": func(ctx context.Context) error {
					_, _, err := client.Probe(ctx, address, 0)
					return err
				},
				"store call": func(ctx context.Context) error {
					_, err := client.StoreCall(ctx, address, registry.Call{Operation: registry.OperationNewest, Topic: "t"})
					return err
				},
			} {
				if name == "reports of progress" && kind != "dispatch" {
					continue
				}
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				ended := make(chan error, 1)
				go func() { ended <- call(ctx) }()
				select {
				case err := <-ended:
					if !errors.Is(err, problem.Unavailable) || errors.Is(err, problem.NotSent) {
						t.Errorf("%s: error %v, want an unknown outcome", kind, err)
					}
				case <-time.After(limit):
					t.Errorf("%s: not ended after %v", kind, limit)
				}
				cancel()
			}
		})
	}
}
