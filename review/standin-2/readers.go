//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const exportConfig = `{"version":"r7","routes":{
"r-export":{"host":"export.example","path_prefix":"/export/","route_type":"download","timeout_ms":0,"aim_ms":2000,"priority":2,"service":"planos","max_attempts":2,"allowed_regions":[]},
"r-desk":{"host":"desk.example","path_prefix":"/desk/","route_type":"non_idempotent","timeout_ms":1500,"aim_ms":600,"priority":1,"service":"reservas","max_attempts":2,"allowed_regions":[]}},
"services":{
"planos":{"health_path":"/health","max_connections":500,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":9.8},
"reservas":{"health_path":"/health","max_connections":500,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":9.8}},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},"base_version":"r5"}`

// Sizes and times of the case "readers".
const (
	// planBytes is the largest answer of plan-export in andes-reserva-grown.toml.
	planBytes = 540_000
	// readBytes are read each readPause: 180 KB a second, so that an answer takes 3 s of the deadline of 4 s.
	readBytes, readPause = 1800, 10 * time.Millisecond
	planDeadline         = 4 * time.Second
	readerCount          = 8
	readerRun            = 25 * time.Second
	// Each client of the crowd sends crowdSent bytes of a body of crowdLength and stays connected.
	// A client whose connection was closed comes back after crowdPause: 100 bodies a second at most, 20 MB, a sixth of the link.
	crowdCount, crowdLength, crowdSent = 300, 200_000, 199_000
	crowdPause                         = 3 * time.Second
)

// dialSlow connects with the small windows of a real link, as DEPLOY.md says of links.
func dialSlow(address string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
		})
	}}
	return d.Dial("tcp", address)
}

// slowReader reads steadily at readBytes each readPause.
type slowReader struct{ conn net.Conn }

// Read implements io.Reader.
func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(readPause)
	return r.conn.Read(p[:min(len(p), readBytes)])
}

// readTwo sends a short request, and after its answer a download and another short request at once, on one connection. If the
// connection ends before the deadline of these, it returns the ids of the requests whose answer is incomplete, and of those that
// have got no byte of an answer.
func (f *fleet) readTwo(n *node, number int) (incomplete, unanswered []string, err error) {
	conn, err := dialSlow(n.outbound)
	if err != nil {
		return nil, nil, err
	}
	defer conn.Close()
	head := func(id, path string) string {
		return "GET " + path + " HTTP/1.1\r\nHost: export.example\r\nHeatherreel-Request-Id: " + id + "\r\nHeatherreel-Deadline-Ms: " + fmt.Sprint(planDeadline.Milliseconds()) + "\r\n\r\n"
	}
	in := bufio.NewReaderSize(slowReader{conn}, 4096)
	answer := func(id string) (begun bool, err error) {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			f.record.printf("%s at %s: no answer: %v", id, n.name, err)
			return false, err
		}
		size, err := io.Copy(io.Discard, resp.Body)
		f.record.printf("%s at %s: status %d %s, %d of %d bytes, %v", id, n.name, resp.StatusCode, resp.Header.Get("Heatherreel-Reason"), size, resp.ContentLength, err)
		return true, err
	}
	first := fmt.Sprintf("%012xaaaa", number)
	if _, err := io.WriteString(conn, head(first, "/export/short")); err != nil {
		return nil, nil, err
	}
	if _, err := answer(first); err != nil {
		return nil, nil, err
	}
	ids := []string{fmt.Sprintf("%012xbbbb", number), fmt.Sprintf("%012xcccc", number)}
	sent := time.Now()
	if _, err := io.WriteString(conn, head(ids[0], "/export/plan")+head(ids[1], "/export/short")); err != nil {
		return nil, nil, err
	}
	for i, id := range ids {
		begun, err := answer(id)
		switch {
		case err == nil:
			continue
		case time.Since(sent) >= planDeadline:
			f.record.printf("%s: the deadline had passed", id)
			return nil, nil, nil
		case begun:
			return ids[i : i+1], ids[i+1:], nil
		}
		return nil, ids[i:], nil
	}
	return nil, nil, nil
}

// crowdClient sends a body that stops short of its end, again and again.
func crowdClient(address string, over <-chan struct{}, sent *atomic.Int64) {
	body := strings.Repeat("x", crowdSent)
	for {
		select {
		case <-over:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		stop := make(chan struct{})
		go func() {
			select {
			case <-over:
				conn.Close()
			case <-stop:
			}
		}()
		id := fmt.Sprintf("%016x", sent.Add(1))
		fmt.Fprintf(conn, "POST /export/short HTTP/1.1\r\nHost: export.example\r\nHeatherreel-Request-Id: %s\r\nHeatherreel-Deadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n%s", id, crowdLength, body)
		// The node may answer or close the connection.
		_, _ = io.Copy(io.Discard, conn)
		close(stop)
		conn.Close()
		select {
		case <-over:
		case <-time.After(crowdPause):
		}
	}
}

// runReaders sends downloads whose clients read slowly, beside a crowd whose bodies stop short of their end.
func runReaders(dir, program, recordPath string, trouble bool) (bool, error) {
	b := crewmark
	b.retryFloor = 186
	f, err := newFleet(dir, program, 62, b, recordPath)
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	f.store.putConfig(exportConfig)
	for i, service := range []string{"planos", "planos", "reservas", "reservas"} {
		zone := []string{"stgo-a", "stgo-b"}[i%2]
		t := &target{service: service, slots: 6, queue: 24, work: 96 * time.Millisecond, answerBytes: map[string]int{"/export/plan": planBytes}}
		if _, err := f.addNode(62, i+1, zone, "cl-centro", t); err != nil {
			return false, err
		}
	}
	if err := f.startAll(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	front := f.nodes[2]
	over := make(chan struct{})
	var crowd, readers sync.WaitGroup
	var sent atomic.Int64
	if trouble {
		for range crowdCount {
			crowd.Go(func() { crowdClient(front.outbound, over, &sent) })
		}
	}
	var mu sync.Mutex
	var cut, unanswered []string
	connections, number := 0, 0
	end := time.Now().Add(readerRun)
	for range readerCount {
		readers.Go(func() {
			for time.Now().Before(end) {
				mu.Lock()
				number++
				k := number
				mu.Unlock()
				incomplete, none, err := f.readTwo(front, k)
				mu.Lock()
				if err != nil {
					f.record.printf("connection %d: %v", k, err)
				} else if len(incomplete)+len(none) > 0 {
					cut, unanswered = append(cut, incomplete...), append(unanswered, none...)
					connections++
				}
				mu.Unlock()
				if err != nil {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	readers.Wait()
	close(over)
	crowd.Wait()
	ran := map[string]bool{}
	for _, n := range f.nodes {
		for _, r := range n.target.allRuns() {
			ran[r.id] = true
			f.record.printf("target %s ran %s: %s %s, %d bytes", n.target.id, r.id, r.method, r.uri, r.body)
		}
	}
	passedOn := 0
	for _, id := range unanswered {
		if ran[id] {
			passedOn++
			f.record.printf("%s was passed on to a target, and its connection was closed without an answer", id)
		}
	}
	_, peak := front.memory()
	result := fmt.Sprintf("%d bodies of the crowd; %d connections of readers, of which %d were closed before the deadline; %d answers cut short; %d requests passed on and without an answer; memory at most %d KB",
		sent.Load(), number, connections, len(cut), passedOn, peak)
	f.record.printf("%s", result)
	fmt.Println(result)
	return passedOn > 3, nil
}
