package fake

import (
	"context"
	"slices"
	"time"

	"heatherreel/internal/ledger"
	"heatherreel/internal/lockorder"
	"heatherreel/internal/platformlog"
	"heatherreel/internal/problem"
)

// LogFaults are the faults of a Log that can be set. PUT /faults decodes them from JSON.
type LogFaults struct {
	// Down makes every call fail without effect.
	Down bool `json:"Down"`
	// Delay is added to every call before it takes effect, and again each time a waiting read wakes up.
	Delay time.Duration `json:"Delay"`
	// LostReplies is the number of upcoming appends that take effect but return an error.
	LostReplies int `json:"LostReplies"`
	// Silent makes every call block until its context ends or the fault is removed.
	Silent bool `json:"Silent"`
}

// AppendFault is the fault of one append.
type AppendFault uint8

// Faults of an append.
const (
	// NoFault stores the record and returns its offset.
	NoFault AppendFault = iota
	// LoseReply stores the record but returns problem.Unavailable.
	LoseReply
	// LoseRequest stores nothing and returns problem.Unavailable.
	LoseRequest
	// RefuseConnection stores nothing and returns problem.NotSent.
	RefuseConnection
)

// Log is an in-memory fake of one stream of the platform's log. Offsets start at 1.
//
// mu guards the other fields. Its rank is lockorder.Queue, since no other lock is held when a Log is called.
type Log struct {
	mu       *lockorder.Mutex
	records  [][]byte
	earliest ledger.Offset
	faults   LogFaults
	// appendCount counts the calls of AppendBytes that stored their record.
	appendCount int
	// appendFaults are the faults of the next appends, in order. They apply before faults.LostReplies.
	appendFaults []AppendFault
	// pendingInserts are the records to store immediately before the next append.
	pendingInserts [][]byte
	// changed is closed and replaced when a record is added or the faults change.
	changed chan struct{}
}

var _ platformlog.Log = (*Log)(nil)

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{mu: lockorder.New(lockorder.Queue), earliest: 1, changed: make(chan struct{})}
}

// SetFaults replaces the faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	l.notifyChange()
}

// Faults returns the present faults.
func (l *Log) Faults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// FailNextAppends queues one fault for each of the next appends, after the faults that are queued already.
func (l *Log) FailNextAppends(faults ...AppendFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendFaults = append(l.appendFaults, faults...)
}

// InsertBeforeNextAppend arranges that record is stored immediately before the next append that the LogFaults let pass,
// even if an AppendFault then loses that append. It returns an error if record cannot be encoded.
func (l *Log) InsertBeforeNextAppend(record *ledger.Record) error {
	data, err := platformlog.Encode(record)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pendingInserts = append(l.pendingInserts, data)
	return nil
}

// ApplyRetention removes all records before the given offset from reads, as the retention of the platform's log does.
func (l *Log) ApplyRetention(before ledger.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.earliest = min(max(l.earliest, before), l.nextOffset())
	l.notifyChange()
}

// Len returns the number of records ever stored.
func (l *Log) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

// AppendCount returns the number of append calls that took effect.
func (l *Log) AppendCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appendCount
}

// EncodedRecords returns the encoded form of all records ever stored, for tests that search it.
func (l *Log) EncodedRecords() [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.records)
}

// nextOffset returns the offset of the next record. The caller holds mu.
func (l *Log) nextOffset() ledger.Offset { return ledger.Offset(len(l.records)) + 1 }

// notifyChange wakes all calls that wait for a record or a change of the faults. The caller holds mu.
func (l *Log) notifyChange() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Errors of calls with a fault.
var (
	errLogDown = problem.New(problem.NotSent, "wait until the log is back", "the log is down")
	errNoReply = problem.New(problem.Unavailable, "read the stream to learn the outcome", "no reply arrived")
)

// unavailable returns the error for a call whose context ended with err before the log replied.
func unavailable(err error) error {
	return problem.New(problem.Unavailable, "read the stream to learn the outcome", "the log did not reply: %w", err)
}

// applyFaults delays, blocks or fails a call as the present faults say. It is called before the call takes effect.
func (l *Log) applyFaults(ctx context.Context) error {
	if err := sleepContext(ctx, l.Faults().Delay); err != nil {
		return unavailable(err)
	}
	faults, changed := l.watchFaults()
	for faults.Silent {
		select {
		case <-changed:
		case <-ctx.Done():
			return unavailable(ctx.Err())
		}
		faults, changed = l.watchFaults()
	}
	if faults.Down {
		return errLogDown
	}
	return nil
}

// watchFaults returns the present faults and a channel that is closed when they may have changed.
func (l *Log) watchFaults() (LogFaults, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults, l.changed
}

// sleepContext waits for the delay. It returns early with the error of ctx if that ends first.
func sleepContext(ctx context.Context, delay time.Duration) error {
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Append implements platformlog.Log.
func (l *Log) Append(ctx context.Context, record *ledger.Record) (ledger.Offset, error) {
	data, err := platformlog.Encode(record)
	if err != nil {
		return 0, err
	}
	return l.AppendBytes(ctx, data)
}

// AppendBytes stores data as a record without checking it, so that tests can add malformed records.
func (l *Log) AppendBytes(ctx context.Context, data []byte) (ledger.Offset, error) {
	if err := l.applyFaults(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, inserted := range l.pendingInserts {
		l.appendLocked(inserted)
	}
	l.pendingInserts = nil
	switch l.takeAppendFault() {
	case LoseRequest:
		return 0, errNoReply
	case RefuseConnection:
		return 0, errLogDown
	case LoseReply:
		l.appendLocked(data)
		l.appendCount++
		return 0, errNoReply
	}
	l.appendCount++
	return l.appendLocked(data), nil
}

// takeAppendFault returns the fault of the next append and consumes it. The caller holds mu.
func (l *Log) takeAppendFault() AppendFault {
	if len(l.appendFaults) > 0 {
		fault := l.appendFaults[0]
		l.appendFaults = l.appendFaults[1:]
		return fault
	}
	if l.faults.LostReplies > 0 {
		l.faults.LostReplies--
		return LoseReply
	}
	return NoFault
}

// appendLocked stores a record and returns its offset. The caller holds mu.
func (l *Log) appendLocked(data []byte) ledger.Offset {
	offset := l.nextOffset()
	l.records = append(l.records, slices.Clone(data))
	l.notifyChange()
	return offset
}

// Read implements platformlog.Log. Records that cannot be decoded are nil in their entry.
func (l *Log) Read(ctx context.Context, from ledger.Offset, max int, wait time.Duration) (platformlog.Page, error) {
	raw, err := l.ReadBytes(ctx, from, max, wait)
	page := platformlog.Page{Next: raw.Next, Earliest: raw.Earliest}
	if err != nil {
		return page, err
	}
	for i, data := range raw.Records {
		entry := platformlog.Entry{Offset: raw.First + ledger.Offset(i)}
		if r, err := platformlog.Decode(data); err == nil {
			entry.Record = r
		}
		page.Entries = append(page.Entries, entry)
	}
	return page, nil
}

// RawPage is a page of encoded records. They have the offsets First, First+1 and so on.
type RawPage struct {
	First    ledger.Offset
	Records  [][]byte
	Next     ledger.Offset
	Earliest ledger.Offset
}

// ReadBytes returns at most max encoded records from the offset from on. If there are none, it waits as Read does.
func (l *Log) ReadBytes(ctx context.Context, from ledger.Offset, max int, wait time.Duration) (RawPage, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if err := l.applyFaults(ctx); err != nil {
			return RawPage{}, err
		}
		page, changed, err := l.page(from, max)
		if err != nil || len(page.Records) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return RawPage{}, unavailable(ctx.Err())
		}
	}
}

// page returns at most max encoded records from the offset from on, and a channel that is closed at the next change of
// the log.
func (l *Log) page(from ledger.Offset, max int) (RawPage, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from < l.earliest {
		return RawPage{Earliest: l.earliest}, nil, problem.New(problem.PastRetention,
			"start from a checkpoint or a snapshot of another node",
			"offset %d is older than the earliest kept offset %d", from, l.earliest)
	}
	page := RawPage{First: from, Next: from, Earliest: l.earliest}
	for offset := from; offset < l.nextOffset() && len(page.Records) < max; offset++ {
		page.Records = append(page.Records, l.records[offset-1])
		page.Next = offset + 1
	}
	return page, l.changed, nil
}
