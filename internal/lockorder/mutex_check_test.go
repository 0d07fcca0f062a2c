//go:build lockcheck

package lockorder

import (
	"os"
	"testing"
)

// TestMain makes the checks record every acquisition.
func TestMain(m *testing.M) {
	sampleEvery = 1
	os.Exit(m.Run())
}

// Guards against undetected violations of the lock order: two goroutines that lock the same tables in opposite order
// can deadlock.
func TestOutOfOrderLockPanics(t *testing.T) {
	outer, inner := New(Ledger), New(Serving)
	inner.Lock()
	defer inner.Unlock()
	defer func() {
		if recover() == nil {
			t.Fatal("locking Ledger while Serving is held did not panic")
		}
	}()
	outer.Lock()
}

// Guards against a panic for locks in the permitted order.
func TestInOrderLocksPass(t *testing.T) {
	outer, inner := NewRW(Ledger), New(Queue)
	outer.RLock()
	inner.Lock()
	inner.Unlock()
	outer.RUnlock()
	outer.Lock()
	outer.Unlock()
}
