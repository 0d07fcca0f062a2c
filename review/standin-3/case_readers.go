package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of the case.
const (
	readerTargets  = 4
	readerClients  = 8
	readerSize     = 8_000_000
	readerRate     = 2_000_000
	readerPiece    = 50_000
	readerDeadline = 9 * time.Second
	readerPause    = 500 * time.Millisecond
	readerTime     = 60 * time.Second
)

// playReaders: clients of one machine download large answers on connections that they keep, and read them steadily but slowly.
// Answers are counted that end before they are complete.
func playReaders(f *fleet, trouble bool) (bool, error) {
	f.store.put("config", []byte(`{"version":"r3","routes":{"plans":{"host":"d.example","path_prefix":"/plans/","route_type":"download","timeout_ms":9000,"aim_ms":2000,"priority":1,"service":"planos","max_attempts":2,"allowed_regions":[]}},`+
		`"services":{"planos":{"health_path":"/health","max_connections":130,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":9.8},"trading":{"health_path":"/health","max_connections":130,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":9.8}},`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`))
	for i := range readerTargets + 1 {
		service := "planos"
		if i == 0 {
			service = "trading"
		}
		m, err := f.add(service, []string{"west-a", "west-b"}[i%2], "west", false, 9, 100*time.Millisecond)
		if err != nil {
			return false, err
		}
		m.target.answerBytes = readerSize
	}
	time.Sleep(9 * time.Second)
	f.rec.note("traffic starts")
	ingress := f.all()[0]
	stop := make(chan struct{})
	var mu sync.Mutex
	counts := map[string]int{}
	var clients sync.WaitGroup
	for range readerClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			k := &keptConn{m: ingress, rec: f.rec, slow: trouble}
			defer k.close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.Int64N(int64(2 * readerPause)))):
				}
				// The first request of a connection is a small one, so that a large answer always comes on a kept connection.
				if k.conn == nil && k.get("/plans/small") != "complete" {
					continue
				}
				end := k.get("/plans/x")
				mu.Lock()
				counts[end]++
				mu.Unlock()
			}
		}()
	}
	for range readerTime / (10 * time.Second) {
		time.Sleep(10 * time.Second)
		mu.Lock()
		f.rec.note("the process has %d MB; answers %v", ingress.memory()>>10, counts)
		mu.Unlock()
	}
	close(stop)
	clients.Wait()
	f.rec.note("answers %v", counts)
	if counts["complete"]+counts[cutShort] < 20 {
		return false, fmt.Errorf("too few answers began to judge")
	}
	return counts[cutShort] > 3, nil
}

// cutShort is an answer that ended before it was complete, on a kept connection and before the client's deadline.
const cutShort = "cut short"

// keptConn is a client that sends its requests one after the other on a connection.
type keptConn struct {
	m    *machine
	rec  *recorder
	slow bool
	conn net.Conn
	in   *bufio.Reader
	used int
}

func (k *keptConn) close() {
	if k.conn != nil {
		k.conn.Close()
		k.conn = nil
	}
}

// get makes one request and returns how it ended.
func (k *keptConn) get(path string) (end string) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	began, got := time.Now(), 0
	defer func() {
		k.rec.line("sent %s GET %s to %s, request %d of its connection: %s, %d bytes after %d ms", id, path, k.m.name, k.used, end, got, time.Since(began).Milliseconds())
		if end != "complete" && end != "refused" {
			k.close()
		}
	}()
	if k.conn == nil {
		conn, err := net.DialTimeout("tcp", k.m.address(portCallers), time.Second)
		if err != nil {
			return "no connection"
		}
		conn.(*net.TCPConn).SetReadBuffer(128 << 10)
		k.conn, k.in, k.used = conn, bufio.NewReader(conn), 0
	}
	k.used++
	k.conn.SetDeadline(began.Add(readerDeadline))
	fmt.Fprintf(k.conn, "GET %s HTTP/1.1\r\nHost: d.example\r\nHeatherreel-Request-Id: %s\r\nHeatherreel-Deadline-Ms: %d\r\n\r\n", path, id, readerDeadline.Milliseconds())
	response, err := http.ReadResponse(k.in, nil)
	if err != nil {
		return "no answer"
	}
	defer func() {
		if response.Close {
			k.close()
		}
	}()
	piece := make([]byte, readerPiece)
	reading := time.Now()
	for {
		n, err := io.ReadFull(response.Body, piece)
		got += n
		switch {
		case err == io.EOF || err == io.ErrUnexpectedEOF && int64(got) == response.ContentLength:
			if response.StatusCode != http.StatusOK {
				return "refused"
			}
			return "complete"
		case err != nil && time.Since(began) >= readerDeadline:
			return "deadline"
		case err != nil && k.used > 1:
			return cutShort
		case err != nil:
			return "the first answer of a connection was cut short"
		}
		if k.slow {
			time.Sleep(time.Until(reading.Add(time.Duration(got) * time.Second / readerRate)))
		}
	}
}
