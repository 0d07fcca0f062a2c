package fake

import (
	"context"
	"sync"
	"time"

	"heatherreel/internal/ledger"
	"heatherreel/internal/platformlog"
	"heatherreel/internal/problem"
)

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

// MemoryLog is a platformlog.Log in memory. mu guards all fields below it.
type MemoryLog struct {
	mu      sync.Mutex
	entries []platformlog.Entry
	faults  []AppendFault
	rivals  []*ledger.Record
	down    bool
	// changed is closed and replaced at each append.
	changed chan struct{}
}

// NewMemoryLog returns a log with the records at offsets from 1.
func NewMemoryLog(records ...*ledger.Record) *MemoryLog {
	l := &MemoryLog{changed: make(chan struct{})}
	for _, r := range records {
		l.add(r)
	}
	return l
}

// FailNext sets the faults of the next appends, in order.
func (l *MemoryLog) FailNext(faults ...AppendFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, faults...)
}

// OvertakeNext puts record into the log immediately before the next append.
func (l *MemoryLog) OvertakeNext(record *ledger.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rivals = append(l.rivals, record)
}

// SetDown makes all calls fail with problem.NotSent until it is called with false.
func (l *MemoryLog) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Records returns all records from offset 1 on.
func (l *MemoryLog) Records() []*ledger.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var records []*ledger.Record
	for _, e := range l.entries {
		records = append(records, e.Record)
	}
	return records
}

// add appends the record; the caller holds mu or owns l alone.
func (l *MemoryLog) add(r *ledger.Record) ledger.Offset {
	offset := ledger.Offset(len(l.entries) + 1)
	l.entries = append(l.entries, platformlog.Entry{Offset: offset, Record: r})
	close(l.changed)
	l.changed = make(chan struct{})
	return offset
}

// Append implements platformlog.Log.
func (l *MemoryLog) Append(_ context.Context, r *ledger.Record) (ledger.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, errDown
	}
	for _, rival := range l.rivals {
		l.add(rival)
	}
	l.rivals = nil
	fault := NoFault
	if len(l.faults) > 0 {
		fault, l.faults = l.faults[0], l.faults[1:]
	}
	switch fault {
	case LoseReply:
		l.add(r)
		return 0, errLost
	case LoseRequest:
		return 0, errLost
	case RefuseConnection:
		return 0, errDown
	}
	return l.add(r), nil
}

// Errors of the fake log.
var (
	errDown = problem.New(problem.NotSent, "try later", "the log refuses connections")
	errLost = problem.New(problem.Unavailable, "read on", "the reply of the log is lost")
)

// Read implements platformlog.Log.
func (l *MemoryLog) Read(ctx context.Context, from ledger.Offset, max int, wait time.Duration) (platformlog.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, err := l.page(from, max)
		if err != nil || len(page.Entries) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return page, problem.New(problem.Unavailable, "read again", "the read was interrupted: %w", ctx.Err())
		}
	}
}

// page returns what is there now and a channel that is closed at the next append.
func (l *MemoryLog) page(from ledger.Offset, max int) (platformlog.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return platformlog.Page{}, nil, errDown
	}
	if from == 0 {
		from = 1
	}
	page := platformlog.Page{Next: from, Earliest: 1}
	for offset := from; int(offset) <= len(l.entries) && len(page.Entries) < max; offset++ {
		page.Entries = append(page.Entries, l.entries[offset-1])
		page.Next = offset + 1
	}
	return page, l.changed, nil
}
