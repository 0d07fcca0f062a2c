// Package oddhead is a server in trouble: it sends a response with a head that no answer has, or interim responses without
// end. It imports no other package of the project, so that the tests of all of them can use it.
package oddhead

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
)

// Response is what the server sends in place of an answer.
type Response struct {
	Name string
	// line is a status line; empty if bytes without end are sent.
	line string
	// then is set if a valid answer follows at once.
	then bool
	// field is a malformed line among the fields of an otherwise valid head with status 200; empty for none. Its answer has no
	// length if body is set, which the server sends before it closes the connection.
	field, body string
	// begin is followed by repeat again and again.
	begin, repeat string
}

// EndsItself reports whether the response has an end.
func (r Response) EndsItself() bool { return r.repeat == "" }

// Responses are all responses.
var Responses = []Response{
	{Name: "000", line: "HTTP/1.1 000 x"},
	{Name: "099", line: "HTTP/1.1 099 x"},
	{Name: "600", line: "HTTP/1.1 600 x"},
	{Name: "999", line: "HTTP/1.1 999 x"},
	{Name: "negative", line: "HTTP/1.1 -01 x"},
	{Name: "with a plus", line: "HTTP/1.1 +20 x"},
	{Name: "after a space", line: "HTTP/1.1  20 x"},
	{Name: "four digits", line: "HTTP/1.1 2000 x"},
	{Name: "none", line: "HTTP/1.1"},
	{Name: "none after a space", line: "HTTP/1.1 "},
	{Name: "000 before an answer", line: "HTTP/1.1 000 x", then: true},
	{Name: "099 before an answer", line: "HTTP/1.1 099 x", then: true},
	{Name: "101", line: "HTTP/1.1 101 x"},
	{Name: "101 before an answer", line: "HTTP/1.1 101 x", then: true},
	{Name: "endless field of an interim head", begin: "HTTP/1.1 103 x\r\nX-A: ", repeat: "x"},
	{Name: "endless fields of an interim head", begin: "HTTP/1.1 103 x\r\n", repeat: "X-A: x\r\n"},
	{Name: "endless interim heads", repeat: "HTTP/1.1 103 x\r\n\r\n"},
	{Name: "blank in a field name", field: "X Odd: 1"},
	{Name: "blank before a colon", field: "X-Odd : 1"},
	{Name: "blank before a second length", field: "Content-Length : 1"},
	{Name: "blank before the colon of the length", field: "Content-Length : 1", body: "ok"},
	{Name: "blank before the colon of the coding", field: "Transfer-Encoding : chunked", body: "2\r\nok\r\n0\r\n\r\n"},
	{Name: "tab in a field name", field: "X\tOdd: 1"},
	{Name: "tab before a colon", field: "X-Odd\t: 1"},
	{Name: "NUL in a field name", field: "X-Odd\x00: 1"},
	{Name: "control byte in a field name", field: "X-\x01Odd: 1"},
	{Name: "CR in a field name", field: "X-\rOdd: 1"},
	{Name: "DEL in a field name", field: "X-Odd\x7f: 1"},
	{Name: "byte over 127 in a field name", field: "X-\x80Odd: 1"},
	{Name: "empty field name", field: ": 1"},
	{Name: "line without a colon", field: "X-Odd"},
}

// Server answers each request with status 200 and Body, except the request number OddAt, counted from 0, which gets Odd.
type Server struct {
	Odd   Response
	OddAt int64
	Body  string
	// Fields returns the lines of the header fields of the response to a request; nil for none.
	Fields func(*http.Request) string

	requests, connections atomic.Int64
}

// Requests returns the number of requests so far.
func (s *Server) Requests() int64 { return s.requests.Load() }

// Connections returns the number of connections so far.
func (s *Server) Connections() int64 { return s.connections.Load() }

// Serve serves the connections of l until it is closed.
func (s *Server) Serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.connections.Add(1)
		go s.serveConn(conn)
	}
}

// serveConn serves one connection until the client closes it.
func (s *Server) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		var fields string
		if s.Fields != nil {
			fields = s.Fields(req)
		}
		whole := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", fields, len(s.Body), s.Body)
		if s.requests.Add(1)-1 != s.OddAt {
			if _, err := io.WriteString(conn, whole); err != nil {
				return
			}
			continue
		}
		if err := s.writeOdd(conn, fields, whole); err != nil {
			return
		}
	}
}

// writeOdd writes the odd response in place of the answer whole. It returns an error if the connection is to be closed.
func (s *Server) writeOdd(w io.Writer, fields, whole string) error {
	if s.Odd.field != "" {
		return s.writeOddField(w, fields)
	}
	if s.Odd.EndsItself() {
		text := s.Odd.line + "\r\n" + fields + "Content-Length: 0\r\n\r\n"
		if s.Odd.then {
			text += whole
		}
		_, err := io.WriteString(w, text)
		return err
	}
	repeat := strings.Repeat(s.Odd.repeat, 4096/len(s.Odd.repeat))
	_, err := io.WriteString(w, s.Odd.begin)
	for err == nil {
		_, err = io.WriteString(w, repeat)
	}
	return err
}

// writeOddField writes an answer with the odd field after the other ones.
func (s *Server) writeOddField(w io.Writer, fields string) error {
	head := "HTTP/1.1 200 OK\r\n" + fields + s.Odd.field + "\r\n"
	if s.Odd.body == "" {
		_, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", head, len(s.Body), s.Body)
		return err
	}
	if _, err := io.WriteString(w, head+"\r\n"+s.Odd.body); err != nil {
		return err
	}
	return io.EOF
}
