// Package platformlog is the client of the platform's append-only log.
package platformlog

import (
	"context"
	"time"

	"heatherreel/internal/ledger"
)

// Log is one stream of the log.
type Log interface {
	// Append adds the record and returns its offset. An error of kind problem.NotSent means that nothing was sent. An
	// error of kind problem.Unavailable says nothing about the effect: the record may be in the log, or come into it
	// later. The writer then reads on until it sees the id of the record or one that voids it.
	Append(ctx context.Context, record *ledger.Record) (ledger.Offset, error)
	// Read returns entries from offset from on, at most max. If there are none yet, it waits up to wait for the first
	// one and may return a page without entries. Its error is of kind problem.Forgotten if from is older than the
	// earliest kept offset; the page then has Earliest.
	Read(ctx context.Context, from ledger.Offset, max int, wait time.Duration) (Page, error)
}

// Page is a part of a stream.
type Page struct {
	Entries []Entry
	// Next is the offset to ask for next.
	Next ledger.Offset
	// Earliest is the earliest offset that the log keeps.
	Earliest ledger.Offset
}

// Entry is one record with its offset.
type Entry struct {
	Offset ledger.Offset
	// Record is nil if the log holds bytes there that are no record.
	Record *ledger.Record
}
