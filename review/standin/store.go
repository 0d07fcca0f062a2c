package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// fate is what happens to one append.
type fate int

const (
	// served: done and answered.
	served fate = iota
	// lostLate: not answered, and done after a delay if its condition still holds then.
	lostLate
	// lostDone: done at once and not answered.
	lostDone
	// refused: answered 503, not done.
	refused
)

// appendLatency is the time of one append (append_ms).
const appendLatency = 4 * time.Millisecond

// store stands in for the platform's metadata store: partition 0 of each topic.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// decide returns what happens to an append of a node, and the delay of a late one. It may be nil; mu guards it and
	// what it uses.
	decide func(node int, topic string, at int64) (fate, time.Duration)
	// down reports whether the calls of a node get 503. It may be nil.
	down func(node int) bool
	rec  *recorder
}

type topic struct {
	records [][]byte
	newest  map[string]newestRecord
	changed chan struct{}
}

type newestRecord struct {
	value  []byte
	offset int64
}

func newStore(rec *recorder) *store { return &store{topics: map[string]*topic{}, rec: rec} }

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]newestRecord{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends a keyed record, as the operator does.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add(append(append([]byte{byte(len(key))}, key...), value...))
}

func (t *topic) add(content []byte) {
	offset := int64(len(t.records))
	t.records = append(t.records, content)
	if len(content) > 0 && int(content[0]) < len(content)+0 && 1+int(content[0]) <= len(content) {
		key, value := string(content[1:1+int(content[0])]), content[1+int(content[0]):]
		if len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = newestRecord{value, offset}
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// append appends records if the partition ends at the offset at, or at is negative.
func (s *store) append(name string, at int64, records [][]byte) (end int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if at >= 0 && int64(len(t.records)) != at {
		return int64(len(t.records)), false
	}
	for _, r := range records {
		t.add(r)
	}
	return int64(len(t.records)), true
}

// listen serves the store to one node.
func (s *store) listen(address string, node int) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", func(w http.ResponseWriter, r *http.Request) { s.serveAppend(w, r, node) })
	mux.HandleFunc("GET /v1/log-read", func(w http.ResponseWriter, r *http.Request) { s.serveRead(w, r, node) })
	mux.HandleFunc("GET /v1/log-newest", func(w http.ResponseWriter, r *http.Request) { s.serveNewest(w, r, node) })
	go func() { _ = http.Serve(l, mux) }()
	return nil
}

func (s *store) refuses(w http.ResponseWriter, node int) bool {
	if s.down != nil && s.down(node) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	return false
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, node int) {
	if s.refuses(w, node) {
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(data) >= 4 {
		n := int(binary.BigEndian.Uint32(data))
		records = append(records, data[4:4+n])
		data = data[4+n:]
	}
	name, at := r.URL.Query().Get("topic"), int64(-1)
	if text := r.URL.Query().Get("at"); text != "" {
		at, _ = strconv.ParseInt(text, 10, 64)
	}
	if strings.HasPrefix(name, "keyed.op") || strings.HasPrefix(name, "keyed.servers") {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	what, delay := served, time.Duration(0)
	s.mu.Lock()
	if s.decide != nil {
		what, delay = s.decide(node, name, at)
	}
	s.mu.Unlock()
	switch what {
	case refused:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case lostLate, lostDone:
		s.rec.log("store: write of node %d to %s at %d gets no answer; it is done %v later", node, name, at, delay)
		go func() {
			time.Sleep(delay)
			end, ok := s.append(name, at, records)
			s.rec.log("store: that write of node %d to %s at %d: done=%t, the partition ends at %d", node, name, at, ok, end)
		}()
		<-r.Context().Done()
		return
	}
	time.Sleep(appendLatency)
	end, ok := s.append(name, at, records)
	w.Header().Set("Content-Type", "application/json")
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
	} else if at >= 0 {
		s.rec.log("store: node %d wrote %s at %d", node, name, at)
	}
	fmt.Fprintf(w, `{"offset":%d,"end":%d}`, end-int64(len(records)), end)
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, node int) {
	if s.refuses(w, node) {
		return
	}
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	maxKB, err := strconv.Atoi(q.Get("max_kb"))
	if err != nil {
		maxKB = 1024
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		end, changed := int64(len(t.records)), t.changed
		var out []byte
		out = binary.BigEndian.AppendUint64(out, uint64(end))
		out = binary.BigEndian.AppendUint64(out, 0)
		for i := from; i < end && len(out) < maxKB<<10; i++ {
			out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[i])))
			out = append(out, t.records[i]...)
		}
		s.mu.Unlock()
		if from < end || wait == 0 {
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request, node int) {
	if s.refuses(w, node) {
		return
	}
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []item{}
	for key, n := range t.newest {
		items = append(items, item{key, n.value, n.offset})
	}
	end := len(t.records)
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end": end})
}
