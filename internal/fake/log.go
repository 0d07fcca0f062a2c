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

// LogFaults are the faults that a Log can be told to show.
type LogFaults struct {
	// Down refuses every call without effect.
	Down bool
	// Delay is added to every call before it takes effect, and again when a waiting read wakes up.
	Delay time.Duration
	// LostReplies is the number of next appends that take effect but answer with an error.
	LostReplies int
	// Silent blocks every call until its context ends.
	Silent bool
}

// AppendFault is what happens to one append.
type AppendFault uint8

// Faults of an append.
const (
	// NoFault appends and answers.
	NoFault AppendFault = iota
	// LoseReply appends but answers with problem.Unavailable.
	LoseReply
	// LoseRequest appends nothing and answers with problem.Unavailable.
	LoseRequest
	// RefuseConnection appends nothing and answers with problem.NotSent.
	RefuseConnection
)

// Log is a small stand-in of one stream of the platform's log, kept in memory. Offsets start at 1.
//
// mu guards the other fields; it has rank lockorder.Queue, since a Log is called under no other lock.
type Log struct {
	mu       *lockorder.Mutex
	records  [][]byte
	earliest ledger.Offset
	faults   LogFaults
	appends  int
	// appendFaults are the faults of the next appends, in order. They come before faults.LostReplies.
	appendFaults []AppendFault
	// rivals are stored immediately before the next append.
	rivals [][]byte
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
	l.notify()
}

// Faults returns the faults in force.
func (l *Log) Faults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// FailNext adds the faults of the next appends, in order.
func (l *Log) FailNext(faults ...AppendFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendFaults = append(l.appendFaults, faults...)
}

// OvertakeNext stores record immediately before the next append that reaches the log. It returns an error if record
// cannot be encoded.
func (l *Log) OvertakeNext(record *ledger.Record) error {
	data, err := platformlog.Encode(record)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rivals = append(l.rivals, data)
	return nil
}

// Forget drops all records before offset, as the log's retention does.
func (l *Log) Forget(before ledger.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.earliest = min(max(l.earliest, before), l.next())
	l.notify()
}

// Len returns the number of records ever appended.
func (l *Log) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

// Appends returns the number of append calls that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Bytes returns a copy of everything stored, for searches.
func (l *Log) Bytes() [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.records)
}

// next returns the offset of the next record. The caller holds mu.
func (l *Log) next() ledger.Offset { return ledger.Offset(len(l.records)) + 1 }

// notify wakes all waiting reads. The caller holds mu.
func (l *Log) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Errors of the log's answers.
var (
	errDown = problem.New(problem.NotSent, "wait until the log is back", "the log is down")
	errLost = problem.New(problem.Unavailable, "read the stream to learn the outcome", "the reply was lost")
)

// unavailable wraps the end of a context as the outcome that a client sees.
func unavailable(err error) error {
	return problem.New(problem.Unavailable, "read the stream to learn the outcome", "the log did not answer: %w", err)
}

// admit applies the faults before a call takes effect.
func (l *Log) admit(ctx context.Context) error {
	if err := pause(ctx, l.Faults().Delay); err != nil {
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
		return errDown
	}
	return nil
}

// watchFaults returns the faults in force and a channel that is closed when they may have changed.
func (l *Log) watchFaults() (LogFaults, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults, l.changed
}

// pause waits for the delay or the end of ctx.
func pause(ctx context.Context, delay time.Duration) error {
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

// Append encodes and stores the record; see platformlog.Log.
func (l *Log) Append(ctx context.Context, record *ledger.Record) (ledger.Offset, error) {
	data, err := platformlog.Encode(record)
	if err != nil {
		return 0, err
	}
	return l.AppendBytes(ctx, data)
}

// AppendBytes stores any bytes, so that tests can add malformed records.
func (l *Log) AppendBytes(ctx context.Context, data []byte) (ledger.Offset, error) {
	if err := l.admit(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, rival := range l.rivals {
		l.store(rival)
	}
	l.rivals = nil
	switch l.nextFault() {
	case LoseRequest:
		return 0, errLost
	case RefuseConnection:
		return 0, errDown
	case LoseReply:
		l.store(data)
		l.appends++
		return 0, errLost
	}
	l.appends++
	return l.store(data), nil
}

// nextFault takes the fault of the append in progress. The caller holds mu.
func (l *Log) nextFault() AppendFault {
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

// store adds a record and returns its offset. The caller holds mu.
func (l *Log) store(data []byte) ledger.Offset {
	offset := l.next()
	l.records = append(l.records, slices.Clone(data))
	l.notify()
	return offset
}

// Read returns decoded records; see platformlog.Log.
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

// RawPage is a page of stored bytes; the records have the offsets First, First+1, and so on.
type RawPage struct {
	First    ledger.Offset
	Records  [][]byte
	Next     ledger.Offset
	Earliest ledger.Offset
}

// ReadBytes returns the stored bytes of records from offset from on; it waits as Read does.
func (l *Log) ReadBytes(ctx context.Context, from ledger.Offset, max int, wait time.Duration) (RawPage, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if err := l.admit(ctx); err != nil {
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

// page returns what is stored from offset from on, and a channel that is closed at the next change.
func (l *Log) page(from ledger.Offset, max int) (RawPage, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from < l.earliest {
		return RawPage{Earliest: l.earliest}, nil, problem.New(problem.Forgotten,
			"start from a checkpoint or a snapshot of another node",
			"offset %d is older than the earliest kept offset %d", from, l.earliest)
	}
	page := RawPage{First: from, Next: from, Earliest: l.earliest}
	for offset := from; offset < l.next() && len(page.Records) < max; offset++ {
		page.Records = append(page.Records, l.records[offset-1])
		page.Next = offset + 1
	}
	return page, l.changed, nil
}
