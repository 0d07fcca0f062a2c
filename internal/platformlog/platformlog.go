// Package platformlog is the HTTP client of the platform's append-only log, to which nodes that own slices write their
// ledger; gateways use the keyed store instead, whose client is in platform/store.
//
// The package also contains the codec of ledger records. It makes no decisions. The protocol is:
//
//	POST /v1/streams/{stream}/records                        body: record; 201 {"offset": n}
//	GET  /v1/streams/{stream}/records?from=&max=&wait_ms=    200 {"records": [{"offset", "data"}], "next", "earliest"}
//	                                                         410 {"earliest": n} if from is older than earliest
package platformlog

import (
	"context"
	"encoding/json"
	"time"

	"heatherreel/internal/ledger"
	"heatherreel/internal/problem"
)

// MaxRecordSize is the largest encoded record in bytes. A checkpoint of 840 members with 16 slices each fits.
const MaxRecordSize = 4 << 20

// Entry is one record of the stream.
type Entry struct {
	Offset ledger.Offset
	// Record is nil if the stored bytes could not be decoded.
	Record *ledger.Record
}

// Page is the answer to a read.
type Page struct {
	Entries []Entry
	// Next is the offset at which the next read starts.
	Next ledger.Offset
	// Earliest is the oldest offset that the log still retains.
	Earliest ledger.Offset
}

// Log is one stream of the platform's log.
type Log interface {
	// Append adds a record and returns its offset. A problem.NotSent error means that nothing was sent;
	// problem.Unavailable means that the record may or may not have been stored.
	Append(ctx context.Context, record *ledger.Record) (ledger.Offset, error)
	// Read returns at most max records, starting at offset from. If there is none yet, it waits up to wait, then
	// returns an empty page. It returns a problem.PastRetention error if from is older than the earliest retained
	// offset; the page then has only Earliest set. A problem.TooLarge error means that so many records are too large for
	// one reply; fewer may fit.
	Read(ctx context.Context, from ledger.Offset, max int, wait time.Duration) (Page, error)
}

// Encode returns the stored form of a record, or a problem.TooLarge error if it is larger than MaxRecordSize.
func Encode(r *ledger.Record) ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, problem.New(problem.Malformed, "report this as a defect", "record cannot be encoded as JSON: %w", err)
	}
	if len(data) > MaxRecordSize {
		return nil, problem.New(problem.TooLarge, "shorten the document",
			"record has %d bytes, at most %d are allowed", len(data), MaxRecordSize)
	}
	return data, nil
}

// Decode returns the record in data, or a problem.Malformed error.
func Decode(data []byte) (*ledger.Record, error) {
	var r ledger.Record
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, problem.New(problem.Malformed, "find the writer by the offset of the record",
			"record is not valid JSON: %w", err)
	}
	if r.Kind == "" {
		return nil, problem.New(problem.Malformed, "find the writer by the offset of the record", "record has no kind")
	}
	return &r, nil
}
