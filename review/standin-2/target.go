//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeatInterval is heartbeat_ms of the settings in DEPLOY.md.
const heartbeatInterval = 870 * time.Millisecond

// run is one request that a target has begun.
type run struct {
	at                             time.Time
	id, method, uri, caller, shard string
	body                           int
}

// target is a stand-in for an application target beside a node, with slots, a queue, keys and heartbeats as PROTOCOL.md
// says.
type target struct {
	id, service, address, zone string
	control                    string
	slots, queue               int
	sharded                    bool
	// work is how long a request runs, and answerBytes the size of the answers by path; other answers are short.
	work        time.Duration
	answerBytes map[string]int

	tokens chan struct{}

	mu       sync.Mutex
	waiting  int
	running  int
	sequence int
	born     int64
	holds    []hold
	freed    [][3]any
	runs     []run
	stop     chan struct{}
}

type hold struct {
	from, to int
	fence    int64
	until    time.Time
}

// startTarget starts a target on a listener.
func startTarget(t *target, l net.Listener) {
	t.address = l.Addr().String()
	t.tokens = make(chan struct{}, t.slots)
	t.born = time.Now().UnixMilli()
	t.stop = make(chan struct{})
	go func() { _ = (&http.Server{Handler: t, IdleTimeout: 10 * time.Second}).Serve(l) }()
	go t.beat()
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h := w.Header()
	if req.URL.Path == "/health" && req.Header.Get("Heatherreel-Request-Id") == "" {
		h.Set("Heatherreel-Instance-Id", t.id)
		h.Set("Heatherreel-Server-Load", t.load())
		return
	}
	id := req.Header.Get("Heatherreel-Request-Id")
	h.Set("Heatherreel-Request-Id", id)
	if e := req.Header.Get("Heatherreel-Expected-Instance"); e != "" && e != t.id {
		h.Set("Heatherreel-Instance-Id", t.id)
		h.Set("Heatherreel-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	size, err := io.Copy(io.Discard, req.Body)
	if err != nil {
		return
	}
	t.mu.Lock()
	full := t.waiting >= t.queue
	t.waiting++
	t.mu.Unlock()
	refuse := func(status int) {
		h.Set("Heatherreel-Not-Executed", "1")
		h.Set("Heatherreel-Server-Load", t.load())
		w.WriteHeader(status)
	}
	if full {
		t.leaveQueue()
		refuse(http.StatusServiceUnavailable)
		return
	}
	deadline := 10 * time.Second
	if ms, err := strconv.Atoi(req.Header.Get("Heatherreel-Deadline-Ms")); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	end := time.NewTimer(deadline)
	defer end.Stop()
	select {
	case t.tokens <- struct{}{}:
		t.leaveQueue()
	case <-end.C:
		t.leaveQueue()
		refuse(http.StatusServiceUnavailable)
		return
	case <-req.Context().Done():
		t.leaveQueue()
		return
	}
	defer func() { <-t.tokens }()
	shard := req.Header.Get("Heatherreel-Shard-Key")
	if t.sharded && !t.holdsKey(shard) {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	r := run{time.Now(), id, req.Method, req.RequestURI, req.Header.Get("Heatherreel-Caller-Service"), shard, int(size)}
	t.mu.Lock()
	t.runs = append(t.runs, r)
	t.running++
	t.mu.Unlock()
	status := http.StatusOK
	work := time.NewTimer(t.work)
	defer work.Stop()
	select {
	case <-work.C:
	case <-end.C:
		status = http.StatusGatewayTimeout
	case <-req.Context().Done():
	}
	t.mu.Lock()
	t.running--
	t.mu.Unlock()
	h.Set("Heatherreel-Response-Signature", "s."+t.id)
	h.Set("Heatherreel-Server-Load", t.load())
	n := t.answerBytes[req.URL.Path]
	if n > 0 {
		h.Set("Content-Length", strconv.Itoa(n))
	}
	w.WriteHeader(status)
	if n > 0 {
		_, _ = w.Write(bytes.Repeat([]byte("d"), n))
		return
	}
	_, _ = io.WriteString(w, "answer of "+t.id+"\n")
}

func (t *target) leaveQueue() {
	t.mu.Lock()
	t.waiting--
	t.mu.Unlock()
}

func (t *target) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", t.running, t.waiting, t.slots)
}

func (t *target) holdsKey(text string) bool {
	key, err := strconv.Atoi(text)
	if err != nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, h := range t.holds {
		if h.from <= key && key <= h.to && now.Before(h.until) {
			return true
		}
	}
	return false
}

// beat sends heartbeats until the target stops.
func (t *target) beat() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	for {
		wait := heartbeatInterval
		if !t.beatOnce(client) {
			wait = 100 * time.Millisecond
		}
		select {
		case <-time.After(wait):
		case <-t.stop:
			return
		}
	}
}

// beatOnce sends a heartbeat. It returns false if the next one is due at once: after a failure, or when keys were released.
func (t *target) beatOnce(client *http.Client) bool {
	t.mu.Lock()
	t.sequence++
	sent := time.Now()
	beat := map[string]any{"service": t.service, "address": t.address, "zone": t.zone, "version": "v1", "slots": t.slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": t.sequence, "born": t.born}
	freed := t.freed
	if t.sharded {
		held := [][3]int64{}
		for _, h := range t.holds {
			if sent.Before(h.until) {
				held = append(held, [3]int64{int64(h.from), int64(h.to), h.fence})
			}
		}
		if freed == nil {
			freed = [][3]any{}
		}
		beat["holds"], beat["freed"] = held, freed
	}
	t.mu.Unlock()
	body, _ := json.Marshal(beat)
	resp, err := client.Post("http://"+t.control+"/v1/instances/"+t.id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return false
	}
	var reply struct {
		Holds  *[][4]any `json:"holds"`
		HoldMS int64     `json:"hold_ms"`
	}
	if json.Unmarshal(data, &reply) != nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.freed = nil
	if !t.sharded || reply.Holds == nil {
		return true
	}
	until := sent.Add(time.Duration(reply.HoldMS) * time.Millisecond)
	var next []hold
	for _, row := range *reply.Holds {
		from, _ := row[0].(float64)
		to, _ := row[1].(float64)
		fence, _ := row[2].(float64)
		next = append(next, hold{int(from), int(to), int64(fence), until})
	}
	released := false
	for _, h := range t.holds {
		for _, part := range without(h, next) {
			t.freed = append(t.freed, [3]any{part.from, part.to, fmt.Sprintf("%016x", h.fence)})
			released = true
		}
	}
	t.holds = next
	return !released
}

// without returns the parts of h that are in none of the others.
func without(h hold, others []hold) []hold {
	parts := []hold{h}
	for _, o := range others {
		var rest []hold
		for _, p := range parts {
			if o.to < p.from || p.to < o.from {
				rest = append(rest, p)
				continue
			}
			if p.from < o.from {
				rest = append(rest, hold{p.from, o.from - 1, p.fence, p.until})
			}
			if o.to < p.to {
				rest = append(rest, hold{o.to + 1, p.to, p.fence, p.until})
			}
		}
		parts = rest
	}
	return parts
}

func (t *target) allRuns() []run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]run(nil), t.runs...)
}
