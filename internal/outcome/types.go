// Package outcome retains the outcomes of requests that must run at most once.
//
// A table belongs to one node. It answers a repeated request id from what it retains, and answers "unknown" to ids
// of which it may have lost the outcome. It does no I/O and reads no clock; the caller holds the lock.
//
// At most one run rests on these rules, whatever the clocks of callers show. An id is admitted only if its time of
// issue is at most CallerLead ahead of the node's clock and at most Retention behind it. An outcome is retained for
// Retention from its completion, or from its time of issue if that is later. A move carries the time of issue up to
// which the earlier owner may have dropped outcomes, since clocks and retention of the new owner may differ. After a
// failover, ids are unknown up to CallerLead plus NodeSkew after the new owner began to serve.
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
	// DefaultCallerLead bounds how far callers' clocks may run ahead. After a failover, new requests are answered
	// unknown for this time plus the node skew, which must stay well below the 1 s within which a key is served again.
	DefaultCallerLead = 100 * time.Millisecond
	// DefaultNodeSkew bounds the difference of two nodes' clocks.
	DefaultNodeSkew = 100 * time.Millisecond
	// DefaultAnswerReserve is the memory held for the answer of a running request, in bytes.
	DefaultAnswerReserve = 512
)

// EntryBytes is the memory that one retained outcome takes besides its tenant, content type and body. The test of
// the package measures it.
const EntryBytes = 320

// Options are the bounds of a table.
type Options struct {
	Retention  time.Duration
	CallerLead time.Duration
	NodeSkew   time.Duration
	// MaxBytes bounds the memory of the table.
	MaxBytes int64
	// AnswerReserve is held for each running request, in bytes.
	AnswerReserve int64
}

// Fingerprint distinguishes requests by method, key and body, without retaining them.
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

// Ref names one request in a table.
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

// Verdict says what to do with a request.
type Verdict uint8

// Verdicts. The zero value runs nothing.
const (
	// Answer means that Decision.Answer is the answer: retained, unknown or a refusal.
	Answer Verdict = iota
	// Run means that the request is now recorded as running; Complete must follow.
	Run
	// Wait means that the same request is running; its answer is the answer of this one too.
	Wait
)

// Decision is the result of Admit.
type Decision struct {
	Verdict Verdict
	// Answer is set if Verdict is Answer.
	Answer request.Answer
}

// Retained is one outcome on its way to another node.
type Retained struct {
	Tenant      string
	ID          uuid.UUID
	Fingerprint Fingerprint
	// Remaining is how long the outcome must still be retained.
	Remaining time.Duration
	Answer    request.Answer
}

// SliceExport holds what a new owner of a slice must know.
type SliceExport struct {
	Slice keyspace.SliceID
	// UnknownBefore is the time of issue up to which ids without a retained outcome are unknown.
	UnknownBefore time.Time
	Outcomes      []Retained
}

// Usage is the memory of a table.
type Usage struct {
	Entries int
	Bytes   int64
	// Trimmed counts answers whose body was not retained for want of room.
	Trimmed uint64
}
