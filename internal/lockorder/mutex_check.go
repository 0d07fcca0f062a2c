//go:build lockcheck

package lockorder

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
)

// sampleEvery is how many acquisitions pass for each one that is recorded. Reading the goroutine id takes microseconds
// for a deep stack; recording every acquisition made the engine's tests take minutes. Each nesting of locks occurs
// thousands of times in a test run, so that a sample of one in sixteen still sees it. The tests of this package set 1.
var sampleEvery uint64 = 16

// acquisitions counts calls of acquire; recorded is the number of recorded acquisitions that are not released.
var acquisitions, recorded atomic.Uint64

// held maps the id of a goroutine to the recorded ranks that it holds, in the order taken.
var (
	heldMu sync.Mutex
	held   = map[uint64][]Rank{}
)

// goroutineID returns the id of the calling goroutine, read from its stack header.
func goroutineID() uint64 {
	buffer := make([]byte, 64)
	header := buffer[:runtime.Stack(buffer, false)]
	header = bytes.TrimPrefix(header, []byte("goroutine "))
	id, _, _ := bytes.Cut(header, []byte(" "))
	n, err := strconv.ParseUint(string(id), 10, 64)
	if err != nil {
		panic("lockorder: cannot read the goroutine id")
	}
	return n
}

// acquire checks a mutex of the rank against what the calling goroutine is recorded to hold, and records a sample.
func acquire(rank Rank) {
	sampled := acquisitions.Add(1)%sampleEvery == 0
	if !sampled && recorded.Load() == 0 {
		return
	}
	id := goroutineID()
	heldMu.Lock()
	defer heldMu.Unlock()
	for _, other := range held[id] {
		if other >= rank {
			panic(fmt.Sprintf("lockorder: rank %d taken while rank %d is held", rank, other))
		}
	}
	if !sampled {
		return
	}
	held[id] = append(held[id], rank)
	recorded.Add(1)
}

// release notes that the calling goroutine gives up a mutex of the rank, if its acquisition was recorded.
func release(rank Rank) {
	if recorded.Load() == 0 {
		return
	}
	id := goroutineID()
	heldMu.Lock()
	defer heldMu.Unlock()
	ranks := held[id]
	for i := len(ranks) - 1; i >= 0; i-- {
		if ranks[i] != rank {
			continue
		}
		held[id] = append(ranks[:i], ranks[i+1:]...)
		recorded.Add(^uint64(0))
		break
	}
	if len(held[id]) == 0 {
		delete(held, id)
	}
}

// Mutex is a mutex that checks the lock order. Create it with New.
type Mutex struct {
	mu   sync.Mutex
	rank Rank
}

// New returns an unlocked mutex of the rank.
func New(rank Rank) *Mutex { return &Mutex{rank: rank} }

// Lock locks m; it panics if the calling goroutine holds a mutex of the same or a higher rank.
func (m *Mutex) Lock() {
	acquire(m.rank)
	m.mu.Lock()
}

// Unlock unlocks m. It must be called by the goroutine that locked it.
func (m *Mutex) Unlock() {
	m.mu.Unlock()
	release(m.rank)
}

// RWMutex is a reader/writer mutex that checks the lock order. Create it with NewRW.
type RWMutex struct {
	mu   sync.RWMutex
	rank Rank
}

// NewRW returns an unlocked reader/writer mutex of the rank.
func NewRW(rank Rank) *RWMutex { return &RWMutex{rank: rank} }

// Lock locks m for writing.
func (m *RWMutex) Lock() {
	acquire(m.rank)
	m.mu.Lock()
}

// Unlock ends a write lock.
func (m *RWMutex) Unlock() {
	m.mu.Unlock()
	release(m.rank)
}

// RLock locks m for reading.
func (m *RWMutex) RLock() {
	acquire(m.rank)
	m.mu.RLock()
}

// RUnlock ends a read lock.
func (m *RWMutex) RUnlock() {
	m.mu.RUnlock()
	release(m.rank)
}
