//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Request targets of the case "paths". Common clients send the bytes | { } ^ " and those above 0x7f as they are; browsers, for
// example, do not encode | in a path.
var (
	oddPaths   = []string{"/drill/crew%2F12|a320", "/drill/{12}", "/drill/caf\xc3\xa9", "/drill/12^2", "/drill/12|a?part=%2F|x"}
	usualPaths = []string{"/drill/crew%2F12%7Ca320", "/drill/%7B12%7D", "/drill/caf%C3%A9", "/drill/12%5E2", "/drill/12%7Ca?part=%2F%7Cx"}
)

const pathRounds = 20

// sendPath sends a request with a target as it is and returns the status of the answer.
func sendPath(address, id, path string) (int, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	body := "drill session 12"
	fmt.Fprintf(conn, "PUT %s HTTP/1.1\r\nHost: drill.example\r\nHeatherreel-Request-Id: %s\r\nHeatherreel-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s", path, id, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// runPaths sends requests whose paths hold bytes that some clients do not encode.
func runPaths(dir, program, recordPath string, trouble bool) (bool, error) {
	f, err := newCrewmark(dir, program, recordPath, 63, 20*time.Millisecond)
	if f != nil {
		defer f.stopAll()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	paths := usualPaths
	if trouble {
		paths = oddPaths
	}
	sent := map[string]string{}
	for i := range pathRounds {
		for j, path := range paths {
			n := f.nodes[(i+j)%len(f.nodes)]
			id := fmt.Sprintf("%016x", i*100+j+1)
			sent[id] = path
			status, err := sendPath(n.outbound, id, path)
			f.record.printf("%s at %s: PUT %q: status %d, %v", id, n.name, path, status, err)
		}
	}
	changed, ran := 0, 0
	for _, n := range f.nodes {
		for _, r := range n.target.allRuns() {
			f.record.printf("target %s ran %s: %s %q, %d bytes", n.target.id, r.id, r.method, r.uri, r.body)
			ran++
			if r.uri != sent[r.id] {
				changed++
				f.record.printf("%s ran with the path %q, the client sent %q", r.id, r.uri, sent[r.id])
			}
		}
	}
	f.record.printf("%d requests sent, %d ran, %d of them with another path", len(sent), ran, changed)
	fmt.Printf("%d requests sent, %d ran, %d of them with another path\n", len(sent), ran, changed)
	if ran == 0 {
		return false, fmt.Errorf("no request ran")
	}
	return changed > 0, nil
}
