package pipeline

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"heatherreel/internal/intake"
)

// exchange is one request and its answer. It implements http.ResponseWriter. The answer is kept until the handler has
// returned and all earlier ones of the connection are written.
//
// conn.mu guards next and done. The handler owns the other fields until done is set, and then the writer.
type exchange struct {
	conn    *conn
	request *http.Request
	body    *body
	header  http.Header
	status  int
	// content is the body of the answer, and owned reports whether it may be appended to.
	content []byte
	owned   bool
	// reserved are the bytes that are accounted for until the answer is written.
	reserved int64
	// expected are the bytes that are reserved for the answer before it is known. The Governor changes it.
	expected int64
	next     *exchange
	done     bool
}

// Header implements http.ResponseWriter.
func (e *exchange) Header() http.Header { return e.header }

// WriteHeader implements http.ResponseWriter. Interim answers are not passed on.
func (e *exchange) WriteHeader(status int) {
	if e.status == 0 && status >= 200 {
		e.status = status
	}
}

// Write implements http.ResponseWriter.
func (e *exchange) Write(p []byte) (int, error) {
	e.WriteHeader(http.StatusOK)
	if !bodyAllowed(e.status) {
		return 0, http.ErrBodyNotAllowed
	}
	if !e.owned {
		e.content, e.owned = bytes.Clone(e.content), true
	}
	e.content = append(e.content, p...)
	return len(p), nil
}

// WriteOwned is Write for a slice that the caller does not use any more, so that it is not copied.
func (e *exchange) WriteOwned(p []byte) (int, error) {
	if len(e.content) > 0 || e.status != 0 && !bodyAllowed(e.status) {
		return e.Write(p)
	}
	e.WriteHeader(http.StatusOK)
	e.content = p
	return len(p), nil
}

// ReserveAnswer reserves memory for an answer of an expected size, until the handler returns. A second call raises the size.
// It returns false if there is no memory, so that the request should be refused.
func (e *exchange) ReserveAnswer(size int64) bool {
	return size < intake.LargeAnswer || e.conn.server.Governor.expect(e, size)
}

// SetReadDeadline sets the deadline for the body; see http.ResponseController.
func (e *exchange) SetReadDeadline(t time.Time) error {
	if e.body == nil {
		return nil
	}
	return e.body.setDeadline(t)
}

// bodyAllowed reports whether an answer with the status may have a body.
func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// closes reports whether the answer or the request asks for the end of the connection.
func (e *exchange) closes() bool {
	return e.request == nil || e.request.Close || hasToken(e.header["Connection"], "close")
}

// hasToken reports whether one of the lists of tokens contains the token.
func hasToken(lists []string, token string) bool {
	for _, list := range lists {
		for part := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

// connectionManaged are the fields that the server sets itself.
var connectionManaged = map[string]bool{"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true}

// encodeBuffers holds unused buffers for heads and short answers.
var encodeBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxCopiedBytes is the largest body that is copied behind its head, so that one call writes both.
const maxCopiedBytes = 8 << 10

// formattedDate is the field Date of one second.
type formattedDate struct {
	second int64
	field  string
}

// lastDate is the one that was sent last; formatting a date takes as long as the rest of a head.
var lastDate atomic.Pointer[formattedDate]

// dateField returns the line of the field Date.
func dateField(now time.Time) string {
	if last := lastDate.Load(); last != nil && last.second == now.Unix() {
		return last.field
	}
	d := &formattedDate{now.Unix(), "Date: " + now.UTC().Format(http.TimeFormat) + "\r\n"}
	lastDate.Store(d)
	return d.field
}

// encode writes the head of the answer to buffer, and the body if it is short. It returns the rest of the body. last is
// set if the connection ends with this answer.
func (e *exchange) encode(buffer *bytes.Buffer, last bool, now time.Time) []byte {
	if e.status == 0 {
		e.status = http.StatusOK
	}
	content, h := e.content, e.header
	head := e.request != nil && e.request.Method == http.MethodHead
	old := e.request != nil && !e.request.ProtoAtLeast(1, 1)
	if old {
		buffer.WriteString("HTTP/1.0 ")
	} else {
		buffer.WriteString("HTTP/1.1 ")
	}
	scratch := strconv.AppendInt(buffer.AvailableBuffer(), int64(e.status), 10)
	buffer.Write(scratch)
	buffer.WriteByte(' ')
	if text := http.StatusText(e.status); text != "" {
		buffer.WriteString(text)
	} else {
		buffer.WriteString("status code ")
		buffer.Write(strconv.AppendInt(buffer.AvailableBuffer(), int64(e.status), 10))
	}
	buffer.WriteString("\r\n")
	switch {
	case !bodyAllowed(e.status):
		delete(h, "Content-Length")
		if e.status == http.StatusNotModified {
			delete(h, "Content-Type")
		}
	case !head || len(h["Content-Length"]) == 0:
		// A length that differs from the body would shift the answers behind it.
		delete(h, "Content-Length")
		if _, typed := h["Content-Type"]; !typed && len(content) > 0 && firstValue(h, "Content-Encoding") == "" {
			buffer.WriteString("Content-Type: " + http.DetectContentType(content) + "\r\n")
		}
		if !head || len(content) > 0 {
			buffer.WriteString("Content-Length: ")
			buffer.Write(strconv.AppendInt(buffer.AvailableBuffer(), int64(len(content)), 10))
			buffer.WriteString("\r\n")
		}
	}
	if _, dated := h["Date"]; !dated {
		buffer.WriteString(dateField(now))
	}
	_ = h.WriteSubset(buffer, connectionManaged)
	switch {
	case last:
		buffer.WriteString("Connection: close\r\n")
	case old:
		buffer.WriteString("Connection: keep-alive\r\n")
	}
	buffer.WriteString("\r\n")
	if head || len(content) == 0 {
		return nil
	}
	if len(content) <= maxCopiedBytes {
		buffer.Write(content)
		return nil
	}
	return content
}

// firstValue returns the first value of a field whose name is in canonical form.
func firstValue(h http.Header, name string) string {
	if values := h[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// isWhole reports whether the body is as long as the handler said in its head.
func (e *exchange) isWhole() bool {
	length := firstValue(e.header, "Content-Length")
	if length == "" || e.status != 0 && !bodyAllowed(e.status) || e.request != nil && e.request.Method == http.MethodHead {
		return true
	}
	return length == strconv.Itoa(len(e.content))
}
