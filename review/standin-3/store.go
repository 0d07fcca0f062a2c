package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store. Only keyed topics with one partition are offered, as the programs use no
// others. It loses nothing, answers in order and keeps all records.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	server  *http.Server
	address string
}

type topic struct {
	records [][]byte
	newest  map[string]int
}

// storeLatency is the time that the store takes for an answer.
const storeLatency = 4 * time.Millisecond

func startStore(address string) (*store, error) {
	s := &store{topics: map[string]*topic{}, changed: make(chan struct{}), address: address}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.serveAppend)
	mux.HandleFunc("GET /v1/log-read", s.serveRead)
	mux.HandleFunc("GET /v1/log-newest", s.serveNewest)
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(listener)
	return s, nil
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}}
		s.topics[name] = t
	}
	return t
}

// put appends a record of the operator, and returns after the store has it.
func (s *store) put(key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.append("keyed.op", -1, append(record, value...))
}

func (s *store) append(name string, at int, record []byte) (end int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if at >= 0 && at != len(t.records) {
		return len(t.records), false
	}
	key := string(record[1 : 1+int(record[0])])
	if len(record) == 1+len(key) {
		delete(t.newest, key)
	} else {
		t.newest[key] = len(t.records)
	}
	t.records = append(t.records, record)
	close(s.changed)
	s.changed = make(chan struct{})
	return len(t.records), true
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	name := r.URL.Query().Get("topic")
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 || int(binary.BigEndian.Uint32(body)) != len(body)-4 || int(body[4]) > len(body)-5 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "keyed.op" || name == "keyed.servers" || !strings.HasPrefix(name, "keyed.") {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	at := -1
	if text := r.URL.Query().Get("at"); text != "" {
		at, _ = strconv.Atoi(text)
	}
	end, ok := s.append(name, at, body[4:])
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	json.NewEncoder(w).Encode(map[string]int{"offset": end - 1, "end": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	maxKB, err := strconv.Atoi(q.Get("max_kb"))
	if err != nil {
		maxKB = 1024
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topic(q.Get("topic")).records, s.changed
		s.mu.Unlock()
		if from < len(records) || wait <= 0 {
			s.writeRecords(w, records, from, maxKB<<10)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) writeRecords(w http.ResponseWriter, records [][]byte, from, limit int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, record := range records[min(from, len(records)):] {
		if len(out) > 16 && len(out)+len(record) > limit {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
		out = append(out, record...)
	}
	w.Write(out)
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	page := struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"has_more"`
		End     int    `json:"end"`
	}{Items: []item{}}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	var keys []string
	for key := range t.newest {
		if key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for i, key := range keys {
		if i == 500 {
			page.HasMore = true
			break
		}
		record := t.records[t.newest[key]]
		page.Items = append(page.Items, item{key, record[1+len(key):], t.newest[key]})
	}
	page.End = len(t.records)
	s.mu.Unlock()
	json.NewEncoder(w).Encode(page)
}

func (s *store) close() { s.server.Shutdown(context.Background()) }
