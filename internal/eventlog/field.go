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

// literal is constant text. The type is unexported, so that other packages can pass only untyped constants; a key or
// another value of a request does not compile.
type literal string

// Field is one field of an event. Only the constructors of this package create fields.
type Field struct {
	key    string
	kind   fieldKind
	number uint64
	text   string
	list   []ledger.Incarnation
	addr   netip.AddrPort
}

// fieldKind selects the encoding of a field.
type fieldKind uint8

const (
	kindNumber fieldKind = iota
	kindText
	kindDuration
	kindAddress
	kindIncarnations
	kindSlice
)

// Count is a field with a count or another whole number; negative values are written as 0.
func Count(key literal, n int) Field {
	return Field{key: string(key), kind: kindNumber, number: uint64(max(n, 0))}
}

// Duration is a field with a duration in milliseconds; "_ms" is appended to its key.
func Duration(key literal, d time.Duration) Field {
	return Field{key: string(key), kind: kindDuration, number: uint64(d)}
}

// ConstantText is a field with constant text.
func ConstantText(key, value literal) Field {
	return Field{key: string(key), kind: kindText, text: string(value)}
}

// RequestID is the field "request", the request id chosen by the caller.
func RequestID(id string) Field {
	return Field{key: "request", kind: kindText, text: truncate(id)}
}

// Name is a field with a name that operators or the platform assigned, for example of an instance, a service, a route
// or a backend server. It must not be used for keys or other content of requests.
func Name(key literal, name string) Field {
	return Field{key: string(key), kind: kindText, text: truncate(name)}
}

// maxTextBytes is the maximum length of text from outside of the process; the rest is cut off.
const maxTextBytes = 120

// truncate returns at most the first maxTextBytes bytes of text.
func truncate(text string) string { return text[:min(len(text), maxTextBytes)] }

// Offset is the field "offset", an offset of the platform log.
func Offset(o ledger.Offset) Field {
	return Field{key: "offset", kind: kindNumber, number: uint64(o)}
}

// Version is the field "version", the version of a group or of a witness set.
func Version(o ledger.Offset) Field {
	return Field{key: "version", kind: kindNumber, number: uint64(o)}
}

// Fence is the field "fence", the fence of an assignment.
func Fence(o ledger.Offset) Field {
	return Field{key: "fence", kind: kindNumber, number: uint64(o)}
}

// Revision is the field "revision", a configuration revision.
func Revision(o ledger.Offset) Field {
	return Field{key: "revision", kind: kindNumber, number: uint64(o)}
}

// Incarnation is the field "incarnation", the incarnation of the node that the event concerns.
func Incarnation(i ledger.Incarnation) Field {
	return Field{key: "incarnation", kind: kindNumber, number: uint64(i)}
}

// Peer is the field "peer", the incarnation of another node that is involved in the event.
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

// Slice is the fields "group" and "slice". They identify a range of key hashes, not a key.
func Slice(id keyspace.SliceID) Field {
	return Field{key: "slice", kind: kindSlice, text: id.Group.String(), number: uint64(id.Index)}
}

// Group is the field "group", a service with its home regions.
func Group(g keyspace.Group) Field {
	return Field{key: "group", kind: kindText, text: g.String()}
}

// Service is the field "service", a service of the configuration.
func Service(name string) Field { return nameField("service", name) }

// Instance is the field "instance", the instance name of another node.
func Instance(name string) Field { return nameField("instance", name) }

// Pool is the field "pool", the name of a worker pool.
func Pool(name string) Field { return nameField("pool", name) }

// RecordKind is the field "kind", the kind of a record.
func RecordKind(k ledger.Kind) Field { return nameField("kind", string(k)) }

// Rejection is the field "rejection", why a record did not take effect.
func Rejection(r ledger.Rejection) Field { return nameField("rejection", string(r)) }

// Reason is the field "reason", why a request was refused or its outcome is unknown.
func Reason(r request.Reason) Field { return nameField("reason", string(r)) }

// maxNameBytes is the length of the longest name that is written.
const maxNameBytes = 64

// invalidName is written instead of text that is not a valid name.
const invalidName = "invalid"

// nameField returns a field with a name of the configuration or a code. Names can also come from peers, so text that is
// not a short name is replaced by invalidName.
func nameField(key, name string) Field {
	if !isName(name) {
		name = invalidName
	}
	return Field{key: key, kind: kindText, text: name}
}

// isName reports whether text is empty or a short word of letters, digits, '.', '_' and '-'.
func isName(text string) bool {
	if len(text) > maxNameBytes {
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

// Cause is the field "cause": the kind of an error and the error of the operating system or the standard library that
// it wraps. The text of the error itself is left out, because errors of an HTTP client contain the URL, and the URL the
// key.
func Cause(err error) Field {
	return Field{key: "cause", kind: kindText, text: cause(err)}
}

// cause returns the kind of err and the text of the system error that it wraps.
func cause(err error) string {
	kind, systemText := problem.KindOf(err), systemErrorText(err)
	switch {
	case err == nil:
		return "none"
	case kind != "" && systemText != "":
		return string(kind) + ": " + systemText
	case kind != "":
		return string(kind)
	case systemText != "":
		return systemText
	default:
		return "other"
	}
}

// systemErrorText returns a fixed text for an error of the operating system or the standard library, or an empty string
// for other errors.
func systemErrorText(err error) string {
	var errno syscall.Errno
	var netErr net.Error
	switch {
	case errors.As(err, &errno):
		return errno.Error()
	case errors.Is(err, context.Canceled):
		return "canceled"
	case errors.Is(err, context.DeadlineExceeded):
		return "deadline exceeded"
	case errors.Is(err, net.ErrClosed):
		return "connection closed"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "connection ended"
	case errors.As(err, &netErr) && netErr.Timeout():
		return "timeout"
	default:
		return ""
	}
}

// write adds the field to the line.
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

const microsecondsPerMillisecond = 1000

// incarnations encodes a list of incarnations as an array.
type incarnations []ledger.Incarnation

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (l incarnations) MarshalZerologArray(a *zerolog.Array) {
	for _, i := range l {
		a.Uint64(uint64(i))
	}
}
