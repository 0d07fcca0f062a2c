package pipeline

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"heatherreel/internal/intake"
)

// countedKinds counts what a Governor reports.
type countedKinds struct {
	mu     sync.Mutex
	counts [intake.KindCount]int
}

func (k *countedKinds) add(kind intake.Kind) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts[kind]++
}

func (k *countedKinds) get(kind intake.Kind) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts[kind]
}

// bodyHandler reads the body and answers with its size, or with the status of its error.
func bodyHandler(w http.ResponseWriter, req *http.Request) {
	reader := w.(interface{ ReadBody(int64) ([]byte, error) })
	if _, err := reader.ReadBody(1 << 20); err == errNoMemory {
		w.WriteHeader(http.StatusServiceUnavailable)
	} else if err != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
}

// startGoverned serves a handler with the limits.
func startGoverned(t *testing.T, handler http.HandlerFunc, sizes intake.Limits) (address string, g *Governor, kinds *countedKinds) {
	t.Helper()
	kinds = &countedKinds{}
	g = NewGovernor(sizes, kinds.add)
	limits := DefaultLimits()
	return startServer(t, &Server{Handler: handler, Governor: g, Limits: func() Limits { return limits }}), g, kinds
}

// awaitCondition waits until the condition holds.
func awaitCondition(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); <-time.After(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited for %s", what)
		}
	}
}

// Guards against bodies that stop short of their end and take the memory of ordinary requests, and against memory that
// stays accounted for afterwards.
func TestUnfinishedBodiesLeaveMemoryForOthers(t *testing.T) {
	limits := intake.Sizes{MemoryMB: 184, RequestMemoryMB: 1}.Limits()
	address, g, kinds := startGoverned(t, bodyHandler, limits)
	const clients = 40
	var unfinished []*testClient
	for range clients {
		c := dial(t, address)
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 64000\r\n\r\n"+strings.Repeat("x", 60000))
		unfinished = append(unfinished, c)
	}
	awaitCondition(t, "the budget to be used up", func() bool { return kinds.get(intake.Memory) > 0 })
	if used, _ := g.Used(); used > limits.Bytes {
		t.Errorf("%d bytes of %d in use", used, limits.Bytes)
	}
	c := dial(t, address)
	for range 3 {
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
		c.expect(t, 200, "", false)
	}
	for _, c := range append(unfinished, c) {
		c.Close()
	}
	awaitCondition(t, "the accounts to be closed", func() bool { used, conns := g.Used(); return used == 0 && conns == 0 })
}

// Guards against heads of many short fields that take more memory than their bytes, and against a Governor that refuses a
// single one.
func TestHeadsCountAtTheirTrueSize(t *testing.T) {
	limits := intake.Sizes{MemoryMB: 184, RequestMemoryMB: 4}.Limits()
	address, g, kinds := startGoverned(t, bodyHandler, limits)
	head := "POST / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 4000) + "Content-Length: 2\r\n\r\nx"
	first := dial(t, address)
	_, _ = io.WriteString(first, head+"y")
	first.expect(t, 200, "", false)
	for range 100 {
		_, _ = io.WriteString(dial(t, address), head)
	}
	awaitCondition(t, "the budget to be used up", func() bool { return kinds.get(intake.Memory) > 0 })
	if used, _ := g.Used(); used > limits.Bytes {
		t.Errorf("%d bytes of %d in use", used, limits.Bytes)
	}
	c := dial(t, address)
	c.send(t, "GET /")
	c.expect(t, 200, "", false)
	// The others are stalled after a second.
	<-time.After(1100 * time.Millisecond)
	last := dial(t, address)
	_, _ = io.WriteString(last, head+"y")
	last.expect(t, 200, "", false)
}

// Guards against bodies that are not accounted for because their handler reads them itself, as that of heartbeats does.
func TestBodiesOfOtherHandlersAreAccountedFor(t *testing.T) {
	limits := intake.Sizes{MemoryMB: 184, RequestMemoryMB: 1}.Limits()
	address, g, kinds := startGoverned(t, func(w http.ResponseWriter, req *http.Request) {
		if _, err := io.ReadAll(req.Body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
	}, limits)
	for range 10 {
		c := dial(t, address)
		go func() {
			_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 100000))
		}()
	}
	awaitCondition(t, "the budget to be used up", func() bool { return kinds.get(intake.Memory) > 0 })
	if used, _ := g.Used(); used > limits.Bytes {
		t.Errorf("%d bytes of %d in use", used, limits.Bytes)
	}
	c := dial(t, address)
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
	c.expect(t, 200, "", false)
}

// Guards against connections without requests that keep others out.
func TestUnusedConnectionsGiveWay(t *testing.T) {
	limits := intake.Sizes{MemoryMB: 184, Connections: 8, ConnectionsPerClient: 8}.Limits()
	limits.Heads[intake.Callers], limits.HeadsPerClient[intake.Callers] = 8, 8
	address, _, kinds := startGoverned(t, bodyHandler, limits)
	var unused []*testClient
	for range 8 {
		unused = append(unused, dial(t, address))
	}
	<-time.After(time.Second)
	c := dial(t, address)
	c.send(t, "GET /")
	c.expect(t, 200, "", false)
	if kinds.get(intake.ClientLimit)+kinds.get(intake.ConnectionLimit) == 0 {
		t.Error("no connection was given up")
	}
	unused[0].expectEnd(t)
}

// Guards against a body that comes in small pieces for as long as its caller likes, and against one that is slow for a
// moment and is cut.
func TestSlowBodiesAreCut(t *testing.T) {
	limits := DefaultLimits()
	limits.HeaderTimeout, limits.MinBytesPerSecond = 200*time.Millisecond, 1000
	kinds := &countedKinds{}
	address := startServer(t, &Server{Handler: http.HandlerFunc(bodyHandler), Limits: func() Limits { return limits },
		Governor: NewGovernor(intake.Sizes{MemoryMB: 184}.Limits(), kinds.add)})
	for name, c := range map[string]struct {
		head, piece string
		status      int
	}{
		"length":       {"Content-Length: 1000000\r\n\r\n", "x", 400},
		"chunks":       {"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 400},
		"fast":         {"Content-Length: 12000\r\n\r\n", strings.Repeat("x", 400), 200},
		"fast, chunks": {"Transfer-Encoding: chunked\r\n\r\n", "190\r\n" + strings.Repeat("x", 400) + "\r\n", 200},
	} {
		client := dial(t, address)
		_, _ = io.WriteString(client, "POST / HTTP/1.1\r\nHost: h\r\n"+c.head)
		go func() {
			for range 30 {
				_, _ = io.WriteString(client, c.piece)
				<-time.After(20 * time.Millisecond)
			}
			if strings.Contains(c.head, "chunked") {
				_, _ = io.WriteString(client, "0\r\n\r\n")
			}
		}()
		response, err := http.ReadResponse(client.reader, nil)
		if err != nil || response.StatusCode != c.status {
			t.Errorf("%s: %v, %v", name, response, err)
		}
	}
	if kinds.get(intake.SlowBody) != 2 {
		t.Errorf("%d slow bodies are counted, want 2", kinds.get(intake.SlowBody))
	}
}

// Guards against a rate that still applies when it is switched off, and against bodies without any limit of time then.
func TestBodiesWithoutRateAreCutAtDeadline(t *testing.T) {
	limits := DefaultLimits()
	limits.HeaderTimeout, limits.MinBytesPerSecond = 200*time.Millisecond, 0
	for name, c := range map[string]struct {
		// deadline is what the handler sets; 0 for none.
		deadline time.Duration
		status   int
	}{
		"within the deadline": {testTimeout, 200},
		"past the deadline":   {400 * time.Millisecond, 400},
		"no deadline":         {0, 400},
	} {
		address := startServer(t, &Server{Limits: func() Limits { return limits }, Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if c.deadline > 0 {
				_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(c.deadline))
			}
			bodyHandler(w, req)
		})})
		client := dial(t, address)
		_, _ = io.WriteString(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 30\r\n\r\n")
		go func() {
			for range 30 {
				_, _ = io.WriteString(client, "x")
				<-time.After(30 * time.Millisecond)
			}
		}()
		response, err := http.ReadResponse(client.reader, nil)
		if err != nil || response.StatusCode != c.status {
			t.Errorf("%s: %+v, %v", name, response, err)
		}
	}
}

// Guards against connections at another server that send nothing and take all descriptors, against given-up connections
// that stay accounted for, and against used ones that are given up.
func TestGuardGivesUpUnusedConnections(t *testing.T) {
	limits := intake.Sizes{MemoryMB: 184}.Limits()
	limits.Connections[intake.Nodes], limits.Heads[intake.Nodes] = 4, 2
	g := NewGovernor(limits, nil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	guarded := g.Guard(listener, intake.Nodes)
	go func() {
		for {
			conn, err := guarded.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	used := dial(t, listener.Addr().String())
	echo := func() {
		_, _ = io.WriteString(used, "x")
		if b, err := used.reader.ReadByte(); b != 'x' {
			t.Fatal(err)
		}
	}
	echo()
	unused := []*testClient{dial(t, listener.Addr().String()), dial(t, listener.Addr().String())}
	<-time.After(time.Second)
	last := dial(t, listener.Addr().String())
	unused[0].expectEnd(t)
	echo()
	for _, c := range append(unused, used, last) {
		c.Close()
	}
	awaitCondition(t, "the accounts to be closed", func() bool { _, conns := g.Used(); return conns == 0 })
}
