package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 870 * time.Millisecond
	ackTimeout        = time.Second
	// thawSlack is thaw_slack_ms.
	thawSlack   = 300 * time.Millisecond
	maxAckBytes = 4 << 10
)

// row is a range of keys that a target holds.
type row struct {
	from, to int
	fence    uint64
	until    time.Time
	// excused is set if the grant arrived so soon after a delay had ended that the rule does not count it.
	excused bool
	// leaving is set once the row is released but requests still run on its keys.
	leaving bool
}

type freedRow struct {
	from, to int
	token    string
}

// target stands in for one application target.
type target struct {
	id, service, address, zone, control string
	sharded                             bool
	slots                               int
	work                                func() time.Duration
	born                                int64
	rec                                 *recorder
	check                               *checker

	// late is set while the heartbeats of the target are held up on their way; they arrive once it is unset.
	late atomic.Bool
	// healedAt is when they arrived again, in Unix nanoseconds.
	healedAt atomic.Int64

	mu       sync.Mutex
	up       bool
	sequence int64
	holds    []row
	freed    []freedRow
	maxFence [65536]uint64
	running  map[int]int
	busy     int
	waiting  int
	slotFree chan struct{}
	server   *http.Server
	client   *http.Client
	stop     chan struct{}
	// leaving is set once the target reports that it is draining, and leftAt when that was acknowledged.
	leaving bool
	leftAt  time.Time
}

func newTarget(c *target) *target {

	c.running = map[int]int{}
	c.slotFree = make(chan struct{}, c.slots)
	c.client = &http.Client{Timeout: ackTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	c.stop = make(chan struct{})
	return c
}

// start begins a life of the target.
func (t *target) start() error {
	l, err := net.Listen("tcp", t.address)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.up, t.born = true, time.Now().UnixMilli()
	t.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("/health", t.serveHealth)
	mux.HandleFunc("/", t.serveRequest)
	t.server = &http.Server{Handler: mux, IdleTimeout: 10 * time.Second}
	go func() { _ = t.server.Serve(l) }()
	go t.beat()
	return nil
}

func (t *target) loadHeader(h http.Header) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h.Set("Heatherreel-Server-Load", fmt.Sprintf("%d,%d,%d,100", t.busy, t.waiting, t.slots))
}

func (t *target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Heatherreel-Instance-Id", t.id)
	t.loadHeader(w.Header())
}

// held returns the fence under which the target holds a key now.
func (t *target) held(key int, now time.Time) (uint64, bool) {
	for _, r := range t.holds {
		if r.from <= key && key <= r.to && !r.leaving && now.Before(r.until) {
			return r.fence, true
		}
	}
	return 0, false
}

func notExecuted(w http.ResponseWriter, status int) {
	w.Header().Set("Heatherreel-Not-Executed", "1")
	w.WriteHeader(status)
}

func (t *target) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := w.Header()
	id := r.Header.Get("Heatherreel-Request-Id")
	h.Set("Heatherreel-Request-Id", id)
	t.loadHeader(h)
	if expected := r.Header.Get("Heatherreel-Expected-Instance"); expected != "" && expected != t.id {
		h.Set("Heatherreel-Instance-Id", t.id)
		notExecuted(w, http.StatusMisdirectedRequest)
		return
	}
	key := -1
	if t.sharded {
		if key, err = strconv.Atoi(r.Header.Get("Heatherreel-Shard-Key")); err != nil {
			notExecuted(w, http.StatusBadRequest)
			return
		}
	}
	t.mu.Lock()
	if t.waiting+t.busy >= 5*t.slots {
		t.mu.Unlock()
		notExecuted(w, http.StatusServiceUnavailable)
		return
	}
	t.waiting++
	t.mu.Unlock()
	t.slotFree <- struct{}{}
	now := time.Now()
	t.mu.Lock()
	t.waiting--
	fence, held := uint64(0), true
	if key >= 0 {
		fence, held = t.held(key, now)
	}
	if !held || r.Context().Err() != nil {
		t.mu.Unlock()
		<-t.slotFree
		notExecuted(w, http.StatusMisdirectedRequest)
		return
	}
	t.busy++
	if key >= 0 {
		t.running[key]++
	}
	t.mu.Unlock()
	t.check.ran(t, id, r, body, key, fence)
	defer func() {
		t.mu.Lock()
		t.busy--
		if key >= 0 {
			if t.running[key]--; t.running[key] == 0 {
				delete(t.running, key)
			}
		}
		t.mu.Unlock()
		<-t.slotFree
	}()
	work := t.work()
	limit := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get("Heatherreel-Deadline-Ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	select {
	case <-time.After(min(work, limit)):
	case <-r.Context().Done():
		return
	}
	if limit < work {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	answer := answerBody(id, t.id)
	h.Set("Heatherreel-Response-Signature", signature(answer))
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

func answerBody(id, target string) []byte { return []byte("answer to " + id + " from " + target) }

func signature(body []byte) string { return fmt.Sprintf("%x", sha256.Sum256(body))[:16] }

// beat sends heartbeats until the target ends.
func (t *target) beat() {
	// Targets start within an interval of each other.
	next := rand.N(heartbeatInterval)
	for {
		select {
		case <-time.After(next):
		case <-t.stop:
			return
		}
		began := time.Now()
		again := t.sendHeartbeat()
		next = heartbeatInterval - time.Since(began) + time.Duration(rand.IntN(20)-10)*time.Millisecond
		if again {
			next = 80 * time.Millisecond
		}
		next = max(next, 0)
	}
}

// sendHeartbeat sends one heartbeat and applies its reply. It reports whether another one is due at once.
func (t *target) sendHeartbeat() bool {
	sent := time.Now()
	t.mu.Lock()
	state := "ready"
	if t.leaving {
		state = "draining"
	}
	t.sequence++
	t.expire(sent)
	holds, freed := [][3]uint64{}, [][3]any{}
	for _, r := range t.holds {
		holds = append(holds, [3]uint64{uint64(r.from), uint64(r.to), r.fence})
	}
	for _, f := range t.freed {
		freed = append(freed, [3]any{f.from, f.to, f.token})
	}
	reported := len(t.freed)
	body := map[string]any{"service": t.service, "address": t.address, "zone": t.zone, "version": "v1", "slots": t.slots,
		"state": state, "cold_remaining_ms": 0, "sequence": t.sequence, "born": t.born}
	if t.sharded {
		body["holds"], body["freed"] = holds, freed
	}
	t.mu.Unlock()
	data, _ := json.Marshal(body)
	if t.late.Load() {
		go t.deliverLate(sent, data)
		time.Sleep(ackTimeout)
		return false
	}
	resp, err := t.client.Post("http://"+t.control+"/v1/instances/"+t.id+"/heartbeat", "application/json", bytes.NewReader(data))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	data, err = io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode/100 != 2 || len(data) > maxAckBytes || time.Since(sent) > ackTimeout {
		t.rec.log("target %s: heartbeat not acknowledged: status %d, %d bytes", t.id, resp.StatusCode, len(data))
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
	if state == "draining" && t.leftAt.IsZero() {
		t.leftAt = time.Now()
		t.rec.log("target %s: its leaving is acknowledged", t.id)
	}
	t.freed = t.freed[min(reported, len(t.freed)):]
	if reply.Holds == nil {
		return false
	}
	return t.apply(*reply.Holds, sent.Add(time.Duration(reply.HoldMS)*time.Millisecond))
}

// deliverLate delivers a heartbeat once the heartbeats are not held up any more. The target has given up its reply.
func (t *target) deliverLate(sent time.Time, data []byte) {
	for t.late.Load() {
		time.Sleep(5 * time.Millisecond)
	}
	resp, err := t.client.Post("http://"+t.control+"/v1/instances/"+t.id+"/heartbeat", "application/json", bytes.NewReader(data))
	if err == nil {
		resp.Body.Close()
	}
	t.rec.log("target %s: a heartbeat arrives %d ms late (error: %v)", t.id, time.Since(sent).Milliseconds(), err)
}

// expire drops the rows whose hold has ended. The caller holds mu.
func (t *target) expire(now time.Time) {
	var kept []row
	for _, r := range t.holds {
		if now.Before(r.until) || t.worksOn(r.from, r.to) {
			kept = append(kept, r)
		}
	}
	t.holds = kept
}

func (t *target) worksOn(from, to int) bool {
	for key := range t.running {
		if from <= key && key <= to {
			return true
		}
	}
	return false
}

// apply puts the rows of a reply in force. It reports whether rows are left out. The caller holds mu.
func (t *target) apply(rows [][4]any, until time.Time) (again bool) {
	now := time.Now()
	var next []row
	for _, r := range rows {
		n := row{from: int(r[0].(float64)), to: int(r[1].(float64)), fence: uint64(r[2].(float64)), until: until,
			excused: now.UnixNano()-t.healedAt.Load() < int64(thawSlack)}
		ok := true
		for key := n.from; key <= n.to; key++ {
			if t.maxFence[key] > n.fence {
				ok = false
				break
			}
		}
		if !ok {
			t.rec.log("target %s: refuses row %d-%d fence %d", t.id, n.from, n.to, n.fence)
			continue
		}
		for key := n.from; key <= n.to; key++ {
			t.maxFence[key] = n.fence
		}
		next = append(next, n)
	}
	for _, old := range t.holds {
		if !now.Before(old.until) && !old.leaving {
			continue
		}
		for _, part := range subtract(old, next) {
			if t.worksOn(part.from, part.to) {
				part.leaving = true
				next = append(next, part)
			} else {
				t.freed = append(t.freed, freedRow{part.from, part.to, fmt.Sprintf("%016x", rand.Uint64())})
			}
			again = true
		}
	}
	t.holds = next
	return again
}

// subtract returns the parts of old that none of the rows covers.
func subtract(old row, rows []row) []row {
	parts := []row{old}
	for _, n := range rows {
		var rest []row
		for _, p := range parts {
			if n.to < p.from || p.to < n.from {
				rest = append(rest, p)
				continue
			}
			if p.from < n.from {
				left := p
				left.to = n.from - 1
				rest = append(rest, left)
			}
			if n.to < p.to {
				right := p
				right.from = n.to + 1
				rest = append(rest, right)
			}
		}
		parts = rest
	}
	return parts
}

// countedRows returns the rows that the target holds now and that count for the rule.
func (t *target) countedRows(now time.Time) []row {
	var counted []row
	for _, r := range t.liveRows(now) {
		if !r.excused {
			counted = append(counted, r)
		}
	}
	return counted
}

// liveRows returns the rows that the target holds now.
func (t *target) liveRows(now time.Time) []row {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.up {
		return nil
	}
	var live []row
	for _, r := range t.holds {
		if now.Before(r.until) && !r.leaving {
			live = append(live, r)
		}
	}
	return live
}
