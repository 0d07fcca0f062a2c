package pipeline

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"heatherreel/internal/intake"
)

// benchmarkHandler answers like the handler of callers' requests.
func benchmarkHandler(w http.ResponseWriter, req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body)
	body := make([]byte, 900)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if owner, ok := w.(interface{ WriteOwned([]byte) (int, error) }); ok {
		_, _ = owner.WriteOwned(body)
		return
	}
	_, _ = w.Write(body)
}

// BenchmarkRequest compares a request on a kept connection with the server of net/http.
func BenchmarkRequest(b *testing.B) {
	const head = " /a/b?c=d HTTP/1.1\r\nHost: orders.example\r\nHeatherreel-Request-Id: 0190a6c2-4a7e-7c3e\r\nHeatherreel-Deadline-Ms: 700\r\n" +
		"Accept: application/json\r\nUser-Agent: benchmark\r\n"
	for name, request := range map[string]string{"GET": "GET" + head + "\r\n", "POST": "POST" + head + "Content-Length: 4\r\n\r\nbody"} {
		b.Run(name+"/net/http", func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			s := &http.Server{Handler: http.HandlerFunc(benchmarkHandler)}
			go func() { _ = s.Serve(listener) }()
			defer s.Close()
			benchmarkConnection(b, listener.Addr().String(), request)
		})
		b.Run(name+"/pipeline", func(b *testing.B) {
			benchmarkConnection(b, startServer(b, &Server{Handler: http.HandlerFunc(benchmarkHandler),
				Governor: NewGovernor(intake.Sizes{MemoryMB: 184}.Limits(), nil)}), request)
		})
	}
}

// benchmarkConnection sends requests one after the other. The client does not allocate, so that the figures are those of
// the server.
func benchmarkConnection(b *testing.B, address, request string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	data, buffer := []byte(request), make([]byte, 64<<10)
	exchange := func() int {
		if _, err := conn.Write(data); err != nil {
			b.Fatal(err)
		}
		n, err := conn.Read(buffer)
		if err != nil {
			b.Fatal(err)
		}
		return n
	}
	size := exchange()
	b.ReportAllocs()
	for b.Loop() {
		for got := exchange(); got < size; {
			n, err := conn.Read(buffer)
			if err != nil {
				b.Fatal(err)
			}
			got += n
		}
	}
}
