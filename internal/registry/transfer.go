package registry

import (
	"context"
	"sync/atomic"
)

// Transfer counts the bytes of the answer to a call of a Store that have arrived so far, and holds the era of the store that
// gave the answer. A nil *Transfer counts nothing.
type Transfer struct {
	received atomic.Int64
	era      atomic.Uint64
}

// SetEra records the era in the answer to a call, also if the call failed.
func (t *Transfer) SetEra(era uint64) {
	if t != nil {
		t.era.Store(era)
	}
}

// Era returns the era that was recorded last; 0 if there is none.
func (t *Transfer) Era() uint64 { return t.era.Load() }

// Add records that n bytes arrived.
func (t *Transfer) Add(n int) {
	if t != nil {
		t.received.Add(int64(n))
	}
}

// Received returns the number of bytes that have arrived.
func (t *Transfer) Received() int {
	if t == nil {
		return 0
	}
	return int(t.received.Load())
}

// Reset returns the number of bytes that have arrived and sets it to zero, for the next call with the same context.
func (t *Transfer) Reset() int { return int(t.received.Swap(0)) }

type transferKey struct{}

// TrackTransfer returns a context for a call of a Store and the Transfer in which the Store counts the bytes of its
// answer. It returns the Transfer of ctx if there is one.
func TrackTransfer(ctx context.Context) (context.Context, *Transfer) {
	if t := TransferOf(ctx); t != nil {
		return ctx, t
	}
	t := new(Transfer)
	return context.WithValue(ctx, transferKey{}, t), t
}

// TransferOf returns the Transfer of a call; nil if its caller does not track it.
func TransferOf(ctx context.Context) *Transfer {
	t, _ := ctx.Value(transferKey{}).(*Transfer)
	return t
}
