package pipeline

import (
	"bytes"
	"net/http"
	"strings"

	"heatherreel/internal/httpwire"
	"heatherreel/internal/intake"
)

// refusal is the status with which a request is refused that does not reach the handler. Its connection is closed.
type refusal int

// Error implements error.
func (r refusal) Error() string { return "refused with status " + http.StatusText(int(r)) }

// Refusals of a head.
const (
	badRequest      = refusal(http.StatusBadRequest)
	headTooLarge    = refusal(http.StatusRequestHeaderFieldsTooLarge)
	unsupportedCode = refusal(http.StatusNotImplemented)
	noMemory        = refusal(http.StatusServiceUnavailable)
)

// retryAfter is when a client may retry for which there was no room, in seconds.
const retryAfter = "0.500"

// kind returns what a refusal is counted as besides those for which there was no room.
func (r refusal) kind() intake.Kind {
	switch r {
	case headTooLarge:
		return intake.LargeHead
	case refusal(http.StatusRequestTimeout):
		return intake.SlowHead
	}
	return intake.None
}

// maxLengthDigits bounds the digits of Content-Length, so that the number fits into 63 bits.
const maxLengthDigits = 18

// headScan checks a head, or the trailers of a body, while it arrives. http.ReadRequest accepts line ends without CR,
// spaces before a colon, folded fields and a length beside chunks. Proxies and servers read these differently, so that
// they could take parts of one request for another one.
type headScan struct {
	// line is the offset at which the current line begins, and searched the offset from which its end is looked for.
	line, searched int
	// inFields is set once the request line has passed.
	inFields bool
	// fields is the number of fields so far, and maxFields their limit; 0 means no limit.
	fields, maxFields int
	// lengths, codings and hosts count the fields of these kinds.
	lengths, codings, hosts int
}

// scan continues the check of data, which has grown since the last call. It returns the size of the head including its
// empty line, or 0 if it is not complete. The error is a refusal.
func (s *headScan) scan(data []byte) (int, error) {
	for {
		i := bytes.IndexByte(data[s.searched:], '\n')
		if i < 0 {
			s.searched = len(data)
			return 0, nil
		}
		end := s.searched + i
		if end == s.line || data[end-1] != '\r' {
			return 0, badRequest
		}
		line := data[s.line : end-1]
		s.line, s.searched = end+1, end+1
		switch {
		case !s.inFields:
			if !isRequestLine(line) {
				return 0, badRequest
			}
			s.inFields = true
		case len(line) == 0:
			if s.lengths > 0 && s.codings > 0 {
				return 0, badRequest
			}
			return end + 1, nil
		default:
			if err := s.field(line); err != nil {
				return 0, err
			}
		}
	}
}

// isRequestLine reports whether a line has three parts with one space between them, and no control characters.
func isRequestLine(line []byte) bool {
	spaces := 0
	for _, b := range line {
		if b < ' ' || b == 0x7f {
			return false
		}
		if b == ' ' {
			spaces++
		}
	}
	return spaces == 2
}

// field checks the line of a field.
func (s *headScan) field(line []byte) error {
	if s.fields++; s.maxFields > 0 && s.fields > s.maxFields {
		return headTooLarge
	}
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 {
		return badRequest
	}
	name, value := line[:colon], line[colon+1:]
	for _, b := range name {
		// A folded line begins with a space, which no name contains.
		if !httpwire.IsTokenByte(b) {
			return badRequest
		}
	}
	for _, b := range value {
		if b < ' ' && b != '\t' || b == 0x7f {
			return badRequest
		}
	}
	return s.framing(name, bytes.Trim(value, " \t"))
}

// framing checks a field if it determines where the message ends or for whom it is.
func (s *headScan) framing(name, value []byte) error {
	switch {
	case len(name) == len("Host") && strings.EqualFold(string(name), "Host"):
		if s.hosts++; s.hosts > 1 || !isHost(value) {
			return badRequest
		}
	case len(name) == len("Content-Length") && strings.EqualFold(string(name), "Content-Length"):
		if s.lengths++; s.lengths > 1 || len(value) == 0 || len(value) > maxLengthDigits {
			return badRequest
		}
		for _, b := range value {
			if b < '0' || b > '9' {
				return badRequest
			}
		}
	case len(name) == len("Transfer-Encoding") && strings.EqualFold(string(name), "Transfer-Encoding"):
		if s.codings++; s.codings > 1 || len(value) == 0 {
			return badRequest
		}
		if !strings.EqualFold(string(value), "chunked") {
			return unsupportedCode
		}
	}
	return nil
}

// isHost reports whether a value of Host contains only bytes of host names, IP numbers and ports.
func isHost(value []byte) bool {
	for _, b := range value {
		if !hostBytes[b] {
			return false
		}
	}
	return true
}

// hostBytes is the set of the bytes of hosts with a port.
var hostBytes = byteSet("!$%&()*+,-.:;=[]'_~")

// byteSet returns the set of letters, digits and the bytes of more.
func byteSet(more string) *[256]bool {
	const alphanumeric = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	var set [256]bool
	for _, b := range []byte(alphanumeric + more) {
		set[b] = true
	}
	return &set
}
