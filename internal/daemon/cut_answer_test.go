package daemon

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"heatherreel/internal/feed"
	"heatherreel/internal/node"
	"heatherreel/internal/quota"
	"heatherreel/internal/registry"
	"heatherreel/internal/request"
	"heatherreel/internal/routed"
	"heatherreel/platform/backend"
	"heatherreel/platform/caller"
)

// cuttingServer answers each request with answer, of which it sends the first cut bytes to the requests on a kept
// connection, or on each, and then closes the connection.
type cuttingServer struct {
	net.Listener
	answer string
	cut    atomic.Int64
	// kept is set if the first answer on each connection is complete.
	kept bool
}

func (s *cuttingServer) serve() {
	for {
		conn, err := s.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for n := 0; ; n++ {
				req, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				answer := strings.ReplaceAll(s.answer, "ID", req.Header.Get("Heatherreel-Request-Id"))
				if s.kept && n == 0 {
					_, _ = io.WriteString(conn, strings.Replace(answer, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", "", 1))
					continue
				}
				_, _ = io.WriteString(conn, answer[:min(int(s.cut.Load()), len(answer))])
				return
			}
		}()
	}
}

// hopRouter sends the requests of callers to the backend server, through another node if client is set.
type hopRouter struct {
	backend *backend.Client
	address string
	client  *node.Client
	node    string
}

// Route implements caller.Router.
func (h *hopRouter) Route(ctx context.Context, r routed.Request) routed.Answer {
	if h.client == nil {
		return h.Dispatch(ctx, r, node.DispatchProgress{})
	}
	answer, err := h.client.Dispatch(ctx, h.node, r, nil)
	if err != nil {
		return routed.OutcomeUnknown(request.ConnectionLost)
	}
	return answer
}

// Ready implements caller.Router.
func (h *hopRouter) Ready() bool { return true }

// Dispatch implements node.RouterService.
func (h *hopRouter) Dispatch(ctx context.Context, r routed.Request, _ node.DispatchProgress) routed.Answer {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	return h.backend.Exchange(ctx, routed.Exchange{Request: r, Address: h.address, Server: "s-1"})
}

// Probe implements node.RouterService.
func (h *hopRouter) Probe(int64) (string, routed.Load) { return "", routed.Load{} }

// StoreCall implements node.RouterService.
func (h *hopRouter) StoreCall(context.Context, registry.Call) (registry.Page, error) {
	return registry.Page{}, nil
}

// ReadTopic implements node.RouterService.
func (h *hopRouter) ReadTopic(context.Context, feed.Request) (feed.Answer, error) {
	return feed.Answer{}, nil
}

// serveTCP runs serve on a listener that is closed at the end of the test.
func serveTCP(t *testing.T, serve func(net.Listener)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go serve(listener)
	return listener.Addr().String()
}

// Guards against an answer that a backend server breaks off and that reaches the caller as a complete one. What the caller
// reads from its connection is checked, for each byte at which the answer can break off.
func TestAnswerThatBreaksOffIsNeverComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nHeatherreel-Request-Id: ID\r\nHeatherreel-Response-Signature: s\r\n"
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	for name, answer := range map[string]string{
		"with a length":  head + "Content-Length: 12\r\n\r\nwhole answer",
		"empty":          head + "Content-Length: 0\r\n\r\n",
		"interim answer": interim + head + "Content-Length: 12\r\n\r\nwhole answer",
		"chunked":        head + "Transfer-Encoding: chunked\r\n\r\n6\r\nwhole \r\n6\r\nanswer\r\n0\r\n\r\n",
		"with trailers":  head + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\nc\r\nwhole answer\r\n0\r\nX-Sum: 1\r\n\r\n",
		"without length": head + "Connection: close\r\n\r\nwhole answer",
	} {
		for _, kept := range []bool{false, true} {
			for _, relayed := range []bool{false, true} {
				if kept && name == "without length" {
					continue // The end of such an answer is the end of its connection.
				}
				t.Run(fmt.Sprintf("%s, kept connection %v, through a node %v", name, kept, relayed), func(t *testing.T) {
					checkCuts(t, answer, kept, relayed, strings.HasSuffix(name, "length") && name[:7] == "without")
				})
			}
		}
	}
}

// startHops returns the address for callers of a node that sends requests to a backend server on one connection, through
// another node if relayed is set.
func startHops(t *testing.T, backendAddress string, relayed bool) string {
	t.Helper()
	router := &hopRouter{backend: backend.New(1), address: backendAddress}
	t.Cleanup(router.backend.CloseIdleConnections)
	if relayed {
		nodes, err := node.NewRouterServer(router)
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		t.Cleanup(stop)
		router.node = serveTCP(t, func(l net.Listener) { _ = nodes.Serve(ctx, l) })
		router.client = node.NewClient()
		t.Cleanup(func() { _ = router.client.Close() })
	}
	callers := caller.NewServer(caller.NewRequestHandler(router))
	t.Cleanup(func() { _ = callers.Close() })
	return serveTCP(t, func(l net.Listener) { _ = callers.Serve(l) })
}

// checkCuts sends requests whose answers break off after each byte. If unbounded is set, only the head is cut: the body ends
// with the connection, so that its end is not known.
func checkCuts(t *testing.T, answer string, kept, relayed, unbounded bool) {
	server := &cuttingServer{answer: answer, kept: kept}
	address := startHops(t, serveTCP(t, func(l net.Listener) { server.Listener = l; server.serve() }), relayed)
	end := len(strings.ReplaceAll(answer, "ID", "id-00000-b"))
	if unbounded {
		end = strings.LastIndex(strings.ReplaceAll(answer, "ID", "id-00000-b"), "\r\n\r\n") + len("\r\n\r\n")
	}
	for cut := 0; cut < end; cut++ {
		server.cut.Store(int64(cut))
		if kept {
			if status, body := exchangeRaw(t, address, fmt.Sprintf("id-%05d-a", cut)); status != 200 || body != "whole answer" && body != "" {
				t.Fatalf("the whole answer before: %d %q", status, body)
			}
		}
		if status, body := exchangeRaw(t, address, fmt.Sprintf("id-%05d-b", cut)); status < 500 {
			t.Errorf("an answer of %d bytes that ends after %d: status %d, body %q", end, cut, status, body)
		}
	}
}

// exchangeTime is the deadline of a request. What is checked is what the answers hold, not when they arrive.
const exchangeTime = 30 * time.Second

// exchangeRaw sends a request as a caller and returns the status and body of the answer, which must be complete.
func exchangeRaw(t *testing.T, address, id string) (int, string) {
	began := time.Now()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(began.Add(2 * exchangeTime))
	_, err = fmt.Fprintf(conn, "POST /a HTTP/1.1\r\nHost: h\r\nHeatherreel-Request-Id: %s\r\nHeatherreel-Deadline-Ms: %d\r\nContent-Length: 1\r\n\r\nx", id, exchangeTime.Milliseconds())
	if err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("the caller got no answer: %v", err)
	}
	var body bytes.Buffer
	if _, err := body.ReadFrom(answer.Body); err != nil {
		t.Fatalf("the answer to the caller broke off: %v", err)
	}
	if took := time.Since(began); took > time.Second {
		t.Logf("the exchange %s took %v", id, took)
	}
	return answer.StatusCode, body.String()
}

// Lend implements node.RouterService.
func (*hopRouter) Lend(string, []quota.Ask) []quota.Grant { return nil }
