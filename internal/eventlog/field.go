package eventlog

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/ledger"
	"heatherreel/internal/problem"
	"heatherreel/internal/request"
)

// literal is text that only an untyped constant converts to outside of this package. A key or another value of a
// request therefore does not compile as a literal.
type literal string

// Field is one field of an event. Only the constructors of this package make one.
type Field struct {
	key    string
	kind   fieldKind
	number uint64
	text   string
	list   []ledger.Incarnation
	addr   netip.AddrPort
}

// fieldKind says how a field is written.
type fieldKind uint8

const (
	kindNumber fieldKind = iota
	kindText
	kindDuration
	kindAddress
	kindIncarnations
	kindSlice
)

// Count is a field with a number of things.
func Count(key literal, n int) Field {
	return Field{key: string(key), kind: kindNumber, number: uint64(max(n, 0))}
}

// Duration is a field in milliseconds.
func Duration(key literal, d time.Duration) Field {
	return Field{key: string(key), kind: kindDuration, number: uint64(d)}
}

// Word is a field with constant text.
func Word(key, value literal) Field {
	return Field{key: string(key), kind: kindText, text: string(value)}
}

// RequestID is the field "request", the id that the caller gave its request.
func RequestID(id string) Field {
	return Field{key: "request", kind: kindText, text: bounded(id)}
}

// Name is a field with a name that operators or the platform gave: an instance, a service, a route, a backend server. It
// is not for keys or other content of requests.
func Name(key literal, name string) Field {
	return Field{key: string(key), kind: kindText, text: bounded(name)}
}

// maxText bounds text that comes from outside.
const maxText = 120

func bounded(text string) string { return text[:min(len(text), maxText)] }

// Offset is the field "offset", an offset of the log.
func Offset(o ledger.Offset) Field {
	return Field{key: "offset", kind: kindNumber, number: uint64(o)}
}

// Version is the field "version", the version of a group or of a witness set.
func Version(o ledger.Offset) Field {
	return Field{key: "version", kind: kindNumber, number: uint64(o)}
}

// Fence is the field "fence".
func Fence(o ledger.Offset) Field {
	return Field{key: "fence", kind: kindNumber, number: uint64(o)}
}

// Revision is the field "revision", a configuration revision.
func Revision(o ledger.Offset) Field {
	return Field{key: "revision", kind: kindNumber, number: uint64(o)}
}

// Incarnation is the field "incarnation", the node that the event is about.
func Incarnation(i ledger.Incarnation) Field {
	return Field{key: "incarnation", kind: kindNumber, number: uint64(i)}
}

// Peer is the field "peer", another node that takes part in the event.
func Peer(i ledger.Incarnation) Field {
	return Field{key: "peer", kind: kindNumber, number: uint64(i)}
}

// Witnesses is the field "witnesses". The list must not change until Emit returns.
func Witnesses(list []ledger.Incarnation) Field {
	return Field{key: "witnesses", kind: kindIncarnations, list: list}
}

// Address is a field with an IP address and port.
func Address(key literal, a netip.AddrPort) Field {
	return Field{key: string(key), kind: kindAddress, addr: a}
}

// Slice is the field "slice". It names a range of key hashes, not a key.
func Slice(id keyspace.SliceID) Field {
	return Field{key: "slice", kind: kindSlice, text: id.Group.String(), number: uint64(id.Index)}
}

// Group is the field "group".
func Group(g keyspace.Group) Field {
	return Field{key: "group", kind: kindText, text: g.String()}
}

// Service is the field "service", a service of the configuration.
func Service(name string) Field { return nameField("service", name) }

// Instance is the field "instance", the instance of another node.
func Instance(name string) Field { return nameField("instance", name) }

// Pool is the field "pool", the name of a worker pool.
func Pool(name string) Field { return nameField("pool", name) }

// RecordKind is the field "kind", the kind of a record.
func RecordKind(k ledger.Kind) Field { return nameField("kind", string(k)) }

// Rejection is the field "rejection", why a record did not take effect.
func Rejection(r ledger.Rejection) Field { return nameField("rejection", string(r)) }

// Reason is the field "reason", why a request was not done.
func Reason(r request.Reason) Field { return nameField("reason", string(r)) }

// maxName is the longest name that is written, in bytes.
const maxName = 64

// invalidName replaces text that is not a name.
const invalidName = "invalid"

// nameField returns a field with a name of the configuration or a code. Names come from peers as well, so that text
// which is not a short name is replaced.
func nameField(key, name string) Field {
	if !isName(name) {
		name = invalidName
	}
	return Field{key: key, kind: kindText, text: name}
}

// isName reports whether text is empty or a short word of letters, digits, '.', '_' and '-'.
func isName(text string) bool {
	if len(text) > maxName {
		return false
	}
	for i := range len(text) {
		c := text[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && !(c >= '0' && c <= '9') && c != '.' && c != '_' && c != '-' {
			return false
		}
	}
	return true
}

// Cause is the field "cause": the kind of an error and what the operating system reported. The text of the error is
// left out, because a wrapped error of an HTTP client holds the URL and with it the key.
func Cause(err error) Field {
	return Field{key: "cause", kind: kindText, text: cause(err)}
}

// cause returns the kind and the system's report of err.
func cause(err error) string {
	kind, report := problem.KindOf(err), systemReport(err)
	switch {
	case err == nil:
		return "none"
	case kind != "" && report != "":
		return string(kind) + ": " + report
	case kind != "":
		return string(kind)
	case report != "":
		return report
	default:
		return "other"
	}
}

// systemReport returns fixed text for errors of the operating system and the standard library.
func systemReport(err error) string {
	var code syscall.Errno
	var timeout net.Error
	switch {
	case errors.As(err, &code):
		return code.Error()
	case errors.Is(err, context.Canceled):
		return "canceled"
	case errors.Is(err, context.DeadlineExceeded):
		return "deadline exceeded"
	case errors.Is(err, net.ErrClosed):
		return "connection closed"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "connection ended"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "timeout"
	default:
		return ""
	}
}

// write adds the field to a line.
func (f *Field) write(line *zerolog.Event) {
	switch f.kind {
	case kindNumber:
		line.Uint64(f.key, f.number)
	case kindText:
		line.Str(f.key, f.text)
	case kindDuration:
		line.Float64(f.key+"_ms", float64(time.Duration(f.number).Microseconds())/microsecondsPerMillisecond)
	case kindAddress:
		line.Stringer(f.key, f.addr)
	case kindIncarnations:
		line.Array(f.key, incarnations(f.list))
	case kindSlice:
		line.Str("group", f.text).Uint64(f.key, f.number)
	}
}

// microsecondsPerMillisecond converts durations for the log.
const microsecondsPerMillisecond = 1000

// incarnations writes a list of incarnations.
type incarnations []ledger.Incarnation

// MarshalZerologArray writes the list.
func (l incarnations) MarshalZerologArray(a *zerolog.Array) {
	for _, i := range l {
		a.Uint64(uint64(i))
	}
}
