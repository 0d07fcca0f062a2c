package fake

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"heatherreel/internal/ledger"
	"heatherreel/internal/platformlog"
	"heatherreel/internal/problem"
)

// Limits of one read over HTTP. Higher values in a request are reduced to them.
const (
	maxReadRecords = 1000
	maxReadWait    = 30 * time.Second
)

// NewLogHandler returns a handler that serves l with the HTTP protocol of package platformlog. Every stream name
// refers to l. PUT /faults with LogFaults in JSON replaces the faults.
func NewLogHandler(l *Log) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/streams/{stream}/records", l.serveAppend).Methods(http.MethodPost)
	r.HandleFunc("/v1/streams/{stream}/records", l.serveRead).Methods(http.MethodGet)
	r.HandleFunc("/faults", l.serveFaults).Methods(http.MethodPut)
	return r
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, platformlog.MaxRecordSize+1))
	if err != nil || len(data) > platformlog.MaxRecordSize {
		http.Error(w, "record too large or incomplete", http.StatusRequestEntityTooLarge)
		return
	}
	offset, err := l.AppendBytes(r.Context(), data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSONStatus(w, http.StatusCreated, map[string]ledger.Offset{"offset": offset})
}

// logRecord and logPage are the JSON response to a read.
type logRecord struct {
	Offset ledger.Offset `json:"offset"`
	Data   []byte        `json:"data"`
}

type logPage struct {
	Records  []logRecord   `json:"records"`
	Next     ledger.Offset `json:"next"`
	Earliest ledger.Offset `json:"earliest"`
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	from, errFrom := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	limit, errMax := strconv.Atoi(r.URL.Query().Get("max"))
	waitMS, errWait := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if errors.Join(errFrom, errMax, errWait) != nil {
		http.Error(w, "from, max and wait_ms must be numbers", http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, maxReadWait)
	raw, err := l.ReadBytes(r.Context(), ledger.Offset(from), min(limit, maxReadRecords), wait)
	switch {
	case problem.KindOf(err) == problem.PastRetention:
		writeJSONStatus(w, http.StatusGone, logPage{Earliest: raw.Earliest})
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	page := logPage{Next: raw.Next, Earliest: raw.Earliest, Records: []logRecord{}}
	for i, data := range raw.Records {
		page.Records = append(page.Records, logRecord{Offset: raw.First + ledger.Offset(i), Data: data})
	}
	writeJSONStatus(w, http.StatusOK, page)
}

func (l *Log) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f LogFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// writeJSONStatus responds with the status and with value in JSON.
func writeJSONStatus(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
