package keyhold

import "time"

// Call is a grant or a release that is sent to a backend server.
type Call struct {
	// Address is the address of the backend server, and Server its ID. Incarnation identifies the life of the process: a
	// call is sent on a connection to that incarnation only.
	Address, Server string
	Incarnation     int64
	Span            Span
	// MayConnect reports whether a new connection reaches the incarnation.
	MayConnect func() bool
	// Hold returns for how long a grant may last. It is called at the last moment before the grant is sent; with zero the
	// grant is not sent. It is nil for a release.
	Hold func() time.Duration
}

// Result is what is known of a call when it ends.
type Result uint8

// Results of calls.
const (
	// NotSent means that no byte of the call left the node.
	NotSent Result = iota
	// Accepted means that the backend server has confirmed the call.
	Accepted
	// Refused means that the backend server has seen a higher fence for one of the keys.
	Refused
	// Unanswered means that the call may have arrived before its connection was given up, and may be applied later.
	Unanswered
	// ResultCount is the number of results.
	ResultCount
)

// String returns the name of the result in logs.
func (r Result) String() string {
	return [...]string{"not_sent", "accepted", "refused", "unanswered"}[r]
}

// Reply is the end of a call.
type Reply struct {
	Result Result
	// HandoverToken is the token for the next owner of a span that was released; empty if there is none.
	HandoverToken string
	// ConnectionEnded is set if the backend server closed the connection or refused to open one.
	ConnectionEnded bool
	// Err is why the call was not accepted.
	Err error
}
