//go:build review

package main

import (
	"encoding/base64"
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

// store is a stand-in for the platform's metadata store. It keeps keyed topics in memory and answers as PROTOCOL.md says:
// log-append with a condition on the end, log-read with a wait, and log-newest.
type store struct {
	address string
	server  *http.Server

	mu     sync.Mutex
	topics map[string]*topic
}

// topic is the only partition of a keyed topic.
type topic struct {
	// records are the raw contents: length of the key, key, value.
	records [][]byte
	// newest holds the offset of the newest record of each key that has a value.
	newest map[string]int
	// changed is closed and replaced with each append.
	changed chan struct{}
}

// startStore starts a store on an IP address.
func startStore(ip string) (*store, error) {
	s := &store{topics: map[string]*topic{}}
	return s, s.listen(ip)
}

// listen serves the store at a new address.
func (s *store) listen(ip string) error {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.serveAppend)
	mux.HandleFunc("GET /v1/log-read", s.serveRead)
	mux.HandleFunc("GET /v1/log-newest", s.serveNewest)
	s.address, s.server = l.Addr().String(), &http.Server{Handler: mux}
	go func(server *http.Server) { _ = server.Serve(l) }(s.server)
	return nil
}

// move serves the store at another address, with all that it holds, and closes the one before.
func (s *store) move(ip string) error {
	before := s.server
	if err := s.listen(ip); err != nil {
		return err
	}
	return before.Close()
}

// get returns a topic, which is created on first use. The caller holds mu.
func (s *store) get(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends a record as the operator does.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	content := append([]byte{byte(len(key))}, key...)
	s.get(name).add(append(content, value...))
}

func (t *topic) add(content []byte) {
	n := int(content[0])
	key := string(content[1 : 1+n])
	if len(content) > 1+n {
		t.newest[key] = len(t.records)
	} else {
		delete(t.newest, key)
	}
	t.records = append(t.records, content)
	close(t.changed)
	t.changed = make(chan struct{})
}

func (s *store) serveAppend(w http.ResponseWriter, req *http.Request) {
	name := req.URL.Query().Get("topic")
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var contents [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || len(body) < 4+size || size < 1+int(body[4]) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		contents, body = append(contents, body[4:4+size]), body[4+size:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.get(name)
	if at := req.URL.Query().Get("at"); at != "" && at != strconv.Itoa(len(t.records)) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int{"end": len(t.records)})
		return
	}
	offset := len(t.records)
	for _, c := range contents {
		t.add(c)
	}
	writeJSON(w, http.StatusOK, map[string]int{"offset": offset, "end": len(t.records)})
}

func (s *store) serveRead(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		t := s.get(q.Get("topic"))
		changed := t.changed
		if from > len(t.records) {
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]int{"first": 0})
			return
		}
		if from < len(t.records) || !waiting {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < len(t.records); i++ {
				out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[i])))
				out = append(out, t.records[i]...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-req.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, req *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.get(req.URL.Query().Get("topic"))
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items := []item{}
	for key, offset := range t.newest {
		c := t.records[offset]
		items = append(items, item{key, base64.StdEncoding.EncodeToString(c[1+int(c[0]):]), offset})
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": len(t.records)})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// putConfig writes a configuration.
func (s *store) putConfig(c string) { s.put("keyed.op", "config", []byte(strings.TrimSpace(c))) }
