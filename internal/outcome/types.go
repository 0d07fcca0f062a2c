// Package outcome retains the outcomes of requests that must run at most once.
//
// A table belongs to one node. It answers a repeated request id with the retained outcome, and answers "unknown" to ids
// whose outcome it may have lost. It does no I/O and reads no clock; callers must hold a lock.
//
// The following rules ensure that a request runs at most once, whatever the clocks of callers show. An id is admitted
// only if its issue time is at most CallerLead ahead of the node's clock and at most Retention behind it. An outcome is
// retained for Retention from its completion, or from its issue time if that is later. A move of a slice transfers the
// issue time up to which the earlier owner may have dropped outcomes, since the clock and the retention of the new
// owner may differ. After a failover, ids are unknown if they were issued up to CallerLead plus NodeSkew after the
// earlier owner was lost.
package outcome

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/request"
)

// Defaults of Options.
const (
	DefaultRetention = 60 * time.Second
	// DefaultCallerLead bounds how far callers' clocks may be ahead. After a failover, new requests are answered
	// "unknown" for this time plus the node skew, which must stay well below the 1 s within which a key must be served
	// again.
	DefaultCallerLead = 100 * time.Millisecond
	// DefaultNodeSkew bounds the clock skew between two nodes.
	DefaultNodeSkew = 100 * time.Millisecond
	// DefaultAnswerReserve is the memory reserved for the answer of a running request, in bytes.
	DefaultAnswerReserve = 512
)

// EntryBytes is the memory of one retained outcome without its tenant, content type and body. TestEntryBytes checks it
// against the measured memory.
const EntryBytes = 320

// Options are the limits of a table.
type Options struct {
	Retention  time.Duration
	CallerLead time.Duration
	NodeSkew   time.Duration
	// MaxBytes bounds the memory of the table.
	MaxBytes int64
	// AnswerReserve is the memory reserved for the answer of each running request, in bytes.
	AnswerReserve int64
}

// Fingerprint is a hash of the method, key and body of a request.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of r.
func NewFingerprint(r request.Request) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range [...]string{r.Method, r.Key} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write(r.Body)
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// Ref identifies one request in a table.
type Ref struct {
	Slice  keyspace.SliceID
	Tenant string
	ID     uuid.UUID
}

// IssuedAt returns the time at which a UUIDv7 was issued, in whole milliseconds.
func IssuedAt(id uuid.UUID) time.Time {
	var ms [8]byte
	copy(ms[2:], id[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(ms[:])))
}

// Verdict states how to handle a request.
type Verdict uint8

// Verdicts. The zero value does not run the request.
const (
	// Answer means that the caller gets Decision.Answer: a retained answer, "unknown" or a refusal.
	Answer Verdict = iota
	// Run means that the request is now recorded as running; it must be ended with Complete.
	Run
	// Wait means that the same request is already running; its answer is also the answer to this one.
	Wait
)

// Decision is the result of Admit.
type Decision struct {
	Verdict Verdict
	// Answer is set if Verdict is Answer.
	Answer request.Answer
}

// Retained is one retained outcome in the form in which it is transferred to another node.
type Retained struct {
	Tenant      string
	ID          uuid.UUID
	Fingerprint Fingerprint
	// Remaining is the remaining retention time.
	Remaining time.Duration
	Answer    request.Answer
}

// SliceExport holds the outcomes of a slice for its new owner.
type SliceExport struct {
	Slice keyspace.SliceID
	// UnknownBefore is the issue time before which request ids without a retained outcome are unknown.
	UnknownBefore time.Time
	Outcomes      []Retained
}

// Usage is the memory usage of a table.
type Usage struct {
	Entries int
	Bytes   int64
	// Trimmed counts answers that were not retained because of the memory limit; see Table.retain.
	Trimmed uint64
}
