package backendserver

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"heatherreel/internal/request"
)

// BenchmarkExecute measures one exchange over a persistent loopback connection, including the server.
func BenchmarkExecute(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("answer")) }))
	defer server.Close()
	client := NewClient(1, 64)
	defer client.Close()
	r := testRequest()
	r.Deadline = time.Now().Add(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		if a := client.Execute(b.Context(), server.Listener.Addr().String(), testSlice, 1, r); a.Outcome != request.Done {
			b.Fatal(a)
		}
	}
}
