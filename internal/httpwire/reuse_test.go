package httpwire

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a request that is sent twice: net/http returns the connection of an answer without a body to its pool
// before the exchange learns of the answer, so that the next exchange may have begun on it by then.
func TestAnswerWithoutBodyIsSentOnce(t *testing.T) {
	const callers, requests = 32, 100
	var arrivals [callers * requests]atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.Atoi(r.Header.Get("Id"))
		arrivals[id].Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	}))
	defer server.Close()
	transport := NewTransport(Options{MaxConnections: 1, DialTimeout: time.Second, IdleTimeout: time.Minute, MaxBufferedBytes: 1 << 20})
	defer transport.Close()
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for i := range requests {
				h := http.Header{}
				h.Set("Id", strconv.Itoa(caller*requests+i))
				_, err := transport.Do(context.Background(), Call{Method: http.MethodPost, Address: strings.TrimPrefix(server.URL, "http://"), Path: "/",
					Header: h, Body: []byte("body"), MaxResponseBytes: 1 << 10})
				if err != nil {
					t.Errorf("exchange: %v", err)
				}
			}
		})
	}
	group.Wait()
	for id := range arrivals {
		if n := arrivals[id].Load(); n != 1 {
			t.Errorf("request %d arrived %d times, want once", id, n)
		}
	}
}
