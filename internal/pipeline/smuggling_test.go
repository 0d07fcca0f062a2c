package pipeline

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
)

// smuggled are requests that servers and proxies read differently. Each is followed by a request that a server may take for
// a part of it, or for another one.
var smuggled = map[string]string{
	"two lengths":                 "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx",
	"equal lengths":               "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx",
	"list of lengths":             "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1, 1\r\n\r\nx",
	"signed length":               "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +1\r\n\r\nx",
	"negative length":             "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
	"hexadecimal length":          "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0x1\r\n\r\nx",
	"empty length":                "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n\r\n",
	"length beyond 63 bits":       "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\nx",
	"length with chunks":          "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"chunks with length":          "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n",
	"two codings":                 "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"chunks in HTTP/1.0":          "POST /a HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"bare LF after request line":  "GET /a HTTP/1.1\nHost: h\r\n\r\n",
	"bare LF after field":         "GET /a HTTP/1.1\r\nHost: h\nX-A: 1\r\n\r\n",
	"bare LF at end of head":      "GET /a HTTP/1.1\r\nHost: h\r\n\n",
	"bare CR in value":            "GET /a HTTP/1.1\r\nHost: h\r\nX-A: 1\rX-B: 2\r\n\r\n",
	"NUL in value":                "GET /a HTTP/1.1\r\nHost: h\r\nX-A: 1\x00\r\n\r\n",
	"space before colon":          "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 1\r\n\r\nx",
	"tab before colon":            "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding\t: chunked\r\n\r\n0\r\n\r\n",
	"folded field":                "GET /a HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n Content-Length: 9\r\n\r\n",
	"folded by a tab":             "GET /a HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n\tb\r\n\r\n",
	"field without name":          "GET /a HTTP/1.1\r\nHost: h\r\n: 1\r\n\r\n",
	"field without colon":         "GET /a HTTP/1.1\r\nHost: h\r\nX-A\r\n\r\n",
	"two hosts":                   "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
	"no host":                     "GET /a HTTP/1.1\r\nX-A: 1\r\n\r\n",
	"space in host":               "GET /a HTTP/1.1\r\nHost: h i\r\n\r\n",
	"two spaces in request line":  "GET  /a HTTP/1.1\r\nHost: h\r\n\r\n",
	"space in target":             "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
	"empty line first":            "\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n",
	"bytes after a chunk":         "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nxy\r\n0\r\n\r\n",
	"chunk without end":           "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx0\r\n\r\n",
	"bare LF after chunk size":    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\nx\r\n0\r\n\r\n",
	"bare LF after chunk":         "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\n0\r\n\r\n",
	"bad chunk size":              "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nz\r\nx\r\n0\r\n\r\n",
	"signed chunk size":           "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n+1\r\nx\r\n0\r\n\r\n",
	"hexadecimal chunk size":      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0x1\r\nx\r\n0\r\n\r\n",
	"chunk size beyond 64 bits":   "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000001\r\nx\r\n0\r\n\r\n",
	"bare LF after trailer":       "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-A: 1\n\n",
	"length in trailer":           "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 1\r\n\r\n",
	"folded trailer":              "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-A: 1\r\n b\r\n\r\n",
	"bare LF behind the last one": "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\n\n",
}

// Guards against requests that a proxy before this server, or the backend server behind it, reads as other ones. What
// follows on such a connection must not be handled.
func TestSmuggledRequestsAreRefused(t *testing.T) {
	for name, request := range smuggled {
		t.Run(name, func(t *testing.T) {
			handled := make(chan string, 10)
			c := dial(t, startServer(t, &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				if _, err := io.ReadAll(req.Body); err != nil {
					w.WriteHeader(http.StatusBadRequest)
					return
				}
				handled <- req.URL.Path
			})}))
			_, _ = io.WriteString(c, request+"GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n")
			c.expect(t, http.StatusBadRequest, "", true)
			c.expectEnd(t)
			if len(handled) > 0 {
				t.Errorf("%s was handled", <-handled)
			}
		})
	}
}

// Guards against a head without end that occupies memory or a connection.
func TestLargeHeadsAreRefused(t *testing.T) {
	for name, head := range map[string]string{
		"line":   "GET /" + strings.Repeat("a", 70<<10),
		"bytes":  "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X-A: "+strings.Repeat("a", 1000)+"\r\n", 70) + "\r\n",
		"fields": "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 5000) + "\r\n",
	} {
		c := dial(t, startServer(t, &Server{Handler: http.NotFoundHandler()}))
		go func() { _, _ = io.WriteString(c, head) }()
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil || response.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("%s: %+v, %v", name, response, err)
		}
	}
}

// Guards against a check of heads that depends on how their bytes are split into packets, that lets pass what
// http.ReadRequest does not parse as one request, or that disagrees with it on where the head ends.
func FuzzHead(f *testing.F) {
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n\r\nrest"), 7)
	for _, request := range smuggled {
		f.Add([]byte(request), 3)
	}
	f.Fuzz(func(t *testing.T, data []byte, step int) {
		if len(data) > 1<<16 {
			return
		}
		var whole, split headScan
		size, err := whole.scan(data)
		step = max(1, min(step, len(data)))
		var splitSize int
		var splitErr error
		for n := step; splitSize == 0 && splitErr == nil; n += step {
			splitSize, splitErr = split.scan(data[:min(n, len(data))])
			if n >= len(data) {
				break
			}
		}
		if size != splitSize || err != splitErr {
			t.Fatalf("whole %d %v, in parts %d %v", size, err, splitSize, splitErr)
		}
		if size == 0 {
			return
		}
		head := data[:size]
		if bytes.Count(head, []byte("\n")) != bytes.Count(head, []byte("\r\n")) || !bytes.HasSuffix(head, []byte("\r\n\r\n")) {
			t.Fatalf("accepted %q", head)
		}
		reader := bufio.NewReaderSize(bytes.NewReader(data), len(data)+16)
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if rest := reader.Buffered(); rest != len(data)-size && rest != 0 {
			t.Fatalf("the head ends at %d, but %d bytes are left of %d", size, rest, len(data))
		}
		if len(req.TransferEncoding) > 0 && whole.lengths > 0 || req.ContentLength > 0 && whole.lengths != 1 {
			t.Fatalf("length %d with %d fields, codings %v", req.ContentLength, whole.lengths, req.TransferEncoding)
		}
	})
}
